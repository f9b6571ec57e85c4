#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

/// \file
/// Limits the log output of a process with fixed windows of one second. The functions modify only
/// their first argument.

namespace knapweedknot {

/// Maximum log lines per second.
struct log_limits {
    /// For each event name.
    std::uint32_t lines_per_event{200};
    /// For all events together.
    std::uint32_t lines{600};
};

/// Lines written and suppressed in the current window. Not thread safe.
struct log_rate_limiter {
    struct event_count {
        std::uint32_t written{0};
        std::uint32_t suppressed{0};
    };
    time_point window_start;
    std::uint32_t written{0};
    std::map<std::string, event_count, std::less<>> events;
};

/// Number of suppressed lines by event name, without events that had none.
using suppressed_lines = std::map<std::string, std::uint32_t, std::less<>>;

/// Starts a new window when the current one is over. Returns the lines suppressed in the window
/// that ended; empty when none ended.
[[nodiscard]] suppressed_lines start_window_if_due(log_rate_limiter& limiter, time_point now);

/// Returns true when one more line for \p event may be written. Counts the line as written or as
/// suppressed.
/// \pre start_window_if_due was called with the current time
[[nodiscard]] bool admit_line(log_rate_limiter& limiter, std::string_view event,
                              const log_limits& limits);

} // namespace knapweedknot
