#pragma once

#include <cstddef>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Fraction of every account's token refill that an instance may use while it cannot reach some of
/// the other serving instances.
///
/// Instances that are partitioned from each other may all still reach their callers and the store.
/// Each of them may then admit only a fraction of the rate, for as long as the others may still be
/// admitting requests.
///
/// Functions modify at most their first argument. Not thread safe.

namespace knapweedknot {

/// How long an instance whose connection was lost is assumed to admit requests.
struct lost_instance_policy {
    /// After its connection was closed: its process has ended, or it reconnects within this time.
    duration close_timeout{seconds(5)};
    /// After a silence: it may be partitioned from this instance only.
    duration silence_timeout{seconds(60)};
    /// A connection that was silent for this long before it ended counts as lost by silence.
    duration silence_threshold{milliseconds(650)};
    /// Callers of an unreachable instance may have failed over to instances that are unreachable
    /// too. Assumed number of these for each unreachable serving instance.
    double unreachable_failovers{0.55};
};

/// Lost instances, each with the time until which it is assumed to admit requests.
using lost_instances = std::unordered_map<instance_id, time_point>;

/// Time until which an instance is assumed to admit requests whose connection was lost now; its
/// last report is \p silent_for old.
[[nodiscard]] time_point assumed_until(duration silent_for, const lost_instance_policy& policy,
                                       time_point now) noexcept;
/// Records that the connection to a serving instance was lost; its last report is \p silent_for
/// old.
void mark_lost(lost_instances& lost, const instance_id& instance, duration silent_for,
               const lost_instance_policy& policy, time_point now);
/// Removes the instance once it, or a newer incarnation of it, was heard from.
void clear_lost(lost_instances& lost, const instance_id& instance);

/// Fraction of the refill, from 0 to 1, that this instance may use.
/// \param on_time number of other serving instances whose reports arrive on time
/// \param overdue number of connected serving instances whose reports are overdue
[[nodiscard]] double refill_share(const lost_instances& lost, std::size_t on_time,
                                  std::size_t overdue, const lost_instance_policy& policy,
                                  time_point now);

} // namespace knapweedknot
