#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Structured logging: one line of key=value pairs for each event, on standard output. The volume
/// is bounded (base/log_budget.h), and logging never waits for whoever reads it.

namespace knapweedknot {

enum class log_level { debug, info, warning, error };

/// One key=value pair of a log line. Values with blanks or quotes are quoted.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Prepares the log. Call once before the first event, from the main thread.
/// \param program name of the process, written in every line
/// \param lowest events below this level are dropped
void start_log(std::string_view program, log_level lowest);

/// Writes one line for \p event. Callers must pass no secret. Thread safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Parses "debug", "info", "warning" or "error"; anything else is info.
[[nodiscard]] log_level parse_log_level(std::string_view text) noexcept;

namespace detail {

/// Text form of one pair as it appears in a log line.
[[nodiscard]] std::string format_field(const log_field& field);

} // namespace detail

} // namespace knapweedknot
