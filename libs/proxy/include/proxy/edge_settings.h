#pragma once

#include <optional>
#include <string_view>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"

/// \file
/// Settings of an instance that serves callers by an operator's traffic policy, read from a file
/// of JSON with comments.

namespace knapweedknot {

/// What the fleet has promised, as the deployment states it.
struct fleet_bounds {
    /// Time after which a withdrawn key runs nothing any more.
    duration key_withdrawal{milliseconds(5000)};
    /// False when keys may be honoured while the policy cannot be proved to be the newest.
    bool strict_withdrawal{true};
    /// Time after a target's leaving was stored in which it may still get work.
    duration target_drain{milliseconds(2000)};
    /// Time from the order to stop until the process is killed.
    duration stop_grace{seconds(6)};
    /// Longest time that callers keep an answer about addresses.
    duration address_lifetime{seconds(5)};
    /// Requests sent once more, as a share of a service's requests, in any window.
    double resend_share{0.2};
    /// Requests that may be sent once more beyond that share in any window.
    double resend_allowance{20};
    duration resend_window{seconds(10)};
    /// Least share of a service's targets that stays in rotation.
    double floor_share{0.7};
};

/// What the instance's machine provides.
struct machine_resources {
    /// Processor time per second.
    double cores{0.2};
    double link_bytes_per_s{125e6};
};

/// Settings of an instance.
struct edge_settings {
    instance_id instance;
    failure_domain_id failure_domain;
    endpoint callers_address;
    endpoint readiness_address;
    /// Where callers ask for addresses; nothing when this instance does not answer that.
    std::optional<endpoint> directory_address;
    /// Where metrics are served.
    endpoint metrics_address;
    /// Where other instances connect.
    endpoint peers_address;
    endpoint store_address;
    log_level lowest_log_level{log_level::info};
    fleet_bounds bounds;
    machine_resources machine;
};

/// Reads settings. The error lists every bad value with its path, unit and range. Thread safe.
[[nodiscard]] result<edge_settings> parse_edge_settings(std::string_view text);

} // namespace knapweedknot
