#pragma once

#include <vector>

#include "base/ids.h"

/// \file
/// Chooses the instances that read the store on behalf of others.
///
/// One instance of the fleet, the root, reads the store. The best instance of every other failure
/// domain asks the root, and all others ask the best one of their own failure domain. Instances
/// whose views differ choose differently; that costs calls and messages, never correctness. While
/// the store answers none of them, the choice is made as if it answered all: one instance always
/// reads the store itself, and the others do not all turn to it at once. All functions are pure and
/// thread safe.

namespace knapweedknot {

/// An instance, as known to the one that chooses.
struct relay_candidate {
    incarnation_id incarnation;
    instance_id instance;
    failure_domain_id failure_domain;
    /// Requests per second that its machine can sustain.
    double capacity{0};
    /// Whether it has what the store holds, and the store answers it.
    bool can_relay{true};
};

/// Whom an instance asks for what the store holds.
struct relay_choice {
    /// Instances to ask, best first. Empty for the root, and where no other instance is known: such
    /// an instance reads the store itself.
    std::vector<incarnation_id> relays;
    /// Whether the instance is the best one of its failure domain among those that can relay.
    bool is_domain_relay{false};
    /// Whether the instance is the best one of its failure domain among all. It finds out early
    /// whether the store answers again, on behalf of the others.
    bool is_domain_best{false};
};

/// The choice of \p own among all other running instances. Those that can relay are preferred, also
/// to \p own if it cannot.
[[nodiscard]] relay_choice choose_relays(std::vector<relay_candidate> others,
                                         const relay_candidate& own);

} // namespace knapweedknot
