#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Which instances may be sending requests at present, as one instance sees it, for decisions that
/// only one of them takes at a time.
///
/// One instance is chosen for each subject by rendezvous hash. Views differ, because reports arrive
/// late and connections are lost. An instance that another one may consider chosen knows how many
/// others rank above it that it cannot reach: its deferrals. The rules make sure that
///  - of two instances that both consider themselves chosen, one counts the other as a deferral;
///  - the instances that acted as chosen in any one second were all chosen at a common moment.
///
/// Assumed: an instance's reports that it has begun to serve reach each peer within \c view_delay,
/// unless the connection to that peer has failed. A process knows most other instances \c
/// settling_time after its start, or the number of known addresses that it could not reach.
///
/// Functions modify at most their first argument. Not thread safe.

namespace knapweedknot {

/// Time in which a change at one instance is known at its connected peers: three serving report
/// intervals and the time of transmission.
inline constexpr duration view_delay = milliseconds(1000);
/// A view must have been as it is for this long before it is acted on: the second for which rates
/// are bounded, and the delay of the views.
inline constexpr duration view_hold_time = seconds(1) + view_delay;
/// view_hold_time for an instance that gets too few requests to report at the serving interval.
inline constexpr duration light_hold_time = milliseconds(4000);
/// Time after its start in which a process has not met its peers yet.
inline constexpr duration settling_time = milliseconds(3000);
/// Time after its start for which a process that reaches fewer instances than it misses is never
/// chosen: the time for which an instance that fell silent is counted.
inline constexpr duration isolation_time = seconds(60);
/// After a longer time without an observation, for example because the process was suspended, the
/// view is out of date.
inline constexpr duration max_observation_gap = milliseconds(1000);

/// How many requests an instance gets.
enum class instance_activity : std::uint8_t {
    idle,
    /// Some, but too few to count as serving.
    light,
    serving,
};

/// Another instance, with the times until which it counts.
struct roster_entry {
    time_point serving_until;
    time_point light_until;
    /// Unreachable, but perhaps still sending requests.
    time_point missing_until;
    /// When it was last heard before that.
    time_point silent_since;
};

/// One instance's view of the instances that may be sending requests.
struct serving_roster {
    instance_id self;
    time_point started;
    /// Since when this instance is serving, or at least light; empty if it is not.
    std::optional<time_point> serving_since;
    std::optional<time_point> active_since;
    /// Addresses of other instances with and without a connection.
    std::size_t reached{0};
    std::size_t unreached{0};
    /// First and last of the observations without a gap.
    time_point observed_since;
    time_point last_observed;
    std::unordered_map<instance_id, roster_entry> others;
};

/// Begins a round of observations, of this instance itself. Must be called at least every
/// max_observation_gap.
void observe_self(serving_roster& roster, instance_activity activity, time_point now);
/// Notes what a peer whose reports arrive said last.
void observe_live(serving_roster& roster, const instance_id& peer, instance_activity activity,
                  time_point now);
/// Notes that a peer which was active is unreachable; it was last heard at \p silent_since and may
/// send requests until \p until.
void observe_missing(serving_roster& roster, const instance_id& peer, time_point silent_since,
                     time_point until, time_point now);

/// Number of others that may consider themselves chosen for the subject with the hash \p subject
/// and rank before this instance. Empty if this instance is not chosen.
[[nodiscard]] std::optional<int> deferrals(const serving_roster& roster, std::uint64_t subject,
                                           time_point now);

/// This instance's place among those that may be sending requests.
struct active_place {
    /// Number of instances that may be sending requests, this one included.
    std::size_t instances{1};
    /// Number of them that rank before this one for the subject.
    std::size_t before{0};
};

[[nodiscard]] active_place place_among_active(const serving_roster& roster, std::uint64_t subject,
                                              time_point now);

} // namespace knapweedknot
