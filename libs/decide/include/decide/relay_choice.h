#pragma once

#include <vector>

#include "base/ids.h"

/// \file
/// Chooses the instances that read the store on behalf of others.
///
/// One instance of the fleet, the root, reads the store. The best instance of every other failure
/// domain asks the root, and all others ask the best one of their own failure domain. Instances
/// whose views differ choose differently; that costs calls and messages, never correctness. All
/// functions are pure and thread safe.

namespace knapweedknot {

/// An instance that can relay, as known to the one that chooses.
struct relay_candidate {
    incarnation_id incarnation;
    instance_id instance;
    failure_domain_id failure_domain;
    /// Requests per second that its machine can sustain.
    double capacity{0};
};

/// Whom an instance asks for what the store holds.
struct relay_choice {
    /// Instances to ask, best first. Empty for the root, and where no other instance is known: such
    /// an instance reads the store itself.
    std::vector<incarnation_id> relays;
    /// Whether the instance is the best one of its failure domain.
    bool is_domain_relay{false};
};

/// The choice of \p own.
/// \param others all other instances that can relay
/// \param own_can_relay false if the store does not answer \p own: others are then preferred
[[nodiscard]] relay_choice choose_relays(std::vector<relay_candidate> others,
                                         const relay_candidate& own, bool own_can_relay);

} // namespace knapweedknot
