#include "base/error.h"

#include <array>
#include <cassert>
#include <utility>

namespace knapweedknot {

namespace {

using enum error_kind;

constexpr std::array error_table{
    error_answer{bad_request, "bad_request", 400, execution::not_run},
    error_answer{coding_unknown, "coding_unknown", 501, execution::not_run},
    error_answer{invalid_value, "invalid_value", 422, execution::not_run},
    error_answer{key_missing, "key_missing", 401, execution::not_run},
    error_answer{key_unknown, "key_unknown", 401, execution::not_run},
    error_answer{key_exposed, "key_exposed", 400, execution::not_run},
    error_answer{account_not_allowed, "account_not_allowed", 403, execution::not_run},
    error_answer{route_not_found, "route_not_found", 404, execution::not_run},
    error_answer{not_found, "not_found", 404, execution::not_run},
    error_answer{request_too_large, "request_too_large", 413, execution::not_run},
    error_answer{header_too_large, "header_too_large", 431, execution::not_run},
    error_answer{request_timeout, "request_timeout", 408, execution::not_run},
    error_answer{rate_exceeded, "rate_exceeded", 429, execution::not_run},
    error_answer{configuration_stale, "configuration_stale", 503, execution::not_run},
    error_answer{configuration_conflict, "configuration_conflict", 409, execution::not_run},
    error_answer{no_target, "no_target", 503, execution::not_run},
    error_answer{overloaded, "overloaded", 503, execution::not_run},
    error_answer{deadline_before_start, "deadline_before_start", 504, execution::not_run},
    error_answer{deadline_exceeded, "deadline_exceeded", 504, execution::may_have_run},
    error_answer{connect_failed, "connect_failed", 503, execution::not_run},
    error_answer{target_failed, "target_failed", 502, execution::may_have_run},
    error_answer{answer_truncated, "answer_truncated", 502, execution::may_have_run},
    error_answer{answer_too_large, "answer_too_large", 502, execution::may_have_run},
    error_answer{idempotency_key_invalid, "idempotency_key_invalid", 400, execution::not_run},
    error_answer{idempotency_key_expired, "idempotency_key_expired", 409, execution::may_have_run},
    error_answer{idempotency_key_reused, "idempotency_key_reused", 422, execution::not_run},
    error_answer{outcome_unknown, "outcome_unknown", 502, execution::may_have_run},
    error_answer{request_quarantined, "request_quarantined", 503, execution::not_run},
    error_answer{store_unavailable, "store_unavailable", 503, execution::not_run},
    error_answer{peer_unreachable, "peer_unreachable", 503, execution::not_run},
    error_answer{stopping, "stopping", 503, execution::not_run},
    error_answer{caller_gone, "caller_gone", 499, execution::may_have_run},
    error_answer{internal, "internal", 500, execution::may_have_run},
};

/// Returns true when row i of the table describes the i-th error kind and no kind is missing.
constexpr bool is_table_ordered() {
    for (std::size_t i = 0; i < error_table.size(); ++i) {
        if (static_cast<std::size_t>(error_table[i].kind) != i) {
            return false;
        }
    }
    return error_table.size() == static_cast<std::size_t>(internal) + 1;
}

static_assert(is_table_ordered());

} // namespace

tl::unexpected<error> fail(error_kind kind, std::string detail) {
    return tl::unexpected<error>(error{kind, std::move(detail)});
}

const error_answer& answer_for(error_kind kind) noexcept {
    const auto index = static_cast<std::size_t>(kind);
    assert(index < error_table.size());
    return error_table[index];
}

std::string_view to_string(execution value) noexcept {
    switch (value) {
    case execution::not_run:
        return "not_run";
    case execution::ran:
        return "ran";
    case execution::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}

} // namespace knapweedknot
