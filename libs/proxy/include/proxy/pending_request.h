#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>

#include "base/ids.h"
#include "event/http_client.h"
#include "event/loop.h"
#include "proxy/proxied_request.h"
#include "proxy/target_pool.h"

/// \file
/// A request that a balancer has not answered yet, and its running attempts.

namespace knapweedknot {

/// Identifies a request for cancellation.
using balancer_request_id = detail::strong_id<struct balancer_request_id_tag, std::uint64_t>;

/// One attempt at a request on one target.
struct request_attempt : running_attempt {
    target_ptr target;
    std::unique_ptr<http_connection> connection;
    bool reused{false};
    /// Time for which a reused connection was idle before the attempt.
    duration idle_before{duration::zero()};
};

/// What remains of an attempt after its end.
struct ended_attempt {
    target_ptr target;
    time_point started;
    bool reused{false};
    duration idle_before{duration::zero()};
};

/// A request without a final outcome, and its running attempts.
struct pending_request {
    balancer_request_id id;
    proxied_request request;
    proxy_handler on_done;
    std::list<request_attempt> attempts;
    std::set<target_id> tried_targets;
    int send_count{0};
    /// True when a target may have run the request.
    bool may_have_run{false};
    target_id last_target;
    std::optional<time_point> first_sent;
    timer deadline_timer;
    /// Why the last attempt failed, while the request waits for a target to be sent to again. That
    /// will count as a retry.
    std::optional<error> retried_problem;
    /// True when it was found that no target with a free slot has room for the body.
    bool held_for_memory{false};
};

using pending_request_ptr = std::shared_ptr<pending_request>;

/// Requests with less time left than this are not sent.
constexpr duration min_time_left = milliseconds(5);

/// True when the request may be sent to another target after an attempt that may have run it. Does
/// not check the retry budget. Thread safe.
[[nodiscard]] bool may_retry(const pending_request& pending, time_point now);

/// Whether an attempt that starts now may be followed by another one if it fails. Thread safe.
[[nodiscard]] attempt_kind kind_of_next_attempt(const pending_request& pending);

/// Size of the request's body as it counts for the memory of targets. Thread safe.
[[nodiscard]] std::uint64_t counted_body_bytes(const pending_request& pending);

/// Removes an ended attempt from the request and its target. Not thread safe.
/// \pre \p ended is an attempt of \p pending
void remove_attempt(pending_request& pending, request_attempt& ended);

/// Closes the connections of all attempts, and removes these. Not thread safe.
void cancel_attempts(pending_request& pending);

/// The outcome of a request that gets no target's response. It covers all attempts: if one of them
/// may have run, it is may_have_run whatever \p problem says. Thread safe.
/// \param retry_after time after which the caller may retry, if known
[[nodiscard]] proxy_failure make_failure(const pending_request& pending, const error& problem,
                                         std::optional<duration> retry_after, time_point now);

} // namespace knapweedknot
