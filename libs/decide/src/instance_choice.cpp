#include "decide/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"

namespace knapweedknot {

namespace {

/// Order of preference; a smaller rank comes first.
auto rank_of(const instance_candidate& candidate, const failure_domain_id& failure_domain,
             const choice_policy& policy) {
    return std::tuple(candidate.failure_domain != failure_domain,
                      candidate.uptime < policy.settling_time, hash64(candidate.instance.value));
}

} // namespace

std::vector<instance_candidate> choose_instances(std::vector<instance_candidate> candidates,
                                                 const failure_domain_id& failure_domain,
                                                 const choice_policy& policy) {
    std::erase_if(candidates, [](const instance_candidate& item) { return !item.ready; });
    std::sort(candidates.begin(), candidates.end(),
              [&](const instance_candidate& a, const instance_candidate& b) {
                  return rank_of(a, failure_domain, policy) < rank_of(b, failure_domain, policy);
              });
    std::size_t local = 0;
    double local_rate = 0;
    for (const instance_candidate& item : candidates) {
        if (item.failure_domain == failure_domain) {
            ++local;
            local_rate += item.request_rate;
        }
    }
    // As many as the traffic needs.
    auto named = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(local_rate / policy.rate_per_instance)));
    if (local > 0) {
        named = std::min(named, local);
    }
    if (candidates.size() > named) {
        candidates.resize(named);
    }
    return candidates;
}

} // namespace knapweedknot
