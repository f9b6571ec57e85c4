#include "event/http_pool.h"

#include <algorithm>
#include <utility>

namespace knapweedknot {

http_pool::http_pool(loop& event_loop, const endpoint& target_address,
                     const http_client_limits& size_limits, duration max_idle_time)
    : owner(event_loop), address(target_address), limits(size_limits), idle_limit(max_idle_time) {}

void http_pool::send(const http_request& request, duration timeout, http_connection::handler done) {
    http_connection& connection = this->acquire_connection();
    connection.send(request, timeout,
                    [this, &connection, reply = std::move(done)](http_outcome outcome) {
                        this->release_connection(connection);
                        const bool is_timeout = !outcome && outcome.error().problem.kind ==
                                                                error_kind::deadline_exceeded;
                        if (is_timeout) {
                            this->discard_idle_connections();
                        }
                        reply(std::move(outcome));
                    });
}

http_connection& http_pool::acquire_connection() {
    std::erase_if(this->connections, [this](const auto& connection) {
        return !connection->is_busy() &&
               (!connection->is_reusable() || connection->idle_time() > this->idle_limit);
    });
    for (const auto& connection : this->connections) {
        if (connection->accepts_request()) {
            return *connection;
        }
    }
    this->connections.push_back(
        std::make_unique<http_connection>(this->owner, this->address, this->limits));
    return *this->connections.back();
}

void http_pool::discard_idle_connections() {
    std::erase_if(this->connections, [](const auto& connection) { return !connection->is_busy(); });
}

void http_pool::release_connection(http_connection& used) {
    if (used.is_reusable()) {
        return;
    }
    std::erase_if(this->connections,
                  [&used](const auto& connection) { return connection.get() == &used; });
}

} // namespace knapweedknot
