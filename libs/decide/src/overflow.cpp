#include "decide/overflow.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace knapweedknot {

namespace {

// A domain without spare room keeps this share of its room as its weight, so that requests which
// already run there are not moved when it fills up.
constexpr double min_weight_share = 0.02;

/// Requests that the domain could take from others. Its own callers come first.
double spare_room(const domain_load& load, const overflow_policy& policy) {
    return std::max(0.0, policy.max_utilization * load.room - std::max(load.running, load.demand));
}

double weight_of(const domain_load& load, const overflow_policy& policy) {
    return std::max(spare_room(load, policy), min_weight_share * load.room);
}

/// Share of the requests of \p own that leave the domain.
double share_out(const domain_loads& loads, const failure_domain_id& own, double total_spare,
                 const overflow_policy& policy) {
    const domain_load& home = loads.at(own);
    if (home.room <= 0) {
        return 1;
    }
    if (home.demand <= 0) {
        return 0;
    }
    const double overflow = std::max(0.0, home.demand - policy.max_utilization * home.room);
    return std::min(overflow, total_spare + home.sent_out) / home.demand;
}

} // namespace

domain_shares overflow_shares(const domain_loads& loads, const failure_domain_id& own,
                              const overflow_policy& policy) {
    assert(loads.contains(own));
    double total_spare = 0;
    double total_weight = 0;
    for (const auto& [domain, load] : loads) {
        total_spare += domain == own ? 0 : spare_room(load, policy);
        total_weight += domain == own ? 0 : weight_of(load, policy);
    }
    const double out = total_weight > 0 ? share_out(loads, own, total_spare, policy) : 0;
    domain_shares shares;
    for (const auto& [domain, load] : loads) {
        shares[domain] =
            domain == own ? 1 - out : out * weight_of(load, policy) / std::max(1e-9, total_weight);
    }
    return shares;
}

void smooth_shares(domain_shares& shares, const domain_shares& target, duration elapsed,
                   const overflow_policy& policy) {
    if (shares.empty()) {
        shares = target;
        return;
    }
    const double kept = std::exp(-to_seconds(elapsed) / to_seconds(policy.smoothing));
    std::erase_if(shares, [&target](const auto& item) { return !target.contains(item.first); });
    double sum = 0;
    for (const auto& [domain, share] : target) {
        double& smoothed = shares[domain];
        smoothed = smoothed * kept + share * (1 - kept);
        sum += smoothed;
    }
    for (auto& [domain, share] : shares) {
        share /= sum;
    }
}

const failure_domain_id& draw_domain(const domain_shares& shares, std::minstd_rand& random) {
    assert(!shares.empty());
    double left = std::uniform_real_distribution<double>(0, 1)(random);
    for (const auto& [domain, share] : shares) {
        if (left < share) {
            return domain;
        }
        left -= share;
    }
    // Rounding errors of the sum.
    return shares.rbegin()->first;
}

} // namespace knapweedknot
