#pragma once

#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Which failure domains get requests while some are evacuated, and how much of the load a domain
/// gets after its evacuation.
///
/// All functions are pure and thread safe.

namespace knapweedknot {

/// What an instance knows about the evacuation of a failure domain.
struct evacuation_state {
    bool evacuated{false};
    /// When `evacuated` last changed, as this instance learned of it.
    time_point since;
    /// Store revision of the last change; 0 when another instance reported it, as that states no
    /// revisions.
    std::uint64_t revision{0};
    /// When this instance last took over an order or its end, also one that left `evacuated` as it
    /// was. It was written then or earlier.
    time_point learned_at;
};

/// Failure domains that are evacuated, or were so lately.
using evacuation_states = std::map<failure_domain_id, evacuation_state>;

/// Slow start of a failure domain after its evacuation.
struct slow_start_policy {
    /// Share of the load right after the end of the evacuation.
    double first_share{0.1};
    /// Time in which the share increases linearly to 1.
    duration length{seconds(8)};
};

/// True when the targets of \p domain get no requests.
[[nodiscard]] bool is_evacuated(const evacuation_states& states, const failure_domain_id& domain);

/// Share of its load that \p domain may get: 0 while it is evacuated, less than 1 during the slow
/// start after that, and 1 otherwise.
[[nodiscard]] double open_share(const evacuation_states& states, const failure_domain_id& domain,
                                const slow_start_policy& policy, time_point now);

/// Slots of a target that may be used during a slow start: its share, rounded up.
/// \pre \p slots is not negative
[[nodiscard]] int open_slots(int slots, double share);

/// Whether a request may go to a failure domain with the share \p share although other domains have
/// room. The shares of several domains are compared with the same draw.
/// \param draw random number of the request, from 0 to less than 1
[[nodiscard]] bool is_open_to(double share, double draw);

} // namespace knapweedknot
