#include "log_reader/log_line.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace knapweedknot {

namespace {

constexpr std::string_view time_key = "time=";
constexpr std::string_view event_key = "event";
constexpr std::string_view blank = " \t";

/// Last word of \p text. Log collectors prefix each line with the name of the instance.
std::string last_word(std::string_view text) {
    const std::size_t end = text.find_last_not_of(blank);
    if (end == std::string_view::npos) {
        return {};
    }
    const std::size_t before = text.find_last_of(blank, end);
    const std::size_t begin = before == std::string_view::npos ? 0 : before + 1;
    return std::string(text.substr(begin, end + 1 - begin));
}

/// Removes a quoted value from the front of \p rest and returns it unescaped.
std::string take_quoted(std::string_view& rest) {
    std::string value;
    std::size_t position = 1;
    while (position < rest.size() && rest[position] != '"') {
        position += rest[position] == '\\' ? 1 : 0;
        if (position < rest.size()) {
            value += rest[position];
            ++position;
        }
    }
    rest.remove_prefix(std::min(rest.size(), position + 1));
    return value;
}

/// Removes a value that ends at the next blank from the front of \p rest.
std::string take_unquoted(std::string_view& rest) {
    const std::size_t end = std::min(rest.find_first_of(blank), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

/// Parses a UTC time such as 2026-03-22T13:39:04.309Z. Returns zero for malformed text.
std::chrono::milliseconds parse_time(const std::string& text) {
    std::istringstream stream(text);
    std::tm calendar_time{};
    stream >> std::get_time(&calendar_time, "%Y-%m-%dT%H:%M:%S");
    if (!stream) {
        return std::chrono::milliseconds(0);
    }
    int ms = 0;
    if (stream.peek() == '.') {
        stream.ignore();
        stream >> ms;
    }
    return std::chrono::seconds(timegm(&calendar_time)) + std::chrono::milliseconds(ms);
}

std::vector<std::pair<std::string, std::string>> parse_fields(std::string_view rest) {
    std::vector<std::pair<std::string, std::string>> fields;
    while (true) {
        const std::size_t begin = rest.find_first_not_of(blank);
        const std::size_t equals = rest.find('=');
        if (begin == std::string_view::npos || equals == std::string_view::npos) {
            return fields;
        }
        std::string key(rest.substr(begin, equals - begin));
        rest.remove_prefix(equals + 1);
        const bool is_quoted = !rest.empty() && rest.front() == '"';
        fields.emplace_back(std::move(key), is_quoted ? take_quoted(rest) : take_unquoted(rest));
    }
}

} // namespace

std::string_view log_line::field(std::string_view key) const noexcept {
    const auto found = std::find_if(this->fields.begin(), this->fields.end(),
                                    [key](const auto& item) { return item.first == key; });
    return found == this->fields.end() ? std::string_view() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text, std::string_view source) {
    const std::size_t begin = text.find(time_key);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    log_line line;
    line.fields = parse_fields(text.substr(begin));
    line.time = line.field("time");
    line.unix_time = parse_time(line.time);
    line.event = line.field(event_key);
    line.origin = last_word(text.substr(0, begin));
    if (line.origin.empty()) {
        line.origin = source;
    }
    if (line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace knapweedknot
