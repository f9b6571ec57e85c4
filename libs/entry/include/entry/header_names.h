#pragma once

#include <string_view>

/// \file
/// Names of the HTTP headers that the product reads and writes.

namespace knapweedknot {

/// Caller to instance and instance to target: milliseconds left until the deadline.
inline constexpr std::string_view deadline_header = "Knapweedknot-Deadline-Ms";
/// Instance to target: client account of the request.
inline constexpr std::string_view account_header = "Knapweedknot-Account";
/// Instance to caller: id of the instance that responded.
inline constexpr std::string_view instance_header = "Knapweedknot-Instance";
/// Instance to caller: id of the target that responded.
inline constexpr std::string_view target_header = "Knapweedknot-Target";
/// Instance to caller: error kind of an error response.
inline constexpr std::string_view error_header = "Knapweedknot-Error";
/// Instance or target to its client, in an error response: whether the request ran, as "not_run",
/// "ran" or "may_have_run".
inline constexpr std::string_view outcome_header = "Knapweedknot-Outcome";
/// Instance to instance: the request was forwarded to the issuer of its idempotency key, and must
/// not be forwarded again.
inline constexpr std::string_view passed_on_header = "Knapweedknot-Passed-On";
/// Caller to instance and instance to target: "PREFIX.UNIQUE", the same in every retry of one
/// request.
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
/// Prefix of the product's own headers. Headers with it are removed from the requests of callers
/// and the responses of targets before these are forwarded.
inline constexpr std::string_view product_header_prefix = "Knapweedknot-";

} // namespace knapweedknot
