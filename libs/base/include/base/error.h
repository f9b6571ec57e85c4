#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

/// \file
/// The closed list of error kinds and the table from each kind to its HTTP answer.

namespace knapweedknot {

/// Every way in which a request or an operation can fail.
enum class error_kind : std::uint8_t {
    bad_request,
    invalid_value,
    key_missing,
    key_unknown,
    key_exposed,
    account_not_allowed,
    route_not_found,
    not_found,
    request_too_large,
    header_too_large,
    request_timeout,
    rate_exceeded,
    configuration_stale,
    configuration_conflict,
    no_target,
    overloaded,
    deadline_before_start,
    deadline_exceeded,
    connect_failed,
    target_failed,
    answer_truncated,
    answer_too_large,
    idempotency_key_invalid,
    idempotency_key_expired,
    idempotency_key_reused,
    outcome_unknown,
    request_quarantined,
    store_unavailable,
    peer_unreachable,
    stopping,
    caller_gone,
    internal,
};

/// What is known about the execution of a refused request at a target.
enum class execution : std::uint8_t {
    /// No target received any byte of the request, or the target said that it did not run it.
    not_run,
    /// The target ran the request, but its answer could not be passed on.
    ran,
    /// A target received at least a part of the request and its outcome is not known.
    may_have_run,
};

/// The answer that belongs to an error kind.
struct error_answer {
    error_kind kind;
    /// Stable name used in answers, logs and metrics.
    std::string_view name;
    int http_status;
    execution outcome;
};

/// A failure: its kind, and one line for a person to read. The detail never holds a secret.
struct error {
    error_kind kind{error_kind::internal};
    std::string detail;
};

/// A value or a failure.
template <typename T>
using result = tl::expected<T, error>;

/// Returns a failure of \p kind. Thread safe.
[[nodiscard]] tl::unexpected<error> fail(error_kind kind, std::string detail = {});

/// The table row for \p kind. Total over the closed list. Thread safe.
[[nodiscard]] const error_answer& answer_for(error_kind kind) noexcept;

/// Stable name of \p value: "not_run", "ran" or "may_have_run".
[[nodiscard]] std::string_view to_string(execution value) noexcept;

} // namespace knapweedknot
