#include "decide/target_assignment.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <iterator>
#include <map>
#include <numeric>

#include "decide/rendezvous.h"

namespace knapweedknot {

namespace {

/// The instances that may get the targets of one failure domain, and the targets that are left for
/// each of them.
struct domain_share {
    std::vector<incarnation_id> instances;
    std::map<incarnation_id, std::size_t> room;
};

std::vector<incarnation_id> instances_for(const failure_domain_id& domain,
                                          const std::vector<serving_instance>& instances) {
    std::vector<incarnation_id> own;
    std::vector<incarnation_id> all;
    for (const serving_instance& instance : instances) {
        all.push_back(instance.incarnation);
        if (instance.failure_domain == domain) {
            own.push_back(instance.incarnation);
        }
    }
    return own.empty() ? all : own;
}

domain_share make_share(const failure_domain_id& domain, std::size_t target_count,
                        const std::vector<serving_instance>& instances) {
    domain_share share;
    share.instances = instances_for(domain, instances);
    const std::size_t even_share =
        (target_count + share.instances.size() - 1) / share.instances.size();
    for (const incarnation_id instance : share.instances) {
        share.room[instance] = even_share;
    }
    return share;
}

/// Takes the instance with the highest rendezvous weight among those with room.
incarnation_id take_instance(domain_share& share, std::uint64_t target) {
    incarnation_id best{};
    for (const incarnation_id instance : share.instances) {
        const bool has_room = share.room.at(instance) > 0;
        if (has_room && (best == incarnation_id{} ||
                         rendezvous_weight(best, target) < rendezvous_weight(instance, target))) {
            best = instance;
        }
    }
    --share.room.at(best);
    return best;
}

} // namespace

failure_domain_id home_domain(const failure_domain_id& own, incarnation_id incarnation,
                              const std::set<failure_domain_id>& open) {
    if (open.empty() || open.contains(own)) {
        return own;
    }
    const std::uint64_t hash = rendezvous_weight(incarnation, 0).first;
    return *std::next(open.begin(), static_cast<std::ptrdiff_t>(hash % open.size()));
}

std::vector<bool> assigned_targets(const std::vector<assignable_target>& targets,
                                   const std::vector<serving_instance>& instances,
                                   incarnation_id self) {
    assert(std::any_of(instances.begin(), instances.end(),
                       [self](const serving_instance& item) { return item.incarnation == self; }));
    std::map<failure_domain_id, std::size_t> counts;
    for (const assignable_target& target : targets) {
        ++counts[target.failure_domain];
    }
    std::map<failure_domain_id, domain_share> shares;
    for (const auto& [domain, count] : counts) {
        shares.emplace(domain, make_share(domain, count, instances));
    }
    // The order decides who gets a target while room is short, so it must be the same everywhere.
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&targets](std::size_t a, std::size_t b) {
        return targets[a].hash < targets[b].hash;
    });
    std::vector<bool> assigned(targets.size(), false);
    for (const std::size_t index : order) {
        domain_share& share = shares.at(targets[index].failure_domain);
        assigned[index] = take_instance(share, targets[index].hash) == self;
    }
    return assigned;
}

} // namespace knapweedknot
