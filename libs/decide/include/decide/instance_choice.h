#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"

/// \file
/// Which instances a caller is told to use.
///
/// Pattern: little traffic over many instances. If every instance served a share of it, none would
/// see enough to judge a target, keep a connection open or know how full a target is. So callers
/// are sent to few instances, the same ones for all callers of a failure domain. All functions are
/// pure and thread safe.

namespace knapweedknot {

/// An instance as the one that answers knows it.
struct instance_candidate {
    instance_id instance;
    failure_domain_id failure_domain;
    endpoint callers_address;
    /// Takes requests and is not about to stop.
    bool ready{false};
    /// Time since its process started.
    duration uptime{duration::zero()};
    /// Requests per second that it has lately received.
    double request_rate{0};
    /// Requests per second that its machine serves with ease.
    double capacity{50};
};

/// How many instances serve.
struct choice_policy {
    /// An instance with less than this part of the capacity of the strongest one is weak: callers
    /// choose among the named ones evenly, so it would get as much as the strong ones.
    double weak_part{0.5};
    /// Weak instances are named when the strong ones would get more than this many times their
    /// capacity.
    double most_load_of_strong{2};
    /// A process younger than this is named only when older ones are missing.
    duration settling_time{milliseconds(1500)};
};

/// Requests per second that a machine serves with ease, with \p cores of processor time per second
/// and a link of \p link_bytes_per_s.
[[nodiscard]] double capacity_of(double cores, double link_bytes_per_s);

/// The instances that callers in \p failure_domain should use, best first. Those of another
/// failure domain are named only when their own one has none that is ready.
[[nodiscard]] std::vector<instance_candidate>
choose_instances(std::vector<instance_candidate> candidates,
                 const failure_domain_id& failure_domain, const choice_policy& policy);

} // namespace knapweedknot
