#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

/// \file
/// IPv4 socket addresses.

namespace knapweedknot {

/// IPv4 address and port that a server listens on.
struct endpoint {
    std::string ip;
    std::uint16_t port{0};
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "IPV4:PORT"; invalid_value when \p text is malformed or the port is zero. Thread safe.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// Formats \p address as "IPV4:PORT". Thread safe.
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace knapweedknot
