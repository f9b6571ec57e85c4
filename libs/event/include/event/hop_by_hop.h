#pragma once

#include <string_view>

#include "event/http_message.h"

/// \file
/// Hop-by-hop header fields (RFC 9110, 7.6.1). All functions are thread safe.

namespace knapweedknot {

/// True for a header field that a proxy must not forward: the hop-by-hop fields of RFC 9110, and
/// the message framing fields, which are generated anew for each hop.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// True when the Connection field in \p headers lists \p name as a connection option.
[[nodiscard]] bool is_connection_option(const http_headers& headers, std::string_view name);

} // namespace knapweedknot
