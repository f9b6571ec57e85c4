#include "decide/relay_choice.h"

#include <algorithm>
#include <tuple>

#include "decide/instance_rank.h"

namespace knapweedknot {

namespace {

constexpr std::size_t max_relays = 2;

/// Sort key; smaller is better.
auto preference_of(const relay_candidate& candidate) {
    return std::tuple(rank_of(candidate.instance, candidate.capacity), candidate.incarnation);
}

bool is_better(const relay_candidate& a, const relay_candidate& b) {
    return preference_of(a) < preference_of(b);
}

/// Whether no candidate of own's failure domain is better than own.
bool is_best_of_domain(const std::vector<relay_candidate>& others, const relay_candidate& own) {
    return std::none_of(others.begin(), others.end(), [&own](const relay_candidate& other) {
        return other.failure_domain == own.failure_domain && is_better(other, own);
    });
}

std::vector<incarnation_id> first_of(const std::vector<relay_candidate>& candidates) {
    std::vector<incarnation_id> relays;
    for (const relay_candidate& candidate : candidates) {
        if (relays.size() < max_relays) {
            relays.push_back(candidate.incarnation);
        }
    }
    return relays;
}

} // namespace

relay_choice choose_relays(std::vector<relay_candidate> others, const relay_candidate& own) {
    relay_choice choice;
    choice.is_domain_best = is_best_of_domain(others, own);
    const auto can_relay = [](const relay_candidate& candidate) { return candidate.can_relay; };
    const bool can_any_relay =
        own.can_relay || std::any_of(others.begin(), others.end(), can_relay);
    if (can_any_relay) {
        std::erase_if(others, [&](const auto& other) { return !can_relay(other); });
    }
    std::sort(others.begin(), others.end(), is_better);
    const bool is_preferred_to_others = own.can_relay || !can_any_relay;
    choice.is_domain_relay = is_preferred_to_others && is_best_of_domain(others, own);
    // Relays of the own failure domain come first, unless this instance is its domain's relay.
    if (choice.is_domain_relay) {
        std::erase_if(others, [&own](const auto& other) { return !is_better(other, own); });
    } else {
        std::stable_partition(others.begin(), others.end(), [&own](const auto& other) {
            return other.failure_domain == own.failure_domain;
        });
    }
    choice.relays = first_of(others);
    return choice;
}

} // namespace knapweedknot
