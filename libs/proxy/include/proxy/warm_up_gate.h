#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "decide/serving_roster.h"
#include "decide/warm_up.h"

/// \file
/// Which targets of one service are in warm-up, and when this instance may send to them.

namespace knapweedknot {

/// What one instance knows of a target's warm-up.
struct target_warm_up {
    /// Hash of the target's id.
    std::uint64_t hash{0};
    /// End of the warm-up by the registration, by the target's responses and by the reports of
    /// other instances; empty where that does not say so.
    std::optional<time_point> registered_until;
    std::optional<time_point> announced_until;
    std::optional<time_point> reported_until;
    /// Whether the registration was written lately, so that other instances may learn from it.
    bool is_registration_news{false};
    time_point last_sent;
    /// Until then, refused callers have been told to come back for the requests that may be sent.
    time_point promised_until;
    /// Whether it was cold when its phase was last looked at, and when that was last logged.
    bool was_cold{false};
    std::optional<time_point> logged_at;
};

/// Counters of a gate since its creation.
struct warm_up_counts {
    /// Requests sent to targets in warm-up or just after it.
    std::uint64_t sends{0};
    /// Requests refused because only such targets were left.
    std::uint64_t refusals{0};
};

/// Limits the requests of this instance to the targets in warm-up of one service. Not thread safe.
class warm_up_gate {
public:
    /// \param instances must outlive the gate; null for a gate that limits nothing
    explicit warm_up_gate(const serving_roster* instances);

    /// Sets the limits. A rate of 0 lifts them.
    void set_limits(const warm_up_limits& given) noexcept { this->limits = given; }
    /// Whether targets in warm-up are limited at all.
    [[nodiscard]] bool is_enabled() const noexcept;
    [[nodiscard]] bool is_cold(const target_warm_up& target, time_point now) const;
    /// Whether requests to \p target are limited: it is cold or has been a moment ago.
    [[nodiscard]] bool is_limited(const target_warm_up& target, time_point now) const;
    /// Whether this instance may send \p target a request now.
    [[nodiscard]] bool may_send(const target_warm_up& target, time_point now) const;
    /// Requests per second that this instance may send to a limited target.
    /// \pre is_limited(target, now)
    [[nodiscard]] double rate_of(const target_warm_up& target, time_point now) const;
    void record_send(target_warm_up& target, time_point now);
    /// Counts a request that is refused because only the limited \p targets are left for it.
    /// Returns the time until one of them can take it. Each call takes a different place.
    [[nodiscard]] duration refuse(const std::vector<target_warm_up*>& targets,
                                  std::minstd_rand& random, time_point now);
    /// Remaining warm-up as far as it is known other than from reports; zero if \p target is not
    /// known to be cold.
    [[nodiscard]] duration cold_for(const target_warm_up& target, time_point now) const;
    /// True if \p target has become cold or warm since the last call and that should be logged.
    [[nodiscard]] bool note_phase_change(target_warm_up& target, time_point now) const;
    [[nodiscard]] const warm_up_counts& counts() const noexcept { return this->counters; }

private:
    const serving_roster* roster;
    warm_up_limits limits;
    warm_up_counts counters;
};

} // namespace knapweedknot
