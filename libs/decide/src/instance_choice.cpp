#include "decide/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"

namespace knapweedknot {

namespace {

// What a request costs at most of the processor and of the link.
constexpr double requests_per_core_second = 250;
constexpr double bytes_per_request = 12'000;
// Even a small machine serves this many requests per second.
constexpr double least_capacity = 50;

/// What a failure domain's ready instances get and can take.
struct domain_load {
    double request_rate{0};
    double strongest{0};
    std::size_t strong{0};
    std::size_t all{0};
    /// Least capacity among the strong ones.
    double strong_capacity{0};
    /// Least capacity among all.
    double least_capacity{0};
};

/// Order of preference; a smaller rank comes first.
auto rank_of(const instance_candidate& candidate, const failure_domain_id& failure_domain,
             const choice_policy& policy) {
    return std::tuple(candidate.failure_domain != failure_domain,
                      candidate.uptime < policy.settling_time, -candidate.capacity,
                      hash64(candidate.instance.value));
}

/// Sums up the candidates of \p failure_domain.
domain_load load_of(const std::vector<instance_candidate>& candidates,
                    const failure_domain_id& failure_domain, const choice_policy& policy) {
    domain_load load;
    for (const instance_candidate& item : candidates) {
        if (item.failure_domain == failure_domain) {
            load.request_rate += item.request_rate;
            load.strongest = std::max(load.strongest, item.capacity);
        }
    }
    load.strong_capacity = load.least_capacity = load.strongest;
    for (const instance_candidate& item : candidates) {
        if (item.failure_domain != failure_domain) {
            continue;
        }
        ++load.all;
        load.least_capacity = std::min(load.least_capacity, item.capacity);
        if (item.capacity >= policy.weak_part * load.strongest) {
            ++load.strong;
            load.strong_capacity = std::min(load.strong_capacity, item.capacity);
        }
    }
    return load;
}

/// How many instances a failure domain's traffic needs; one when it has none of its own.
std::size_t instances_needed(const domain_load& load, const choice_policy& policy) {
    if (load.all == 0) {
        return 1;
    }
    const auto count = [&load](double capacity, std::size_t most) {
        const auto needed = static_cast<std::size_t>(std::ceil(load.request_rate / capacity));
        return std::clamp<std::size_t>(needed, 1, most);
    };
    const double most_of_strong =
        static_cast<double>(load.strong) * load.strong_capacity * policy.most_load_of_strong;
    if (load.strong == load.all || load.request_rate <= most_of_strong) {
        return count(load.strong_capacity, load.strong);
    }
    return count(load.least_capacity, load.all);
}

} // namespace

double capacity_of(double cores, double link_bytes_per_s) {
    const double by_processor = cores * requests_per_core_second;
    const double by_link = link_bytes_per_s / bytes_per_request;
    return std::max(least_capacity, std::min(by_processor, by_link));
}

std::vector<instance_candidate> choose_instances(std::vector<instance_candidate> candidates,
                                                 const failure_domain_id& failure_domain,
                                                 const choice_policy& policy) {
    std::erase_if(candidates, [](const instance_candidate& item) { return !item.ready; });
    std::sort(candidates.begin(), candidates.end(),
              [&](const instance_candidate& a, const instance_candidate& b) {
                  return rank_of(a, failure_domain, policy) < rank_of(b, failure_domain, policy);
              });
    const domain_load load = load_of(candidates, failure_domain, policy);
    const std::size_t named = instances_needed(load, policy);
    if (candidates.size() > named) {
        candidates.resize(named);
    }
    return candidates;
}

} // namespace knapweedknot
