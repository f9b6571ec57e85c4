#include "proxy/target_announcement.h"

#include <charconv>
#include <string>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr int status_unavailable = 503;
constexpr double max_pause_s = 3600;

/// Parses a number of seconds; empty when \p text is not one from 0 to max_pause_s.
std::optional<duration> parse_pause(const std::string& text) {
    double value_s = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, value_s);
    if (code != std::errc() || stop != end || !(value_s >= 0 && value_s <= max_pause_s)) {
        log_event(log_level::warning, "retry_after_ignored", {{"value", text}});
        return std::nullopt;
    }
    return from_seconds(value_s);
}

} // namespace

target_announcement read_announcement(const http_response& response, const header_names& names) {
    target_announcement read;
    if (const std::string* value = find_header(response.headers, names.target_leaving);
        value != nullptr) {
        read.leaving = *value == "1";
    }
    if (response.status == status_unavailable) {
        if (const std::string* value = find_header(response.headers, names.retry_after);
            value != nullptr) {
            read.pause = parse_pause(*value);
        }
    }
    return read;
}

} // namespace knapweedknot
