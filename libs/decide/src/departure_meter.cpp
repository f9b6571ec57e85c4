#include "decide/departure_meter.h"

#include <algorithm>
#include <cmath>

namespace knapweedknot {

namespace {

/// \p meter as of \p now.
departure_meter advanced(const departure_meter& meter, const departure_policy& policy,
                         time_point now) {
    departure_meter result = meter;
    if (now <= meter.updated_at) {
        return result;
    }
    const double window_s = to_seconds(policy.window);
    const double kept = std::exp(-to_seconds(now - meter.updated_at) / window_s);
    result.departures *= kept;
    result.busy_s = result.busy_s * kept + (meter.busy ? window_s * (1 - kept) : 0);
    result.updated_at = now;
    return result;
}

} // namespace

void set_busy(departure_meter& meter, bool busy, const departure_policy& policy, time_point now) {
    meter = advanced(meter, policy, now);
    meter.busy = busy;
}

void record_departure(departure_meter& meter, const departure_policy& policy, time_point now) {
    meter = advanced(meter, policy, now);
    meter.departures += 1;
}

double departure_rate(const departure_meter& meter, double expected_per_s,
                      const departure_policy& policy, time_point now) {
    const departure_meter current = advanced(meter, policy, now);
    const double prior_s = to_seconds(policy.prior_weight);
    return (current.departures + expected_per_s * prior_s) / (current.busy_s + prior_s);
}

double expected_departure_rate(int slots, std::size_t instances, duration response_time) {
    const double per_s = std::max(1, slots) / to_seconds(response_time);
    return per_s / static_cast<double>(instances);
}

} // namespace knapweedknot
