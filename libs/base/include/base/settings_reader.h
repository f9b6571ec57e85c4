#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"

/// \file
/// Checked reading of JSON objects: each value has a range, unknown fields are errors, and every
/// problem is reported with the path of the value.

namespace knapweedknot {

/// Reads the fields of one JSON object and collects problems. Not thread safe.
class settings_reader {
public:
    /// \param object the object to read; must outlive the reader
    /// \param path where the object stands, for messages, for example "/services/stock"
    /// \param problems receives one line for each bad value; must outlive the reader
    settings_reader(const nlohmann::json& object, std::string path,
                    std::vector<std::string>& problems);

    /// A whole number in [\p lowest, \p highest], in \p unit. Without the field: \p fallback.
    [[nodiscard]] long long integer(std::string_view name, long long fallback, long long lowest,
                                    long long highest, std::string_view unit);
    /// A number in [\p lowest, \p highest], in \p unit. Without the field: \p fallback.
    [[nodiscard]] double number(std::string_view name, double fallback, double lowest,
                                double highest, std::string_view unit);
    /// A text. Without the field: \p fallback.
    [[nodiscard]] std::string text(std::string_view name, std::string fallback);
    /// A text that must be present and not empty.
    [[nodiscard]] std::string required_text(std::string_view name);
    /// A truth value. Without the field: \p fallback.
    [[nodiscard]] bool flag(std::string_view name, bool fallback);
    /// An array of texts. Without the field: empty.
    [[nodiscard]] std::vector<std::string> texts(std::string_view name);
    /// An object. Without the field: an empty object.
    [[nodiscard]] const nlohmann::json& object(std::string_view name);
    /// True when the field is present.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Reports every field that was not read. Call last.
    void reject_unknown_fields();
    /// Adds a problem with the value at \p name.
    void report(std::string_view name, std::string_view problem);
    /// Path of the field \p name as an RFC 6901 pointer.
    [[nodiscard]] std::string path_of(std::string_view name) const;

private:
    const nlohmann::json* find(std::string_view name);

    const nlohmann::json& source;
    std::string path;
    std::vector<std::string>& problems;
    std::vector<std::string> known;
};

/// Parses JSON that may hold comments. The error names the position. Thread safe.
[[nodiscard]] result<nlohmann::json> parse_json_with_comments(std::string_view text);

/// Joins problems into one line.
[[nodiscard]] std::string join_problems(const std::vector<std::string>& problems);

} // namespace knapweedknot
