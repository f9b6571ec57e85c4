#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"

/// \file
/// Selects the subset of instances that callers should use.
///
/// If little traffic were spread over many instances, none would see enough requests to detect a
/// bad target, keep connections open or know the load of a target. Therefore all callers of a
/// failure domain are sent to the same few instances. All functions are pure and thread safe.

namespace knapweedknot {

/// An instance, as known to the one that answers the caller.
struct instance_candidate {
    instance_id instance;
    failure_domain_id failure_domain;
    endpoint callers_address;
    /// True when it accepts requests and is not stopping.
    bool ready{false};
    /// Time since its process started.
    duration uptime{duration::zero()};
    /// Recent rate of received requests, per second.
    double request_rate{0};
    /// Requests per second that its machine can sustain.
    double capacity{50};
};

/// Parameters of the selection.
struct instance_choice_policy {
    /// An instance with less than this share of the largest capacity is weak. Callers spread their
    /// requests evenly over the selected instances, so a weak one would get as many as a strong
    /// one.
    double strong_capacity_share{0.5};
    /// Weak instances are selected as well when the load of the strong ones would exceed this
    /// multiple of their capacity.
    double max_strong_load{2};
    /// Instances with a shorter uptime rank last within their failure domain.
    duration warm_up_time{milliseconds(1500)};
};

/// Requests per second that a machine with \p cores (processor seconds per second) and a link of
/// \p link_bytes_per_s can sustain.
[[nodiscard]] double capacity_of(double cores, double link_bytes_per_s);

/// The instances that callers in \p failure_domain should use, best first. Instances of other
/// failure domains rank last and are selected only when the own one has no ready instance.
[[nodiscard]] std::vector<instance_candidate>
choose_instances(std::vector<instance_candidate> candidates,
                 const failure_domain_id& failure_domain, const instance_choice_policy& policy);

} // namespace knapweedknot
