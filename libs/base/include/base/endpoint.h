#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

/// \file
/// Addresses of listeners.

namespace knapweedknot {

/// IPv4 address and port of a listener.
struct endpoint {
    std::string ip;
    std::uint16_t port{0};
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "IPV4:PORT". The port must not be zero. Thread safe.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// Text form "IPV4:PORT". Thread safe.
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace knapweedknot
