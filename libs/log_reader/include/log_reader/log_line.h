#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// Parses the lines that the programs log.

namespace knapweedknot {

/// One logged event.
struct log_line {
    /// Time as logged: ISO 8601 in UTC with milliseconds, which sorts as text.
    std::string time;
    /// Time since the Unix epoch; zero if `time` is malformed.
    std::chrono::milliseconds unix_time{0};
    /// Instance that logged the event: the word before the time, or else the name of the source.
    std::string origin;
    std::string event;
    /// All key=value pairs in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of \p key; empty if the line has no such key. Thread safe.
    [[nodiscard]] std::string_view field(std::string_view key) const noexcept;
};

/// Parses one line. Returns nothing if the line holds no event. Thread safe.
/// \param source name of the file or stream, the origin of lines without an instance prefix
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text,
                                                     std::string_view source);

} // namespace knapweedknot
