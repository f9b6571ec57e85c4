#pragma once

#include <string_view>

/// \file
/// Names of the headers that the product adds or reads.

namespace knapweedknot {

/// Caller to instance and instance to target: time left for the answer, in milliseconds.
inline constexpr std::string_view deadline_header = "Knapweedknot-Deadline-Ms";
/// Instance to target: the client account of the request.
inline constexpr std::string_view account_header = "Knapweedknot-Account";
/// Instance to caller: the instance that answered.
inline constexpr std::string_view instance_header = "Knapweedknot-Instance";
/// Instance to caller: the target that answered.
inline constexpr std::string_view target_header = "Knapweedknot-Target";
/// Instance to caller: the error kind of a refusal.
inline constexpr std::string_view error_header = "Knapweedknot-Error";
/// In a refusal, also by a target: "not_run", "ran" or "may_have_run".
inline constexpr std::string_view outcome_header = "Knapweedknot-Outcome";
/// Instance to instance: the request was passed on to the issuer of its idempotency key.
inline constexpr std::string_view passed_on_header = "Knapweedknot-Passed-On";
/// Caller to instance and on to the target: names one piece of work, "PREFIX.UNIQUE".
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
/// Prefix of all of them; a caller's other headers with it are dropped.
inline constexpr std::string_view product_header_prefix = "Knapweedknot-";

} // namespace knapweedknot
