#include "decide/evacuation.h"

#include <algorithm>
#include <cmath>

namespace knapweedknot {

bool is_evacuated(const evacuation_states& states, const failure_domain_id& domain) {
    const auto found = states.find(domain);
    return found != states.end() && found->second.evacuated;
}

double open_share(const evacuation_states& states, const failure_domain_id& domain,
                  const slow_start_policy& policy, time_point now) {
    const auto found = states.find(domain);
    if (found == states.end()) {
        return 1;
    }
    if (found->second.evacuated) {
        return 0;
    }
    const double passed = to_seconds(now - found->second.since) / to_seconds(policy.length);
    return std::clamp(policy.first_share + (1 - policy.first_share) * passed, policy.first_share,
                      1.0);
}

int open_slots(int slots, double share) {
    return static_cast<int>(std::ceil(slots * share));
}

bool is_open_to(double share, double draw) {
    return draw < share;
}

} // namespace knapweedknot
