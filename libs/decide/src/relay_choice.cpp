#include "decide/relay_choice.h"

#include <algorithm>
#include <tuple>

#include "decide/instance_rank.h"

namespace knapweedknot {

namespace {

/// Sort key; smaller is better.
auto preference_of(const relay_candidate& candidate) {
    return std::tuple(rank_of(candidate.instance, candidate.capacity), candidate.incarnation);
}

} // namespace

relay_choice choose_relays(std::vector<relay_candidate> others, const relay_candidate& own,
                           bool own_can_relay) {
    constexpr std::size_t max_relays = 2;
    std::sort(others.begin(), others.end(),
              [](const auto& a, const auto& b) { return preference_of(a) < preference_of(b); });
    const auto own_place = own_can_relay
                               ? std::find_if(others.begin(), others.end(),
                                              [&own](const relay_candidate& other) {
                                                  return preference_of(own) < preference_of(other);
                                              })
                               : others.end();
    const auto own_domain = [&own](const relay_candidate& candidate) {
        return candidate.failure_domain == own.failure_domain;
    };
    relay_choice choice;
    choice.is_domain_relay = own_can_relay && std::none_of(others.begin(), own_place, own_domain);
    // Relays of the own failure domain come first, unless this instance is its domain's relay.
    if (!choice.is_domain_relay) {
        std::stable_partition(others.begin(), others.end(), own_domain);
        for (const relay_candidate& candidate : others) {
            if (choice.relays.size() < max_relays) {
                choice.relays.push_back(candidate.incarnation);
            }
        }
        return choice;
    }
    for (auto better = others.begin(); better != own_place; ++better) {
        if (choice.relays.size() < max_relays) {
            choice.relays.push_back(better->incarnation);
        }
    }
    return choice;
}

} // namespace knapweedknot
