#include "decide/target_health.h"

#include <algorithm>
#include <numeric>

namespace knapweedknot {

namespace {

constexpr double smoothing_factor = 0.2;
constexpr int min_latency_samples = 5;
constexpr std::size_t min_compared_targets = 2;
// The ejection length starts over after a time in rotation of this multiple of the next length.
constexpr int ejection_reset_factor = 5;
// Smaller latency differences are noise even when the slow factor is exceeded.
constexpr double min_slow_difference_ms = 2;

duration ejection_length(const target_health& target, const health_policy& policy) {
    duration length = policy.ejection_time;
    for (int i = 0; i < target.ejections && length < policy.ejection_limit; ++i) {
        length *= 2;
    }
    return std::min(length, policy.ejection_limit);
}

void eject(target_health& target, const health_policy& policy, time_point now, const char* reason) {
    if (now - target.ejected_until > ejection_reset_factor * ejection_length(target, policy)) {
        target.ejections = 0;
    }
    target.ejected_until = now + ejection_length(target, policy);
    ++target.ejections;
    target.reason = reason;
    target.consecutive_failures = 0;
    target.latency_samples = 0;
    target.latency_ms = 0;
}

double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void record_response(target_health& target, duration latency, time_point /*now*/) {
    constexpr double ms_per_second = 1000;
    const double latency_ms = to_seconds(latency) * ms_per_second;
    target.consecutive_failures = 0;
    target.latency_ms =
        target.latency_samples == 0
            ? latency_ms
            : target.latency_ms + smoothing_factor * (latency_ms - target.latency_ms);
    ++target.latency_samples;
}

bool record_failure(target_health& target, const health_policy& policy, time_point now) {
    ++target.consecutive_failures;
    if (target.consecutive_failures < policy.failures_to_eject || is_ejected(target, now)) {
        return false;
    }
    eject(target, policy, now, "failures");
    return true;
}

bool eject_if_slow(target_health& target, const std::vector<double>& others_ms,
                   const health_policy& policy, time_point now) {
    if (target.latency_samples < min_latency_samples || others_ms.size() < min_compared_targets ||
        is_ejected(target, now)) {
        return false;
    }
    const double typical = median(others_ms);
    if (target.latency_ms < policy.slow_factor * typical ||
        target.latency_ms - typical < min_slow_difference_ms) {
        return false;
    }
    eject(target, policy, now, "slow");
    return true;
}

bool is_ejected(const target_health& target, time_point now) noexcept {
    return target.ejected_until > now;
}

std::vector<std::size_t> in_rotation(const std::vector<const target_health*>& targets,
                                     std::size_t floor, time_point now) {
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const auto end = [&](std::size_t i) { return std::max(targets[i]->ejected_until, now); };
        return end(left) < end(right);
    });
    std::size_t count = 0;
    while (count < order.size() && (count < floor || !is_ejected(*targets[order[count]], now))) {
        ++count;
    }
    order.resize(count);
    return order;
}

} // namespace knapweedknot
