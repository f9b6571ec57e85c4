#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"

/// \file
/// Settings of one instance, read from a file of JSON with comments.

namespace knapweedknot {

/// How a client account's rate is shared between instances.
enum class admission_mode {
    /// Seats and loans: exact over all instances.
    quota_leases,
    /// A fixed part for each instance: the baseline of measurements.
    static_split,
};

/// Settings of an instance. Defaults are those of a fleet of 32 to 44 instances.
struct instance_settings {
    instance_id instance;
    failure_domain_id failure_domain;
    endpoint callers_address;
    endpoint operators_address;
    /// Where other instances connect.
    endpoint peers_address;
    /// Where this instance listens for them; peers_address unless something stands between.
    endpoint peers_listen;
    endpoint platform_address;
    /// Instances to ask for others when the store is away.
    std::vector<endpoint> peer_seeds;
    /// SHA-256 of each operator's token, by operator name.
    std::map<std::string, std::string> operators;
    log_level lowest_log_level{log_level::info};
    /// Seats of the fleet, used by the instance that creates the record.
    int seats{128};
    /// Instances that share a target's connections.
    int max_instances{44};
    std::size_t max_request_bytes{std::size_t{4} * 1024 * 1024};
    std::size_t max_answer_bytes{std::size_t{16} * 1024 * 1024};
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    duration heartbeat_interval{milliseconds(800)};
    duration quota_lease_duration{milliseconds(1800)};
    duration freshness{milliseconds(2500)};
    duration seat_lease{seconds(43'200)};
    /// How long callers keep an answer of addresses.
    duration address_lifetime{milliseconds(5000)};
    /// Longest wait of one watch of the store.
    duration store_watch{seconds(60)};
    admission_mode admission{admission_mode::quota_leases};
};

/// Reads settings. The error lists every bad value with its path, unit and range. Thread safe.
[[nodiscard]] result<instance_settings> parse_settings(std::string_view text);

} // namespace knapweedknot
