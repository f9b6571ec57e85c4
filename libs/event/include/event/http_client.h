#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/error.h"
#include "event/http_message.h"
#include "event/loop.h"
#include "event/target_connection_end.h"

struct bufferevent;

/// \file
/// HTTP/1.1 client connections over libevent's bufferevents, one request at a time on each.

namespace knapweedknot {

namespace detail {
class response_parser;
} // namespace detail

/// Limits of a client connection.
struct http_client_limits {
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    std::size_t max_body_bytes{std::size_t{16} * 1024 * 1024};
    duration connect_timeout{milliseconds(1000)};
    /// Whether a response body without a length is complete when the peer closes the connection
    /// without an error.
    bool accept_close_delimited{false};
    /// Request header that the peer echoes in its responses. A response that echoes a different
    /// value belongs to another request and is discarded. Empty disables the check.
    std::string echoed_header;
    /// Where the ends of connections are counted; null: nowhere.
    std::shared_ptr<target_connection_end_counts> end_counts;
};

/// Whether a failed request may have reached the target.
enum class send_progress {
    /// No byte of the request was written to an established connection.
    not_sent,
    /// The target may have received all or part of the request.
    may_be_sent,
};

/// A failed request.
struct http_failure {
    /// connect_failed, deadline_exceeded, target_failed, answer_truncated or answer_too_large. The
    /// detail begins with the name of how the connection ended.
    error problem;
    send_progress progress{send_progress::may_be_sent};
    target_connection_end end{};
};

using http_outcome = tl::expected<http_response, http_failure>;

/// A connection to one endpoint, established on demand. Not thread safe.
class http_connection {
public:
    using handler = std::function<void(http_outcome)>;

    /// \param source_ip local IP address to bind to; empty lets the system choose
    http_connection(loop& owner, const endpoint& address, const http_client_limits& limits,
                    const std::string& source_ip = {});
    /// Cancels a running request without calling its handler.
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Sends \p request and calls \p done once, from the loop, with the complete response or the
    /// failure. When no response arrives within \p timeout, the request fails and the connection
    /// is closed. \p done may destroy the connection.
    /// \pre no request is running
    void send(const http_request& request, duration timeout, handler done);
    /// Cancels a running request by closing its connection; the handler is not called.
    void cancel();
    [[nodiscard]] bool is_busy() const noexcept { return this->running != nullptr; }
    /// True while the connection is open and can carry another request: the last response left it
    /// reusable, no data has arrived since, and the peer's idle timeout is not about to expire.
    [[nodiscard]] bool is_reusable() const noexcept;
    /// True when it is reusable and the kernel holds no data, close or error of the peer that the
    /// loop has not handled yet. To be asked right before send(): a request on a connection that
    /// the peer has ended cannot be told from one that it has run.
    [[nodiscard]] bool accepts_request() const noexcept;
    /// True when no byte of the running request was written to an established connection.
    /// \pre a request is running
    [[nodiscard]] bool is_unsent() const;
    /// Time since the last request ended.
    [[nodiscard]] duration idle_time() const noexcept {
        return boot_clock::now() - this->last_exchange_end;
    }

private:
    struct exchange;
    struct stream_deleter {
        void operator()(bufferevent* owned) const noexcept;
    };

    void start_exchange(const http_request& request, duration timeout, handler done);
    [[nodiscard]] bool open();
    void write_request(const http_request& request);
    void write_at_once();
    void read_response();
    void handle_event(short what);
    void handle_connected();
    void handle_connection_end(bool closed_cleanly);
    [[nodiscard]] bool accept_response();
    void time_out();
    void fail_exchange(target_connection_end end, error_kind kind, std::string_view detail);
    void end_stream(target_connection_end end);
    void end_idle_stream();
    [[nodiscard]] std::optional<target_connection_end> end_after_answer() const;
    void finish(http_outcome outcome);
    [[nodiscard]] bool matches_request(const http_response& response) const;

    loop& owner;
    endpoint address;
    http_client_limits limits;
    std::string source_ip;
    std::unique_ptr<bufferevent, stream_deleter> stream;
    std::unique_ptr<exchange> running;
    bool connected{false};
    bool reusable{false};
    time_point last_exchange_end;
    time_point reusable_until;
};

/// Sends \p request on a new connection and calls \p done once.
void send_once(loop& owner, const endpoint& address, const http_request& request, duration timeout,
               const http_client_limits& limits, http_connection::handler done);

} // namespace knapweedknot
