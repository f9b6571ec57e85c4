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
/// Settings of an instance, read from a file of JSON with comments.

namespace knapweedknot {

/// How a client account's rate limit is divided between instances.
enum class admission_mode {
    /// By seats and quota leases: exact over all instances.
    quota_leases,
    /// A fixed part for each instance; the baseline of benchmarks.
    static_split,
};

/// Settings of an instance. The defaults suit a fleet of 32 to 44 instances.
struct instance_settings {
    instance_id instance;
    failure_domain_id failure_domain;
    endpoint callers_address;
    endpoint operators_address;
    /// Address that other instances connect to.
    endpoint peers_address;
    /// Address that this instance listens on for peers; equal to peers_address unless a relay or an
    /// address translation lies between.
    endpoint peers_listen;
    endpoint platform_address;
    /// Instances to discover others from when the store is unavailable.
    std::vector<endpoint> peer_seeds;
    /// SHA-256 of each operator's token as 64 hexadecimal digits, by operator name.
    std::map<std::string, std::string> operators;
    log_level lowest_log_level{log_level::info};
    /// Seats of the fleet; used by the instance that creates the seat record.
    int seats{128};
    /// Greatest number of instances. The connections to a target, and with static_split the rates
    /// of client accounts, are divided by it.
    int max_instances{44};
    std::size_t max_request_bytes{std::size_t{4} * 1024 * 1024};
    std::size_t max_answer_bytes{std::size_t{16} * 1024 * 1024};
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    duration heartbeat_interval{milliseconds(800)};
    duration quota_lease_duration{milliseconds(1800)};
    duration freshness{milliseconds(2500)};
    duration seat_lease{seconds(43'200)};
    /// How long callers may cache an answer with addresses.
    duration address_lifetime{milliseconds(5000)};
    /// Longest wait of one watch call to the store.
    duration store_watch{seconds(60)};
    admission_mode admission{admission_mode::quota_leases};
};

/// Parses settings. The error lists every invalid value with its path, unit and range. Thread safe.
[[nodiscard]] result<instance_settings> parse_settings(std::string_view text);

} // namespace knapweedknot
