#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "config/traffic_policy.h"
#include "decide/allowed_regions.h"
#include "event/http_message.h"

/// \file
/// A request that the proxy forwards, and its outcome.

namespace knapweedknot {

/// An admitted request.
struct proxied_request {
    /// The message to send, without the headers that depend on the target.
    http_request message;
    /// The caller's request id, used in logs.
    std::string id;
    traffic_route_ptr route;
    /// Empty on open routes.
    account_id account;
    int priority{0};
    /// Regions whose targets may get it.
    allowed_regions regions;
    time_point arrived_at;
    /// Time by which the caller must have its response.
    time_point deadline;
    /// Hash of the method, URI, account and body.
    std::uint64_t fingerprint{0};
};

/// A target's complete response.
struct proxied_response {
    http_response message;
    target_id target;
    /// Number of times the request was sent.
    int attempts{0};
    /// Time from the start of the attempt to its complete response.
    duration response_time{duration::zero()};
    /// Time from the arrival to the first send.
    duration queue_time{duration::zero()};
};

/// Why a request has no response from a target.
struct proxy_failure {
    error problem;
    /// Whether the request was not run, for certain, or may have run.
    execution outcome{execution::not_run};
    /// Time after which the caller may retry, if known.
    std::optional<duration> retry_after;
    int attempts{0};
    /// Target of the last attempt; empty if there was none.
    target_id target;
    /// Time from the arrival to the first send, or to the failure if nothing was sent.
    duration queue_time{duration::zero()};
};

using proxy_outcome = tl::expected<proxied_response, proxy_failure>;
using proxy_handler = std::function<void(proxy_outcome)>;

} // namespace knapweedknot
