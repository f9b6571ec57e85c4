#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "decide/serving_roster.h"

/// \file
/// Rate of requests to a target in warm-up (a "cold" target), over all instances.
///
/// One instance at a time sends to a cold target (its owner, see decide/serving_roster.h), evenly
/// spaced. Views differ, so several instances may own it at once. Then an owner with d deferrals
/// sends at a rate that halves with each further deferral, and above a number of deferrals not at
/// all. Why the sum stays under the limit of rate x overshoot + slack:
///  - Of two owners, one counts the other, so n owners have at least n(n-1)/2 deferrals in all. The
///    rates are convex in d, so their sum is greatest if the owners have 0, 1, 2 ... deferrals; it
///    is then under 2/3 + 1/6 + 1/12 + ... = 1 of rate x overshoot.
///  - Evenly spaced requests at rate x are at most ceil(x) in one second, so n owners send less
///    than n above the sum of their rates. With at most D deferrals each there are at most 2D + 1
///    owners, and D is chosen such that this is within the slack.
///  - Two owners that do not know of each other, against the assumption of the roster, stay under
///    the limit too: the rate without deferrals is at most half of it.
///
/// After the warm-up all instances send again. The rate of each grows exponentially from its part
/// of the owner's rate, so that their sum has no step.
///
/// Functions modify at most their first argument. Not thread safe.

namespace knapweedknot {

/// Requests that a target in warm-up may get from all instances together.
struct warm_up_limits {
    /// Requests per second that the target bears; 0 for no limit.
    double rate_per_s{0};
    /// In any one second it gets at most rate_per_s x overshoot + slack requests. At least 1.
    double overshoot{1};
    double slack{0};
};

/// Time after the end of a warm-up in which the rate grows to the normal one.
inline constexpr duration growth_time = seconds(3);
/// Time in which the rate doubles meanwhile.
inline constexpr duration growth_doubling_time = milliseconds(750);

enum class warm_up_phase : std::uint8_t { cold, growing, warm };

/// Phase of a target that is cold until \p cold_until; empty if it is not known to have been.
[[nodiscard]] warm_up_phase phase_of(const std::optional<time_point>& cold_until,
                                     time_point now) noexcept;

/// Requests per second that an owner with that many deferrals may send; 0 for none.
/// \pre limits.rate_per_s > 0
[[nodiscard]] double owner_rate(const warm_up_limits& limits, int deferrals);

/// Requests per second that each of \p instances may send at \p since_end after the warm-up.
[[nodiscard]] double growth_rate(const warm_up_limits& limits, std::size_t instances,
                                 duration since_end);

/// A cold or growing target, for the decision whether to send to it.
struct warming_target {
    /// Hash of its id.
    std::uint64_t hash{0};
    time_point cold_until;
    /// When this instance last sent it a request; the epoch before the first.
    time_point last_sent;
};

/// When this instance may send the next request to \p target, by the present view; empty if
/// another instance sends to it. The time may be in the past.
/// \pre phase_of(target.cold_until, now) is cold or growing
[[nodiscard]] std::optional<time_point> next_send_time(const warm_up_limits& limits,
                                                       const serving_roster& roster,
                                                       const warming_target& target,
                                                       time_point now);

/// Requests per second that this instance may send to \p target now.
/// \pre as for next_send_time()
[[nodiscard]] double send_rate(const warm_up_limits& limits, const serving_roster& roster,
                               const warming_target& target, time_point now);

} // namespace knapweedknot
