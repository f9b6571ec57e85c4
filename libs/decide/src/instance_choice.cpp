#include "decide/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "decide/instance_rank.h"

namespace knapweedknot {

namespace {

// Upper bounds of the cost of a request.
constexpr double requests_per_core_second = 250;
constexpr double bytes_per_request = 12'000;
// Requests per second that even a small machine serves.
constexpr double min_instance_capacity = 50;

/// Load and capacity of the ready instances of a failure domain. Rates and capacities are in
/// requests per second.
struct domain_load {
    double request_rate{0};
    /// Largest capacity of an instance.
    double max_capacity{0};
    /// Number of instances that are not weak.
    std::size_t strong_count{0};
    std::size_t instance_count{0};
    /// Smallest capacity of a strong instance.
    double min_strong_capacity{0};
    /// Smallest capacity of any instance.
    double min_capacity{0};
};

/// Sort key of \p candidate; smaller is better.
auto preference_of(const instance_candidate& candidate, const failure_domain_id& failure_domain,
                   const instance_choice_policy& policy) {
    return std::tuple(candidate.failure_domain != failure_domain,
                      candidate.uptime < policy.warm_up_time,
                      rank_of(candidate.instance, candidate.capacity));
}

/// Aggregates the candidates of \p failure_domain.
domain_load load_of(const std::vector<instance_candidate>& candidates,
                    const failure_domain_id& failure_domain, const instance_choice_policy& policy) {
    domain_load load;
    for (const instance_candidate& item : candidates) {
        if (item.failure_domain == failure_domain) {
            load.request_rate += item.request_rate;
            load.max_capacity = std::max(load.max_capacity, item.capacity);
        }
    }
    load.min_strong_capacity = load.min_capacity = load.max_capacity;
    for (const instance_candidate& item : candidates) {
        if (item.failure_domain != failure_domain) {
            continue;
        }
        ++load.instance_count;
        load.min_capacity = std::min(load.min_capacity, item.capacity);
        if (item.capacity >= policy.strong_capacity_share * load.max_capacity) {
            ++load.strong_count;
            load.min_strong_capacity = std::min(load.min_strong_capacity, item.capacity);
        }
    }
    return load;
}

/// Number of instances that the traffic of a failure domain needs; one when it has no instance.
std::size_t instances_needed(const domain_load& load, const instance_choice_policy& policy) {
    if (load.instance_count == 0) {
        return 1;
    }
    const auto needed_count = [&load](double capacity, std::size_t max_count) {
        const auto needed = static_cast<std::size_t>(std::ceil(load.request_rate / capacity));
        return std::clamp<std::size_t>(needed, 1, max_count);
    };
    const double max_strong_rate =
        static_cast<double>(load.strong_count) * load.min_strong_capacity * policy.max_strong_load;
    if (load.strong_count == load.instance_count || load.request_rate <= max_strong_rate) {
        return needed_count(load.min_strong_capacity, load.strong_count);
    }
    return needed_count(load.min_capacity, load.instance_count);
}

} // namespace

double capacity_of(double cores, double link_bytes_per_s) {
    const double by_processor = cores * requests_per_core_second;
    const double by_link = link_bytes_per_s / bytes_per_request;
    return std::max(min_instance_capacity, std::min(by_processor, by_link));
}

std::vector<instance_candidate> choose_instances(std::vector<instance_candidate> candidates,
                                                 const failure_domain_id& failure_domain,
                                                 const instance_choice_policy& policy) {
    std::erase_if(candidates, [](const instance_candidate& item) { return !item.ready; });
    std::sort(candidates.begin(), candidates.end(),
              [&](const instance_candidate& a, const instance_candidate& b) {
                  return preference_of(a, failure_domain, policy) <
                         preference_of(b, failure_domain, policy);
              });
    const domain_load load = load_of(candidates, failure_domain, policy);
    const std::size_t selected = instances_needed(load, policy);
    if (candidates.size() > selected) {
        candidates.resize(selected);
    }
    return candidates;
}

} // namespace knapweedknot
