#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "event/http_message.h"

/// \file
/// HTTP/1.1 messages with a Content-Length, as callers and targets of the soak exchange them.

namespace knapweedknot::soak {

/// A complete message.
struct message {
    std::string start_line;
    http_headers headers;
    std::string body;

    /// Value of the header \p name; empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// Request target of a request.
    [[nodiscard]] std::string_view uri() const;
    /// Status of a response; 0 if it cannot be read.
    [[nodiscard]] int status() const;
};

/// Takes the first message off \p input; nothing while it is incomplete.
[[nodiscard]] std::optional<message> take_message(std::string& input);

/// The number that follows "NAME=" in the query of \p uri; \p fallback when there is none.
[[nodiscard]] double query_number(std::string_view uri, std::string_view name, double fallback);

} // namespace knapweedknot::soak
