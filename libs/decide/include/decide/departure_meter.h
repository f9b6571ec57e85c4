#pragma once

#include <cstddef>

#include "base/clock.h"

/// \file
/// The rate at which requests leave a queue while there are any.

namespace knapweedknot {

/// Parameters of a measurement.
struct departure_policy {
    /// Time over which departures are averaged.
    duration window{seconds(2)};
    /// Weight of the expected rate, as the length of a measurement that would count as much: few
    /// departures do not give a reliable rate.
    duration prior_weight{milliseconds(500)};
};

/// Departures while requests waited, as exponential moving sums. Requests that are sent while none
/// waits are not counted: their rate is that of the arrivals, not the capacity.
struct departure_meter {
    double departures{0};
    double busy_s{0};
    time_point updated_at;
    /// True while requests wait that could be sent.
    bool busy{false};
};

/// Brings \p meter up to \p now, and states whether requests wait from now on. Not thread safe.
void set_busy(departure_meter& meter, bool busy, const departure_policy& policy, time_point now);

/// Records that a waiting request was sent. Not thread safe.
void record_departure(departure_meter& meter, const departure_policy& policy, time_point now);

/// Departures per second. \p expected_per_s stands in for the measurement as far as there is none.
/// Greater than zero. Thread safe.
/// \pre expected_per_s is greater than zero
[[nodiscard]] double departure_rate(const departure_meter& meter, double expected_per_s,
                                    const departure_policy& policy, time_point now);

/// Requests per second that one of \p instances gets through targets with \p slots slots in all,
/// if all instances get the same. Thread safe.
/// \pre response_time is greater than zero, instances is at least 1
[[nodiscard]] double expected_departure_rate(int slots, std::size_t instances,
                                             duration response_time);

} // namespace knapweedknot
