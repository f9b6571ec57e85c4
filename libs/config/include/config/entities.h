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
/// The entities of a configuration. They are immutable once the configuration holds them, and
/// requests may share them beyond the lifetime of that configuration.

namespace knapweedknot {

/// Salted hash of the secret of an API key. The secret itself is never stored.
struct stored_key {
    /// Salt in hexadecimal digits, prepended to the secret before hashing.
    std::string salt;
    /// SHA-256 of salt and secret, as 64 lower-case hexadecimal digits.
    std::string sha256;
};

/// A client that may send requests, with its API keys and rate limit.
struct client_account {
    account_id id;
    /// Sustained rate limit over all instances together, in requests per second.
    double rate_per_s{0};
    /// Token bucket size: requests that may be admitted at once over all instances together. At
    /// least 2.
    double burst{0};
    /// Stored keys by key id.
    std::map<std::string, stored_key> keys;
};

/// A back-end server process that runs requests.
struct target {
    target_id id;
    endpoint address;
    failure_domain_id failure_domain;
};

/// Concurrency, queueing, retry and outlier ejection settings for the targets of a service.
struct service_policy {
    /// Requests that one target may run at once, over all instances together.
    int slots_per_target{6};
    /// Connections that one target accepts from all instances together.
    int connections_per_target{330};
    /// Minimum number of targets that stay in rotation, whatever their health.
    int floor{1};
    /// Time from arrival to response when the caller sends no deadline.
    duration request_timeout{milliseconds(5000)};
    /// Requests that may wait in one instance for a free slot of a target.
    int queue_limit{256};
    /// Retry budget: retries allowed per first attempt, from 0 to 1.
    double retry_budget{0.1};
    /// Consecutive failures after which a target is ejected.
    int failures_to_eject{3};
    /// Ratio of typical latency to that of the other targets from which a target counts as slow.
    double slow_factor{4.0};
    /// Length of the first ejection; doubled for each repeat, up to ejection_limit.
    duration ejection_time{milliseconds(2000)};
    /// Maximum length of an ejection.
    duration ejection_limit{milliseconds(60000)};
};

/// A named group of interchangeable targets.
struct service {
    service_id id;
    service_policy policy;
    std::map<target_id, target> targets;
};

/// Whether the requests of a route are idempotent and may therefore be retried.
enum class idempotency {
    /// According to the HTTP method.
    by_method,
    always,
    never
};

/// Maps a path prefix to a service.
struct route {
    route_id id;
    /// Host that the route matches; empty for every host.
    std::string host;
    /// Prefix of whole path segments, for example "/layouts".
    std::string path_prefix;
    service_id service;
    /// True when requests need no API key.
    bool open{false};
    /// Accounts that may use the route; empty for every account.
    std::unordered_set<std::string> accounts;
    /// HTTP methods that the route accepts; empty for every method.
    std::unordered_set<std::string> methods;
    idempotency repeatable{idempotency::by_method};
};

using client_account_ptr = std::shared_ptr<const client_account>;
using service_ptr = std::shared_ptr<const service>;
using route_ptr = std::shared_ptr<const route>;

} // namespace knapweedknot
