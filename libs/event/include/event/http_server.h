#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/error.h"
#include "event/http_message.h"
#include "event/loop.h"

struct evconnlistener;
struct sockaddr;

/// \file
/// HTTP server over libevent's bufferevents. Requests arrive whole and are answered later, once
/// each. Answers on a connection are sent in the order of their requests.

namespace knapweedknot {

namespace detail {
class caller_session;
} // namespace detail

/// Limits of a listener. Times count from the last byte unless they say otherwise.
struct http_server_limits {
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
    /// Time without a byte after which an idle caller connection is closed.
    duration idle_timeout{seconds(60)};
    /// Time from the first byte of a request to the end of its head.
    duration header_timeout{seconds(60)};
    /// Requests of one connection that may run at once; more of them wait unread.
    std::size_t max_overlapping{8};
};

class http_server;

/// A request that waits for its answer. Dropping it unanswered closes the caller's connection.
/// Not thread safe.
class incoming_request {
public:
    incoming_request(detail::caller_session& session, http_request&& message);
    ~incoming_request();
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;

    [[nodiscard]] std::string_view method() const noexcept { return this->message.method; }
    /// Path and query as sent.
    [[nodiscard]] const std::string& uri() const noexcept { return this->message.uri; }
    /// Path without query, not decoded.
    [[nodiscard]] std::string_view path() const noexcept;
    /// Query without "?", not decoded; empty when there is none.
    [[nodiscard]] std::string_view query() const noexcept;
    /// Value of the query parameter \p name, decoded; empty when there is none.
    [[nodiscard]] std::string query_value(const std::string& name) const;
    [[nodiscard]] const http_headers& headers() const noexcept { return this->message.headers; }
    /// Value of the header \p name; empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The body.
    [[nodiscard]] evbuffer* body() const { return this->message.body.get(); }
    [[nodiscard]] const std::string& caller_ip() const noexcept { return this->caller; }
    /// When the last byte of the request was read.
    [[nodiscard]] time_point arrived() const noexcept { return this->arrival; }

    /// Sends the answer. Content-Length is added; the body is moved out of \p answer. For a HEAD
    /// request the body must be empty, and a Content-Length header is passed on.
    /// \pre not answered yet
    void answer(http_answer&& answer);
    /// Calls \p callback when the caller closes its connection before it has its answer.
    void on_caller_gone(std::function<void()> callback);
    /// True when the request was answered or the caller has closed its connection.
    [[nodiscard]] bool is_caller_gone() const noexcept { return this->session == nullptr; }

private:
    friend class detail::caller_session;
    void caller_closed();

    detail::caller_session* session;
    http_request message;
    std::string caller;
    time_point arrival;
    std::function<void()> gone_callback;
};

/// A listener. Not thread safe.
class http_server {
public:
    using request_ptr = std::shared_ptr<incoming_request>;
    using handler = std::function<void(request_ptr)>;

    /// \param on_request is called for each request
    http_server(loop& owner, const http_server_limits& limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on \p address. The error says why not.
    [[nodiscard]] result<void> listen(const endpoint& address);
    /// Stops accepting connections; open ones go on.
    void stop_listening();
    /// Takes other limits; running requests keep theirs.
    void set_limits(const http_server_limits& limits) noexcept { this->limits = limits; }
    /// Makes the answer to a request that cannot be read; by default it has only the status.
    std::function<http_answer(const error&)> make_refusal;
    /// Tells whether a request may run beside earlier ones of its connection that have no answer
    /// yet. A request that may not waits for its turn. Without it none may.
    std::function<bool(const http_request&)> may_overlap;
    /// From now on every answer closes its connection.
    void close_after_answers() noexcept { this->closing = true; }
    /// Closes connections that run no request.
    void close_idle_connections();
    /// Requests that wait for their answer.
    [[nodiscard]] std::size_t running_requests() const noexcept { return this->running; }
    /// Open connections of callers.
    [[nodiscard]] std::size_t open_connections() const noexcept { return this->sessions.size(); }
    /// Bytes of answers that wait in this process for room on their connections.
    [[nodiscard]] std::size_t bytes_queued() const;
    /// True while the answer to some request has not been written to its connection.
    [[nodiscard]] bool is_writing() const;

private:
    friend class detail::caller_session;
    static void accepted(evconnlistener* listener, int socket, sockaddr* address, int size,
                         void* argument);
    void remove(detail::caller_session& session);

    loop& owner;
    http_server_limits limits;
    handler on_request;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener;
    std::list<std::shared_ptr<detail::caller_session>> sessions;
    std::size_t running{0};
    bool closing{false};
};

} // namespace knapweedknot
