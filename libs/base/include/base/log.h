#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Structured logging: one line of key=value pairs for each event, on standard output. Output is
/// rate limited (base/log_rate_limiter.h), and a slow reader of standard output never blocks the
/// caller.

namespace knapweedknot {

enum class log_level { debug, info, warning, error };

/// One key=value pair of a log line. Empty values and values with whitespace, quotes or
/// '=' are quoted.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Initializes logging. Call once, from the main thread, before the first event.
/// \param program program name, written in every line
/// \param lowest events below this level are dropped
void start_log(std::string_view program, log_level lowest);

/// Writes one line for \p event. The fields must not contain secrets. Thread safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Parses "debug", "info", "warning" or "error"; anything else is info.
[[nodiscard]] log_level parse_log_level(std::string_view text) noexcept;

namespace detail {

/// Formats one pair as it appears in a log line.
[[nodiscard]] std::string format_field(const log_field& field);

} // namespace detail

} // namespace knapweedknot
