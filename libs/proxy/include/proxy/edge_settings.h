#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"

/// \file
/// Settings of an edge instance, read from JSON with comments.

namespace knapweedknot {

/// Guarantees of the fleet that the deployment configures.
struct fleet_bounds {
    /// Time after the withdrawal of a key within which requests with that key may still run.
    duration key_withdrawal{milliseconds(5000)};
    /// Time after the confirmation of a policy from which requests are handled by it, as long as
    /// the store can be reached.
    duration policy_apply{milliseconds(2000)};
    /// True if requests with a key are refused while the policy cannot be confirmed as the newest.
    bool strict_withdrawal{true};
    /// Time in which a target may still get requests after the store records that it is leaving.
    duration target_drain{milliseconds(2000)};
    /// Time from the stop signal until the process is killed.
    duration stop_grace{seconds(6)};
    /// Maximum time for which callers may cache an address response.
    duration address_lifetime{seconds(5)};
    /// Retries as a share of a service's requests in any window.
    double resend_share{0.2};
    /// Retries allowed in addition to that share in any window.
    double resend_allowance{20};
    duration resend_window{seconds(10)};
    /// Minimum share of a service's targets that stays in rotation.
    double floor_share{0.7};
    /// Time after the confirmation of an evacuation order from which the failure domain's targets
    /// get no requests; empty if the deployment has no such orders.
    std::optional<duration> evacuation_apply;
    /// Requests that a target in warm-up may get in any second from all instances together: this
    /// multiple of the service's warm-up rate, plus the slack.
    double warm_up_overshoot{1};
    double warm_up_slack{0};
};

/// Time within which a change of the policy, or an evacuation order where the deployment has these,
/// must be in force. Thread safe.
[[nodiscard]] duration policy_confirmation_bound(const fleet_bounds& bounds) noexcept;

/// Resources of the machine that runs the instance.
struct machine_resources {
    /// Processor seconds per second.
    double cores{0.2};
    double link_bytes_per_s{125e6};
    /// Bytes of memory and file descriptors that the process may use; empty for no limit.
    std::optional<std::size_t> memory_bytes;
    std::optional<std::size_t> descriptors;
};

/// How load is divided among the targets of the own failure domain and of others.
enum class locality_mode : std::uint8_t {
    /// Targets of the own failure domain cost slightly less.
    preference,
    /// The own failure domain is left only for what it has no room for.
    overflow,
};

/// Settings of an edge instance.
struct edge_settings {
    instance_id instance;
    failure_domain_id failure_domain;
    endpoint callers_address;
    endpoint readiness_address;
    /// Where callers look up addresses; empty if this instance does not offer that.
    std::optional<endpoint> directory_address;
    /// Listen address for metrics.
    endpoint metrics_address;
    /// Listen address for peers.
    endpoint peers_address;
    endpoint store_address;
    log_level lowest_log_level{log_level::info};
    fleet_bounds bounds;
    machine_resources machine;
    locality_mode locality{locality_mode::preference};
    /// Region of each failure domain; empty if the deployment does not state them.
    std::map<failure_domain_id, region_id> regions;
};

/// Parses settings. The error lists every invalid value with its path, unit and range. Thread safe.
/// \param overlay JSON object whose values replace those of \p text, member by member; may be empty
[[nodiscard]] result<edge_settings> parse_edge_settings(std::string_view text,
                                                        std::string_view overlay = {});

} // namespace knapweedknot
