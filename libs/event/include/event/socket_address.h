#pragma once

#include <string>

#include <netinet/in.h>

#include "base/endpoint.h"

/// \file
/// Endpoints in the form of the socket interface.

namespace knapweedknot {

/// \p address for bind, connect and sendto. Thread safe.
/// \pre address.ip is a valid IPv4 address
[[nodiscard]] sockaddr_in to_socket_address(const endpoint& address);

/// A non-blocking TCP socket without Nagle's delay; -1 when the process has no descriptor left.
/// \param source_ip local address to connect from; empty for the system's choice
[[nodiscard]] int make_tcp_socket(const std::string& source_ip);

} // namespace knapweedknot
