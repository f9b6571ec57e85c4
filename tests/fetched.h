#pragma once

#include <string>
#include <string_view>

#include "event/http_message.h"

/// \file
/// Answers as tests see them.

namespace knapweedknot::harness {

/// What a caller received. Status zero means that there was no answer.
struct fetched {
    int status{0};
    http_headers headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const {
        const std::string* value = find_header(this->headers, name);
        return value == nullptr ? "" : *value;
    }
};

} // namespace knapweedknot::harness
