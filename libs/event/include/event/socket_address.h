#pragma once

#include <string>

#include <netinet/in.h>

#include "base/endpoint.h"

/// \file
/// Conversion of endpoints to socket addresses, and creation of sockets.

namespace knapweedknot {

/// Converts \p address for bind, connect and sendto. Thread safe.
/// \pre address.ip is a valid IPv4 address
[[nodiscard]] sockaddr_in to_socket_address(const endpoint& address);

/// Creates a non-blocking TCP socket with Nagle's algorithm disabled; -1 when that fails, for
/// example because the process has no file descriptor left.
/// \param source_ip local IP address to bind to; empty lets the system choose
[[nodiscard]] int make_tcp_socket(const std::string& source_ip);

} // namespace knapweedknot
