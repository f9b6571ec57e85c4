#include "proxy/target_announcement.h"

#include <charconv>
#include <string>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr int status_unavailable = 503;
constexpr double max_pause_s = 3600;
constexpr double max_warm_up_ms = 24.0 * 3600 * 1000;
constexpr double ms_per_s = 1000;

/// Parses a number from 0 to \p highest; empty when \p text is not one.
std::optional<double> parse_number(const std::string& text, double highest) {
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || stop != end || !(value >= 0 && value <= highest)) {
        return std::nullopt;
    }
    return value;
}

/// Parses a number of seconds; empty when \p text is not one from 0 to max_pause_s.
std::optional<duration> parse_pause(const std::string& text) {
    const auto value_s = parse_number(text, max_pause_s);
    if (!value_s) {
        log_event(log_level::warning, "retry_after_ignored", {{"value", text}});
        return std::nullopt;
    }
    return from_seconds(*value_s);
}

/// Parses a number of milliseconds; empty when \p text is not one up to max_warm_up_ms, or is 0.
std::optional<duration> parse_warm_up(const std::string& text) {
    const auto value_ms = parse_number(text, max_warm_up_ms);
    if (!value_ms) {
        log_event(log_level::warning, "warm_up_ignored", {{"value", text}});
        return std::nullopt;
    }
    return *value_ms > 0 ? std::optional(from_seconds(*value_ms / ms_per_s)) : std::nullopt;
}

} // namespace

target_announcement read_announcement(const http_response& response, const header_names& names) {
    target_announcement read;
    if (const std::string* value = find_header(response.headers, names.target_leaving);
        value != nullptr) {
        read.leaving = *value == "1";
    }
    if (const std::string* value = find_header(response.headers, names.warm_up_left_ms);
        value != nullptr) {
        read.warm_up_left = parse_warm_up(*value);
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
