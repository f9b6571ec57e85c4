#pragma once

#include <memory>
#include <vector>

#include "event/http_client.h"

/// \file
/// Kept-alive connections to one endpoint.

namespace knapweedknot {

/// Sends any number of requests at once to one endpoint, reusing connections. Not thread safe.
class http_pool {
public:
    http_pool(loop& owner, const endpoint& address, const http_client_limits& limits);

    /// Sends \p request on an idle or new connection and calls \p done once from the loop.
    /// Dropping the pool cancels what runs, without calls.
    void send(const http_request& request, duration timeout, http_connection::handler done);

private:
    [[nodiscard]] http_connection& take_connection();
    void put_back(http_connection& used);

    loop& owner;
    endpoint address;
    http_client_limits limits;
    std::vector<std::unique_ptr<http_connection>> connections;
};

} // namespace knapweedknot
