#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "config/policy_problem.h"

/// \file
/// One version of the traffic policy, which operators declare outside of the fleet: routes by host
/// and path prefix, client accounts with their API keys, services, and request limits.

namespace knapweedknot {

/// A service that receives a share of a route's requests.
struct weighted_service {
    service_id service;
    /// Relative share of the requests, compared with the sum over the route. Greater than zero.
    double weight{1};
};

/// Services, timeout, retry and priority rules for the requests of one host and path prefix.
struct traffic_route {
    route_id id;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Traffic split between services; at least one.
    std::vector<weighted_service> split;
    /// True when requests are idempotent: targets may run one more than once.
    bool idempotent{false};
    /// Maximum time from the arrival of a request to its response.
    duration timeout{seconds(30)};
    /// Latency objective: a response within this time has its full value for the caller.
    duration latency_target{seconds(1)};
    /// Maximum number of targets to which one request may be sent.
    int max_attempts{1};
    /// Priority among the requests of a service; 0 is the highest.
    int priority{0};
    /// True when requests need no API key.
    bool open{false};
    /// Regions whose targets may get the requests; empty for all.
    std::vector<region_id> allowed_regions;
};

/// A client that may send requests, with its API keys and rate limit.
struct traffic_account {
    account_id id;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// Sustained rate limit over all instances together, in requests per second; 0 for no limit.
    double rate_per_s{0};
    /// Token bucket size: requests that may be admitted at once.
    double burst{0};
    /// Regions whose targets may get the account's requests; empty for all. Those of the route hold
    /// as well.
    std::vector<region_id> allowed_regions;
};

/// A group of interchangeable targets.
struct traffic_service {
    service_id id;
    /// Path of the health check, which a healthy target answers with status 200.
    std::string health_path;
    /// Connections that one target accepts from all instances together; 0 for no limit.
    int max_connections{0};
    /// Requests per second that a target bears from all instances together while it warms up; 0 for
    /// no limit.
    double warm_up_rate_per_s{0};
};

/// Limits on the size of requests, on the time to receive a header and on the time a connection may
/// stay idle.
struct request_limits {
    std::size_t max_header_bytes{std::size_t{16} * 1024};
    std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
    duration header_timeout{seconds(10)};
    duration idle_timeout{seconds(60)};
};

using traffic_route_ptr = std::shared_ptr<const traffic_route>;
using traffic_account_ptr = std::shared_ptr<const traffic_account>;

/// An immutable version of the traffic policy. Thread safe after construction.
class traffic_policy {
public:
    /// The content of a policy.
    struct parts {
        config_number number;
        std::vector<traffic_route> routes;
        std::vector<traffic_account> accounts;
        std::vector<traffic_service> services;
        request_limits limits;
    };

    explicit traffic_policy(parts&& content);

    [[nodiscard]] config_number number() const noexcept { return this->version; }
    /// Returns the route for \p host (without port, case-insensitive) with the longest prefix of
    /// \p path (without query); null when none matches.
    [[nodiscard]] traffic_route_ptr find_route(std::string_view host, std::string_view path) const;
    /// Returns the account with the API key \p key; null when the key is unknown.
    [[nodiscard]] traffic_account_ptr find_account(const std::string& key) const;
    [[nodiscard]] const std::map<service_id, traffic_service>& services() const noexcept {
        return this->services_by_id;
    }
    [[nodiscard]] const std::vector<traffic_account_ptr>& accounts() const noexcept {
        return this->all_accounts;
    }
    [[nodiscard]] const request_limits& limits() const noexcept { return this->request_bounds; }
    /// Entries, or keys of accounts, that never match because another entry takes their place.
    [[nodiscard]] const std::vector<policy_problem>& conflicts() const noexcept {
        return this->found_conflicts;
    }
    [[nodiscard]] std::size_t route_count() const noexcept { return this->total_routes; }

private:
    config_number version;
    std::unordered_map<std::string, std::unordered_map<std::string, traffic_route_ptr>> by_host;
    std::unordered_map<std::string, traffic_account_ptr> by_key;
    std::vector<traffic_account_ptr> all_accounts;
    std::map<service_id, traffic_service> services_by_id;
    request_limits request_bounds;
    std::vector<policy_problem> found_conflicts;
    std::size_t total_routes{0};
};

using traffic_policy_ptr = std::shared_ptr<const traffic_policy>;

/// The state that a target reports in its registration.
enum class target_state : std::uint8_t { ready, draining };

/// The registration of a target.
struct registered_target {
    target_id id;
    service_id service;
    std::string ip;
    std::uint16_t port{0};
    failure_domain_id failure_domain;
    /// Requests that the target can run at once, over all instances together.
    int slots{1};
    target_state state{target_state::ready};
    /// Remaining time of the warm-up after its start, during which the target is slower.
    duration warm_up_left{duration::zero()};
    /// Start of this run of the target, in Unix milliseconds; 0 when unknown. A target that
    /// restarts under the same id also restarts its sequence numbers.
    std::int64_t started_unix_ms{0};
};

} // namespace knapweedknot
