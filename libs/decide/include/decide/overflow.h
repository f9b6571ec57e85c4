#pragma once

#include <map>
#include <random>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// How much of a service's load leaves the failure domain of its callers.
///
/// Traffic between failure domains is slower and costs money, so a domain keeps its requests while
/// its own targets suffice, and sends out only what does not fit. All instances compute the shares
/// by themselves from reports of different ages. The shares change in proportion to the load and
/// are smoothed, so instances whose reports differ do not switch back and forth together.

namespace knapweedknot {

/// Load and room of one service in one failure domain.
struct domain_load {
    /// Requests that the domain's instances have running at any target, or queued.
    double demand{0};
    /// Part of the demand that runs at targets of other domains.
    double sent_out{0};
    /// Requests of all instances that run at the domain's targets.
    double running{0};
    /// Slots of the domain's targets that may get requests.
    double room{0};
};

using domain_loads = std::map<failure_domain_id, domain_load>;
/// Shares of the requests by the failure domain of the targets; their sum is 1.
using domain_shares = std::map<failure_domain_id, double>;

/// Parameters of the division.
struct overflow_policy {
    /// Share of its room that a domain uses before requests leave it, and up to which it takes
    /// requests of others. Above it, requests often meet full targets, as counts are old.
    double max_utilization{0.85};
    /// Time constant of the smoothing, longer than reports are old.
    duration smoothing{milliseconds(1000)};
};

/// Shares of the requests of \p own that go to each domain. What exceeds max_utilization of its
/// room goes to the other domains in proportion to their spare room, at most as much as their spare
/// room and what \p own already runs there. The rest stays. If \p own has no room, everything
/// leaves, unless no other domain has room either. Thread safe. \pre \p loads contains \p own
[[nodiscard]] domain_shares overflow_shares(const domain_loads& loads, const failure_domain_id& own,
                                            const overflow_policy& policy);

/// Moves \p shares towards \p target, for a step of \p elapsed. Modifies only \p shares. Not thread
/// safe.
void smooth_shares(domain_shares& shares, const domain_shares& target, duration elapsed,
                   const overflow_policy& policy);

/// Draws a domain by its share. Not thread safe.
/// \pre \p shares is not empty
[[nodiscard]] const failure_domain_id& draw_domain(const domain_shares& shares,
                                                   std::minstd_rand& random);

} // namespace knapweedknot
