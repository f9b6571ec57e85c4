#pragma once

#include <chrono>

/// \file
/// The clock for all timeouts and leases.

namespace knapweedknot {

/// Monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME), so that a
/// lease that expired during a suspension counts as expired after the resume. Thread safe.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Current time. Never decreases until the machine reboots.
    [[nodiscard]] static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts \p value to seconds.
[[nodiscard]] constexpr double to_seconds(duration value) noexcept {
    return std::chrono::duration<double>(value).count();
}

/// Converts \p value in seconds to a duration, rounded towards zero.
[[nodiscard]] constexpr duration from_seconds(double value) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// Converts \p value to whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr long long to_milliseconds(duration value) noexcept {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace knapweedknot
