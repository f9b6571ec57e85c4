#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

/// \file
/// Outlier ejection of a service's targets by the results of one instance's own requests. Functions
/// modify nothing but their first argument. Not thread safe.

namespace knapweedknot {

/// When and for how long a target is ejected.
struct health_policy {
    /// Consecutive failures after which a target is ejected.
    int failures_to_eject{3};
    /// A target is ejected when its average latency is at least this multiple of the median of the
    /// others.
    double slow_factor{4};
    /// Length of the first ejection; doubles with each further one up to the limit.
    duration ejection_time{milliseconds(2000)};
    duration ejection_limit{milliseconds(60000)};
};

/// Health of one target.
struct target_health {
    int consecutive_failures{0};
    /// Exponential moving average of the response times, in milliseconds.
    double latency_ms{0};
    int latency_samples{0};
    /// Out of rotation until then.
    time_point ejected_until;
    /// Ejections since the length last started over.
    int ejections{0};
    /// Reason for the last ejection: "failures" or "slow"; empty when there was none.
    std::string reason;
};

/// Records a response that arrived after \p latency.
void record_response(target_health& target, duration latency, time_point now);

/// Records a failure: an error response, a broken connection or a time-out. True if this call
/// ejected the target.
bool record_failure(target_health& target, const health_policy& policy, time_point now);

/// Ejects \p target if it is slow compared with the median of \p others_ms, the average latencies
/// of the other targets in milliseconds. True if this call ejected it.
bool eject_if_slow(target_health& target, const std::vector<double>& others_ms,
                   const health_policy& policy, time_point now);

[[nodiscard]] bool is_ejected(const target_health& target, time_point now) noexcept;

/// Indices of the targets in rotation: those not ejected, and, while these are fewer than \p floor,
/// the ones whose ejection ends first.
[[nodiscard]] std::vector<std::size_t> in_rotation(const std::vector<const target_health*>& targets,
                                                   std::size_t floor, time_point now);

} // namespace knapweedknot
