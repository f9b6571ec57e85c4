#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "config/traffic_policy.h"
#include "event/http_message.h"

/// \file
/// A request on its way through the proxy, and what became of it.

namespace knapweedknot {

/// A request that was admitted.
struct proxied_request {
    /// What to send, without the headers that depend on the target.
    http_request message;
    /// The caller's id of the request; for logs.
    std::string id;
    traffic_route_ptr route;
    /// Empty on open routes.
    account_id account;
    int priority{0};
    time_point arrived_at;
    /// When the caller has to have its answer.
    time_point deadline;
    /// Same for requests that ask for the same work.
    std::uint64_t fingerprint{0};
};

/// A target's whole answer.
struct proxied_response {
    http_answer message;
    target_id target;
    /// Targets that the request was sent to.
    int attempts{0};
    /// Time from the last send to the whole answer.
    duration response_time{duration::zero()};
    /// Time from the arrival to the first send.
    duration queue_time{duration::zero()};
};

/// Why a request has no answer of a target.
struct proxy_failure {
    error problem;
    /// Whether the caller may be promised that the request did not and will not run.
    execution outcome{execution::not_run};
    /// When to come again, if that is known.
    std::optional<duration> retry_after;
    int attempts{0};
    /// Target of the last attempt; empty when there was none.
    target_id target;
    /// Time from the arrival to the first send, or to the end when there was none.
    duration queue_time{duration::zero()};
};

using proxy_outcome = tl::expected<proxied_response, proxy_failure>;
using proxy_handler = std::function<void(proxy_outcome)>;

} // namespace knapweedknot
