#include "decide/instance_choice.h"

#include <algorithm>
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
    const auto local = std::count_if(candidates.begin(), candidates.end(), [&](const auto& item) {
        return item.failure_domain == failure_domain;
    });
    std::size_t named = policy.per_failure_domain;
    if (local > 0) {
        named = std::min(named, static_cast<std::size_t>(local));
    }
    if (candidates.size() > named) {
        candidates.resize(named);
    }
    return candidates;
}

} // namespace knapweedknot
