#include "decide/refill_share.h"

#include <algorithm>

namespace knapweedknot {

time_point assumed_until(duration silent_for, const lost_instance_policy& policy,
                         time_point now) noexcept {
    return now +
           (silent_for < policy.silence_threshold ? policy.close_timeout : policy.silence_timeout);
}

void mark_lost(lost_instances& lost, const instance_id& instance, duration silent_for,
               const lost_instance_policy& policy, time_point now) {
    std::erase_if(lost, [now](const auto& item) { return item.second <= now; });
    lost[instance] = assumed_until(silent_for, policy, now);
}

void clear_lost(lost_instances& lost, const instance_id& instance) {
    lost.erase(instance);
}

double refill_share(const lost_instances& lost, std::size_t on_time, std::size_t overdue,
                    const lost_instance_policy& policy, time_point now) {
    const auto lost_count = std::count_if(lost.begin(), lost.end(),
                                          [now](const auto& item) { return item.second > now; });
    const double reachable = static_cast<double>(on_time) + 1;
    const double unreachable = static_cast<double>(overdue) + static_cast<double>(lost_count);
    return reachable / (reachable + unreachable * (1 + policy.unreachable_failovers));
}

} // namespace knapweedknot
