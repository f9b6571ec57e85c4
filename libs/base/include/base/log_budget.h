#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

/// \file
/// Bounds how much a process logs. All functions are pure but for their first argument.

namespace knapweedknot {

/// Limits of the log, in lines per second.
struct log_limits {
    std::uint32_t lines_per_kind{200};
    std::uint32_t lines{600};
};

/// What was logged in the running second. Not thread safe.
struct log_budget {
    struct kind_count {
        std::uint32_t written{0};
        std::uint32_t left_out{0};
    };
    time_point second_began;
    std::uint32_t written{0};
    std::map<std::string, kind_count, std::less<>> kinds;
};

/// What the second before left out, by kind of event; empty when it left out nothing.
using left_out_lines = std::map<std::string, std::uint32_t, std::less<>>;

/// Begins another second when the running one is over. Returns what that one left out.
[[nodiscard]] left_out_lines begin_second(log_budget& budget, time_point now);

/// True when one more line on \p event may be written; counts it either way.
/// \pre begin_second was called with now
[[nodiscard]] bool take_line(log_budget& budget, std::string_view event, const log_limits& limits);

} // namespace knapweedknot
