#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include "event/http_client.h"

/// \file
/// A pool of keep-alive connections to one endpoint. After a request without an answer in time, no
/// connection that is idle then is used again: when one has gone silent, others may have as well.

namespace knapweedknot {

/// Sends concurrent requests to one endpoint over reused connections. The number of connections is
/// not limited. Not thread safe.
class http_pool {
public:
    /// \param idle_limit connections that were idle for longer are not reused: they may have gone
    ///        silent, and a request on such a connection would wait until its timeout
    http_pool(loop& owner, const endpoint& address, const http_client_limits& limits,
              duration idle_limit = std::chrono::hours(1));

    /// Sends \p request on an idle or new connection and calls \p done once from the loop.
    /// Destroying the pool cancels running requests without calling their handlers.
    void send(const http_request& request, duration timeout, http_connection::handler done);

private:
    [[nodiscard]] http_connection& acquire_connection();
    void release_connection(http_connection& used);
    void discard_idle_connections();

    loop& owner;
    endpoint address;
    http_client_limits limits;
    duration idle_limit;
    std::vector<std::unique_ptr<http_connection>> connections;
};

} // namespace knapweedknot
