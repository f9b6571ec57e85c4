#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

/// \file
/// All error kinds, and the HTTP response for each kind.

namespace knapweedknot {

/// Every way in which a request or an operation can fail.
enum class error_kind : std::uint8_t {
    bad_request,
    coding_unknown,
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

/// Whether a target executed a request that ended with an error.
enum class execution : std::uint8_t {
    /// No target received any byte of the request, or the target reported that it did not run it.
    not_run,
    /// The target ran the request, but its response could not be forwarded.
    ran,
    /// A target received at least part of the request, and the outcome is unknown.
    may_have_run,
};

/// Name, HTTP status and execution outcome reported for an error kind.
struct error_answer {
    error_kind kind;
    /// Stable name used in responses, logs and metrics.
    std::string_view name;
    int http_status;
    execution outcome;
};

/// An error: its kind and a one-line description for people. The detail never contains a secret.
struct error {
    error_kind kind{error_kind::internal};
    std::string detail;
};

/// A value or an error.
template <typename T>
using result = tl::expected<T, error>;

/// Makes an error result of \p kind. Thread safe.
[[nodiscard]] tl::unexpected<error> fail(error_kind kind, std::string detail = {});

/// Returns the response for \p kind; every kind has one. Thread safe.
[[nodiscard]] const error_answer& answer_for(error_kind kind) noexcept;

/// Stable name of \p value: "not_run", "ran" or "may_have_run".
[[nodiscard]] std::string_view to_string(execution value) noexcept;

} // namespace knapweedknot
