#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"

/// \file
/// Divides the targets of a service among the instances that serve requests.
///
/// An instance prefers the targets that are assigned to it. As few others send there, its own count
/// of running requests is close to the true one, and a target that stops answering is noticed by
/// the instance that uses it most, without waiting for reports. Views that differ cost some of that
/// precision, never correctness. All functions are pure and thread safe.

namespace knapweedknot {

/// A target as an item of the division.
struct assignable_target {
    /// Hash of the target's id.
    std::uint64_t hash{0};
    failure_domain_id failure_domain;
};

/// An instance that serves requests.
struct serving_instance {
    incarnation_id incarnation;
    failure_domain_id failure_domain;
    friend bool operator==(const serving_instance&, const serving_instance&) = default;
};

/// Whether each of \p targets is assigned to \p self, in the order of \p targets.
///
/// A target is assigned to an instance of its own failure domain, or to any instance if none of
/// them serves. The choice is by rendezvous hashing, so that a change of the instances or targets
/// moves few assignments; an instance gets no more than its even share, rounded up.
/// \pre \p instances contains \p self
[[nodiscard]] std::vector<bool> assigned_targets(const std::vector<assignable_target>& targets,
                                                 const std::vector<serving_instance>& instances,
                                                 incarnation_id self);

} // namespace knapweedknot
