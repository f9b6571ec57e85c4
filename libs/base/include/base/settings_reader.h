#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"

/// \file
/// Validating reader for JSON objects: numbers have a range, unknown fields are errors, and every
/// problem is reported with the path of the value.

namespace knapweedknot {

/// Reads the fields of one JSON object and collects all problems. Not thread safe.
class settings_reader {
public:
    /// \param object the object to read; must outlive the reader; any other type is a problem
    /// \param path JSON pointer to the object, for messages, for example "/services/stock"
    /// \param problems receives one line for each bad value; must outlive the reader
    settings_reader(const nlohmann::json& object, std::string path,
                    std::vector<std::string>& problems);

    /// Reads an integer in [\p lowest, \p highest], in \p unit; \p fallback when the field is
    /// absent or invalid.
    [[nodiscard]] long long integer(std::string_view name, long long fallback, long long lowest,
                                    long long highest, std::string_view unit);
    /// Reads a number in [\p lowest, \p highest], in \p unit; \p fallback when the field is absent
    /// or invalid.
    [[nodiscard]] double number(std::string_view name, double fallback, double lowest,
                                double highest, std::string_view unit);
    /// Reads a string; \p fallback when the field is absent or invalid.
    [[nodiscard]] std::string text(std::string_view name, std::string fallback);
    /// Reads a string that must be present and not empty.
    [[nodiscard]] std::string required_text(std::string_view name);
    /// Reads a Boolean; \p fallback when the field is absent or invalid.
    [[nodiscard]] bool flag(std::string_view name, bool fallback);
    /// Reads an array of strings; empty when the field is absent or invalid.
    [[nodiscard]] std::vector<std::string> texts(std::string_view name);
    /// Reads an object; an empty object when the field is absent or invalid.
    [[nodiscard]] const nlohmann::json& object(std::string_view name);
    /// Returns true when the field is present.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Reports every field that was not read. Call after all reads.
    void reject_unknown_fields();
    /// Adds \p problem with the path of the field \p name.
    void report(std::string_view name, std::string_view problem);
    /// Returns the JSON pointer (RFC 6901) to the field \p name.
    [[nodiscard]] std::string path_of(std::string_view name) const;

private:
    /// Returns the field, or null when it is absent, and marks it as known.
    const nlohmann::json* find_field(std::string_view name);

    const nlohmann::json& source;
    std::string path;
    std::vector<std::string>& problems;
    std::vector<std::string> known_fields;
};

/// Parses JSON that may contain comments. The error names the position. Thread safe.
[[nodiscard]] result<nlohmann::json> parse_json_with_comments(std::string_view text);

/// Joins problems into one line, separated by "; ". Thread safe.
[[nodiscard]] std::string join_problems(const std::vector<std::string>& problems);

} // namespace knapweedknot
