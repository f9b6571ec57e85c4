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

/// \file
/// One version of the rules for traffic, as an operator declares them outside of the fleet: routes
/// by host and path prefix, client accounts with their keys, services, and limits of requests.

namespace knapweedknot {

/// A service that receives a share of a route's requests.
struct weighted_service {
    service_id service;
    /// Share of the requests, in proportion to the sum over the route. Greater than zero.
    double weight{1};
};

/// Where the requests of one host and path prefix go, and what may be done with them.
struct traffic_route {
    route_id id;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// At least one service.
    std::vector<weighted_service> split;
    /// True when a target may run a request more than once.
    bool idempotent{false};
    /// Longest time from the arrival of a request to its answer.
    duration timeout{seconds(30)};
    /// Time within which an answer has its full worth to the caller.
    duration latency_target{seconds(1)};
    /// Targets to which one request may be sent.
    int max_attempts{1};
    /// Rank among the requests of a service; 0 is the highest.
    int priority{0};
    /// True when no key is needed.
    bool open{false};
};

/// Who may send requests, and how many.
struct traffic_account {
    account_id id;
    std::vector<std::string> keys;
    /// Rank that replaces that of the route.
    std::optional<int> priority;
    /// Requests per second over all instances together; 0 for no limit.
    double rate_per_s{0};
    /// Requests that may be admitted at once.
    double burst{0};
};

/// A group of interchangeable targets.
struct traffic_service {
    service_id id;
    /// Path that a target answers with 200 while it considers itself healthy.
    std::string health_path;
    /// Connections that one target accepts from all instances together; 0 for no limit.
    int max_connections{0};
};

/// What a caller may send, and how long it may take.
struct request_limits {
    std::size_t max_header_bytes{std::size_t{16} * 1024};
    std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
    duration header_timeout{seconds(10)};
    duration idle_timeout{seconds(60)};
};

using traffic_route_ptr = std::shared_ptr<const traffic_route>;
using traffic_account_ptr = std::shared_ptr<const traffic_account>;

/// An immutable version of the rules. Thread safe after construction.
class traffic_policy {
public:
    /// The parts that a policy is made of.
    struct parts {
        config_number number;
        std::vector<traffic_route> routes;
        std::vector<traffic_account> accounts;
        std::vector<traffic_service> services;
        request_limits limits;
    };

    explicit traffic_policy(parts&& content);

    [[nodiscard]] config_number number() const noexcept { return this->version; }
    /// The route of \p host (no port, any case) with the longest prefix that begins \p path (no
    /// query); null when none does.
    [[nodiscard]] traffic_route_ptr find_route(std::string_view host, std::string_view path) const;
    /// Owner of \p key; null when the key is unknown.
    [[nodiscard]] traffic_account_ptr find_account(const std::string& key) const;
    [[nodiscard]] const std::map<service_id, traffic_service>& services() const noexcept {
        return this->services_by_id;
    }
    [[nodiscard]] const std::vector<traffic_account_ptr>& accounts() const noexcept {
        return this->all_accounts;
    }
    [[nodiscard]] const request_limits& limits() const noexcept { return this->request_bounds; }
    [[nodiscard]] std::size_t route_count() const noexcept { return this->routes; }

private:
    config_number version;
    std::unordered_map<std::string, std::unordered_map<std::string, traffic_route_ptr>> by_host;
    std::unordered_map<std::string, traffic_account_ptr> by_key;
    std::vector<traffic_account_ptr> all_accounts;
    std::map<service_id, traffic_service> services_by_id;
    request_limits request_bounds;
    std::size_t routes{0};
};

using traffic_policy_ptr = std::shared_ptr<const traffic_policy>;

/// How a target says that it stands.
enum class target_state : std::uint8_t { ready, draining };

/// A target as it registered itself.
struct registered_target {
    target_id id;
    service_id service;
    std::string ip;
    std::uint16_t port{0};
    failure_domain_id failure_domain;
    /// Requests that it runs at once, for all instances.
    int slots{1};
    target_state state{target_state::ready};
    /// How much longer it is slow after its start.
    duration warm_up_left{duration::zero()};
    /// When this run of the target started, in Unix milliseconds; 0 when it does not say. A
    /// target that starts again under its id counts its sequence numbers anew.
    std::int64_t started_unix_ms{0};
};

} // namespace knapweedknot
