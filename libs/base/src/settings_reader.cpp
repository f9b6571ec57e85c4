#include "base/settings_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace knapweedknot {

namespace {

const nlohmann::json empty_object = nlohmann::json::object();

/// Escapes one reference token of a JSON pointer (RFC 6901).
std::string escape_token(std::string_view token) {
    std::string text;
    for (const char c : token) {
        if (c == '~') {
            text += "~0";
        } else if (c == '/') {
            text += "~1";
        } else {
            text += c;
        }
    }
    return text;
}

template <typename Number>
std::string range_message(Number lowest, Number highest, std::string_view unit) {
    std::ostringstream message;
    message << "must be from " << lowest << " to " << highest << ' ' << unit;
    return message.str();
}

} // namespace

settings_reader::settings_reader(const nlohmann::json& object, std::string object_path,
                                 std::vector<std::string>& problem_list)
    : source(object.is_object() ? object : empty_object), path(std::move(object_path)),
      problems(problem_list) {
    if (!object.is_object()) {
        this->problems.push_back((this->path.empty() ? "/" : this->path) + ": must be an object");
    }
}

const nlohmann::json* settings_reader::find_field(std::string_view name) {
    this->known_fields.emplace_back(name);
    const auto found = this->source.find(std::string(name));
    return found == this->source.end() ? nullptr : &*found;
}

long long settings_reader::integer(std::string_view name, long long fallback, long long lowest,
                                   long long highest, std::string_view unit) {
    const nlohmann::json* value = this->find_field(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number_integer() || *value < lowest || *value > highest) {
        this->report(name, range_message(lowest, highest, unit) + ", a whole number");
        return fallback;
    }
    return value->get<long long>();
}

double settings_reader::number(std::string_view name, double fallback, double lowest,
                               double highest, std::string_view unit) {
    const nlohmann::json* value = this->find_field(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || *value < lowest || *value > highest) {
        this->report(name, range_message(lowest, highest, unit));
        return fallback;
    }
    return value->get<double>();
}

std::string settings_reader::text(std::string_view name, std::string fallback) {
    const nlohmann::json* value = this->find_field(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        this->report(name, "must be a text");
        return fallback;
    }
    return value->get<std::string>();
}

std::string settings_reader::required_text(std::string_view name) {
    std::string value = this->text(name, "");
    if (!this->has(name) || (this->source.at(std::string(name)).is_string() && value.empty())) {
        this->report(name, "is required");
    }
    return value;
}

bool settings_reader::flag(std::string_view name, bool fallback) {
    const nlohmann::json* value = this->find_field(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        this->report(name, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> settings_reader::texts(std::string_view name) {
    const nlohmann::json* value = this->find_field(name);
    std::vector<std::string> list;
    if (value == nullptr) {
        return list;
    }
    const auto is_text = [](const nlohmann::json& item) { return item.is_string(); };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), is_text)) {
        this->report(name, "must be an array of texts");
        return list;
    }
    for (const nlohmann::json& item : *value) {
        list.push_back(item.get<std::string>());
    }
    return list;
}

const nlohmann::json& settings_reader::object(std::string_view name) {
    const nlohmann::json* value = this->find_field(name);
    if (value == nullptr) {
        return empty_object;
    }
    if (!value->is_object()) {
        this->report(name, "must be an object");
        return empty_object;
    }
    return *value;
}

bool settings_reader::has(std::string_view name) const {
    return this->source.contains(std::string(name));
}

void settings_reader::reject_unknown_fields() {
    for (const auto& [name, value] : this->source.items()) {
        if (std::find(this->known_fields.begin(), this->known_fields.end(), name) ==
            this->known_fields.end()) {
            this->report(name, "is not a known field");
        }
    }
}

void settings_reader::report(std::string_view name, std::string_view problem) {
    this->problems.push_back(this->path_of(name) + ": " + std::string(problem));
}

std::string settings_reader::path_of(std::string_view name) const {
    return this->path + '/' + escape_token(name);
}

result<nlohmann::json> parse_json_with_comments(std::string_view text) {
    constexpr bool throw_on_error = true;
    constexpr bool ignore_comments = true;
    try {
        return nlohmann::json::parse(text, nullptr, throw_on_error, ignore_comments);
    } catch (const nlohmann::json::parse_error& problem) {
        return fail(error_kind::bad_request, problem.what());
    }
}

std::string join_problems(const std::vector<std::string>& problems) {
    std::string text;
    for (const std::string& problem : problems) {
        text += (text.empty() ? "" : "; ") + problem;
    }
    return text;
}

} // namespace knapweedknot
