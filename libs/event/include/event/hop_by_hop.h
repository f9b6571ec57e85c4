#pragma once

#include <string_view>

#include "event/http_message.h"

/// \file
/// Headers that concern one connection only (RFC 9110, 7.6.1). All functions are thread safe.

namespace knapweedknot {

/// True for a header that is never passed on: those that RFC 9110 names, and those that frame a
/// message, which is framed anew.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// True when the Connection header among \p headers lists \p name.
[[nodiscard]] bool is_listed_by_connection(const http_headers& headers, std::string_view name);

} // namespace knapweedknot
