#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

/// \file
/// One instance's judgement of a service's targets from the requests it sent to them. All
/// functions are pure but for their first argument. Not thread safe.

namespace knapweedknot {

/// When a target is taken out of rotation.
struct health_policy {
    /// Consecutive failures after which a target is taken out.
    int failures_to_eject{3};
    /// A target whose typical latency is this many times that of the others is taken out.
    double slow_factor{4};
    /// First time out of rotation; doubled for each repeat.
    duration ejection_time{milliseconds(2000)};
    duration ejection_limit{milliseconds(60000)};
};

/// Evidence on one target.
struct target_health {
    int consecutive_failures{0};
    /// Moving average of answer times, in milliseconds.
    double latency_ms{0};
    int latency_samples{0};
    /// Out of rotation until then.
    time_point ejected_until;
    /// Ejections without a healthy spell between them.
    int ejections{0};
    /// Why it was last taken out: "failures" or "slow"; empty when it never was.
    std::string reason;
};

/// Notes an answer that arrived after \p latency.
void note_answer(target_health& target, duration latency, time_point now);

/// Notes a failure: an error answer, a broken connection or a time-out. Returns true when it takes
/// the target out of rotation.
bool note_failure(target_health& target, const health_policy& policy, time_point now);

/// Takes \p target out when it is slow compared with the median of \p others. Returns true then.
bool judge_latency(target_health& target, const std::vector<double>& others_ms,
                   const health_policy& policy, time_point now);

[[nodiscard]] bool is_ejected(const target_health& target, time_point now) noexcept;

/// Positions of the targets in rotation: those not ejected, and while these are fewer than
/// \p floor, the ones whose ejection ends first.
[[nodiscard]] std::vector<std::size_t> in_rotation(const std::vector<const target_health*>& targets,
                                                   std::size_t floor, time_point now);

} // namespace knapweedknot
