#pragma once

#include <chrono>

/// \file
/// The clock that every timeout, lease and loan is measured with.

namespace knapweedknot {

/// Monotonic clock that also counts time while the machine is suspended, so that a lease that
/// lapsed during a suspension is seen as lapsed afterwards. Thread safe.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Current time. Never decreases within one boot of the machine.
    [[nodiscard]] static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of \p value in seconds.
[[nodiscard]] constexpr double to_seconds(duration value) noexcept {
    return std::chrono::duration<double>(value).count();
}

/// \p value seconds as a duration, rounded towards zero.
[[nodiscard]] constexpr duration from_seconds(double value) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// Length of \p value in whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr long long to_milliseconds(duration value) noexcept {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace knapweedknot
