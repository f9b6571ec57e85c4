#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"

/// \file
/// The entities of a configuration as plain structs. All are immutable once published and may be
/// shared by requests that outlive the configuration that introduced them.

namespace knapweedknot {

/// A salted hash of an API key's secret. The secret itself is never stored.
struct stored_key {
    /// Hexadecimal salt, hashed before the secret.
    std::string salt;
    /// SHA-256 of salt and secret, 64 hexadecimal digits.
    std::string sha256;
};

/// Who may send requests, and how many.
struct client_account {
    account_id id;
    /// Long-term limit over all instances together, in requests per second.
    double rate_per_s{0};
    /// Requests that may be admitted at once, over all instances together. At least 2.
    double burst{0};
    /// Stored keys by key id.
    std::map<std::string, stored_key> keys;
};

/// A back-end process that runs requests.
struct target {
    target_id id;
    endpoint address;
    failure_domain_id failure_domain;
};

/// How instances judge and use the targets of a service.
struct service_policy {
    /// Requests that one target may run at once, over all instances.
    int slots_per_target{6};
    /// Connections that one target accepts, over all instances.
    int connections_per_target{330};
    /// Least number of targets that stay in rotation, whatever their health.
    int floor{1};
    /// Time from arrival to answer when the caller gives no deadline.
    duration request_timeout{milliseconds(5000)};
    /// Requests that may wait for a slot in one instance.
    int queue_limit{256};
    /// Retries allowed for each first attempt, as a share.
    double retry_budget{0.1};
    /// Consecutive failures after which a target counts as faulty.
    int failures_to_eject{3};
    /// A target whose typical latency is this many times that of its peers counts as slow.
    double slow_factor{4.0};
    /// First ejection time; doubled for each repeat up to ejection_limit.
    duration ejection_time{milliseconds(2000)};
    /// Longest ejection time.
    duration ejection_limit{milliseconds(60000)};
};

/// A named group of interchangeable targets.
struct service {
    service_id id;
    service_policy policy;
    std::map<target_id, target> targets;
};

/// Whether a route's requests may be sent to a target more than once.
enum class idempotency { by_method, always, never };

/// Maps a path prefix to a service.
struct route {
    route_id id;
    /// Host that the route is limited to; empty for every host.
    std::string host;
    /// Prefix made of whole path segments, for example "/layouts".
    std::string path_prefix;
    service_id service;
    /// True when no key is needed.
    bool open{false};
    /// Accounts that may use the route; empty for every account.
    std::unordered_set<std::string> accounts;
    /// Methods that the route serves; empty for every method.
    std::unordered_set<std::string> methods;
    idempotency repeatable{idempotency::by_method};
};

using client_account_ptr = std::shared_ptr<const client_account>;
using service_ptr = std::shared_ptr<const service>;
using route_ptr = std::shared_ptr<const route>;

} // namespace knapweedknot
