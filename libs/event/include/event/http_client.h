#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/error.h"
#include "event/http_message.h"
#include "event/loop.h"

struct bufferevent;

/// \file
/// HTTP client connections over libevent's bufferevents: one request at a time on each.

namespace knapweedknot {

namespace detail {
class answer_parser;
} // namespace detail

/// Limits of a client connection.
struct http_client_limits {
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    std::size_t max_body_bytes{std::size_t{16} * 1024 * 1024};
    duration connect_timeout{milliseconds(1000)};
    /// Whether an answer without a length is whole when the connection is closed in order.
    bool accept_close_delimited{false};
    /// Header that answers repeat from their request. An answer that repeats another value
    /// belongs to another request and is skipped. Empty for no such check.
    std::string echoed_header;
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
    /// True while the connection is open and may carry another request: the last exchange left it
    /// in order, nothing has arrived since, and the peer's idle timeout has not nearly passed.
    [[nodiscard]] bool is_reusable() const noexcept;
    /// Time since the last exchange ended.
    [[nodiscard]] duration idle_time() const noexcept { return boot_clock::now() - this->ended; }

private:
    struct exchange;
    struct stream_deleter {
        void operator()(bufferevent* owned) const noexcept;
    };

    void start_exchange(const http_request& request, duration timeout, handler done);
    [[nodiscard]] bool open();
    void write_request(const http_request& request);
    void read_answer();
    void handle_event(short what);
    void handle_end(bool in_order);
    void accept_parsed();
    void time_out();
    void fail_exchange(error_kind kind, std::string detail);
    void finish(http_outcome outcome);
    [[nodiscard]] bool sent_nothing() const;
    [[nodiscard]] bool is_own_answer(const http_answer& answer) const;

    loop& owner;
    endpoint address;
    http_client_limits limits;
    std::string source_ip;
    std::unique_ptr<bufferevent, stream_deleter> stream;
    std::unique_ptr<exchange> running;
    bool connected{false};
    bool in_order{false};
    time_point ended;
    time_point reusable_until;
};

/// Sends one request on a connection of its own. \p done is called once.
void send_once(loop& owner, const endpoint& address, const http_request& request, duration timeout,
               const http_client_limits& limits, http_connection::handler done);

} // namespace knapweedknot
