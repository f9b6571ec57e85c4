#pragma once

#include <cstdint>

#include "proxy/header_names.h"
#include "proxy/pending_request.h"
#include "proxy/retry_limiter.h"
#include "proxy/target_pool.h"

/// \file
/// What the end of an attempt shows about its target and its request.

namespace knapweedknot {

/// What a target's complete response says.
enum class response_kind : std::uint8_t {
    /// Another target has responded at this address. The request was not run.
    misdirected,
    /// The target says that it did not run the request.
    not_executed,
    /// A successful response that no target of the platform gives.
    unsigned_success,
    server_error,
    /// Any other response; it goes to the caller.
    usable,
};

/// Thread safe.
[[nodiscard]] response_kind classify_response(const http_response& answer,
                                              const header_names& names);

/// Records the ends of attempts in the targets' health states and in the crash counts of requests.
/// Not thread safe.
class attempt_evidence {
public:
    /// \p targets, \p retries and \p names must outlive this object.
    attempt_evidence(target_pool& targets, retry_limiter& retries, const header_names& names)
        : targets(targets), retries(retries), names(names) {}

    /// Records a complete response.
    void record_response(const pending_request& pending, const target_ptr& target,
                         duration response_time, const http_response& answer, time_point now);
    /// Records the crash of a target that is not leaving if the attempt \p ended in one.
    /// \pre \p ended still counts for the bytes in flight to its target
    void record_crash(const request_attempt& ended, const http_failure& failure, time_point now);
    /// Records that an attempt ended without a response.
    void record_failure(const pending_request& pending, const ended_attempt& ended,
                        const http_failure& failure, time_point now);

private:
    void record_misdirected(const pending_request& pending, pooled_target& target);
    void record_suspicion(pooled_target& target, double suspicion, time_point now);
    void record_end(const pending_request& pending, const ended_attempt& ended,
                    const http_failure& failure, time_point now);

    target_pool& targets;
    retry_limiter& retries;
    const header_names& names;
};

} // namespace knapweedknot
