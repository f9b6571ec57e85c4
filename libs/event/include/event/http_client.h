#pragma once

#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/error.h"
#include "event/http_message.h"
#include "event/loop.h"

struct evhttp_connection;
struct evhttp_request;

/// \file
/// HTTP client connections over evhttp: one request at a time on each.

namespace knapweedknot {

/// Limits of a client connection.
struct http_client_limits {
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    std::size_t max_body_bytes{std::size_t{16} * 1024 * 1024};
    duration connect_timeout{milliseconds(1000)};
};

/// Where one request on a connection stands.
enum class send_progress {
    /// No byte was handed to an established connection.
    not_connected,
    /// The target may have received a part of the request.
    may_be_sent,
};

/// A failed exchange.
struct http_failure {
    /// connect_failed, deadline_exceeded, target_failed, answer_truncated or answer_too_large.
    error problem;
    send_progress progress{send_progress::may_be_sent};
};

using http_outcome = tl::expected<http_answer, http_failure>;

class interim_answer_filter;

/// A connection to one endpoint. It connects when a request needs it. Not thread safe.
class http_connection {
public:
    using handler = std::function<void(http_outcome)>;

    /// \param source_ip local address to connect from; empty for the system's choice
    http_connection(loop& owner, const endpoint& address, const http_client_limits& limits,
                    const std::string& source_ip = {});
    /// Cancels a running request without a call of its handler.
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Sends \p request and calls \p done once, from the loop, with the whole answer or the
    /// failure. A request that is not answered within \p timeout is cancelled by closing the
    /// connection. \p done may destroy the connection.
    /// \pre no request is running
    void send(const http_request& request, duration timeout, handler done);
    /// Closes the connection under a running request; the handler is not called.
    void cancel();
    [[nodiscard]] bool is_busy() const noexcept { return this->running != nullptr; }
    /// True when the last exchange left the connection open for another request.
    [[nodiscard]] bool is_reusable() const noexcept { return this->reusable; }

private:
    struct exchange;
    friend struct exchange;
    void finish(http_outcome outcome);
    void time_out();
    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] http_outcome outcome_of(evhttp_request* finished) const;

    loop& owner;
    http_client_limits limits;
    evhttp_connection* connection;
    std::unique_ptr<interim_answer_filter> filter;
    std::unique_ptr<exchange> running;
    bool reusable{false};
};

/// Sends one request on a connection of its own. \p done is called once.
void send_once(loop& owner, const endpoint& address, const http_request& request, duration timeout,
               const http_client_limits& limits, http_connection::handler done);

} // namespace knapweedknot
