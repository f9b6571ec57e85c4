#pragma once

#include <netinet/in.h>

#include "base/endpoint.h"

/// \file
/// Endpoints in the form of the socket interface.

namespace knapweedknot {

/// \p address for bind, connect and sendto. Thread safe.
/// \pre address.ip is a valid IPv4 address
[[nodiscard]] sockaddr_in to_socket_address(const endpoint& address);

} // namespace knapweedknot
