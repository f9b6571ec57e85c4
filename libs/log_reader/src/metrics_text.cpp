#include "log_reader/metrics_text.h"

#include <charconv>
#include <optional>

namespace knapweedknot {

namespace {

constexpr std::string_view name_prefix = "knapweedknot_";

bool remove_prefix(std::string_view& text, std::string_view prefix) {
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

/// Reads a quoted label value from the start of \p text and removes it there.
std::optional<std::string> take_quoted(std::string_view& text) {
    if (!remove_prefix(text, "\"")) {
        return std::nullopt;
    }
    std::string value;
    while (!text.empty() && text.front() != '"') {
        const bool is_escaped = text.front() == '\\' && text.size() > 1;
        if (is_escaped) {
            text.remove_prefix(1);
        }
        value += is_escaped && text.front() == 'n' ? '\n' : text.front();
        text.remove_prefix(1);
    }
    return remove_prefix(text, "\"") ? std::optional(std::move(value)) : std::nullopt;
}

/// Reads what follows the name of the metric in its line.
std::optional<metric_sample> read_sample(std::string_view rest) {
    metric_sample sample;
    if (remove_prefix(rest, "{")) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        rest.remove_prefix(equals + 1);
        auto label = take_quoted(rest);
        if (!label || !remove_prefix(rest, "}")) {
            return std::nullopt;
        }
        sample.label = std::move(*label);
    }
    if (!remove_prefix(rest, " ")) {
        return std::nullopt;
    }
    const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), sample.value);
    return parsed.ec == std::errc() ? std::optional(std::move(sample)) : std::nullopt;
}

} // namespace

std::vector<metric_sample> read_metric(std::string_view text, std::string_view name) {
    std::vector<metric_sample> samples;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (!remove_prefix(line, name_prefix) || !remove_prefix(line, name)) {
            continue;
        }
        if (auto sample = read_sample(line); sample) {
            samples.push_back(std::move(*sample));
        }
    }
    return samples;
}

} // namespace knapweedknot
