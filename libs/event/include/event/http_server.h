#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/endpoint.h"
#include "base/error.h"
#include "event/http_message.h"
#include "event/loop.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

/// \file
/// HTTP server over evhttp. Requests arrive whole and are answered later, once each.

namespace knapweedknot {

/// Limits of a listener.
struct http_server_limits {
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
    /// Time without a byte after which an idle caller connection is closed.
    duration idle_timeout{seconds(60)};
};

class http_server;

/// A request that waits for its answer. Dropping it unanswered closes the caller's connection.
/// Not thread safe.
class incoming_request {
public:
    incoming_request(http_server& server, evhttp_request* request);
    ~incoming_request();
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;

    [[nodiscard]] std::string_view method() const noexcept { return this->method_text; }
    /// Path and query as sent.
    [[nodiscard]] const std::string& uri() const noexcept { return this->uri_text; }
    /// Path without query, not decoded.
    [[nodiscard]] std::string_view path() const noexcept;
    /// Query without "?", not decoded; empty when there is none.
    [[nodiscard]] std::string_view query() const noexcept;
    /// Value of the query parameter \p name, decoded; empty when there is none.
    [[nodiscard]] std::string query_value(const std::string& name) const;
    [[nodiscard]] const http_headers& headers() const noexcept { return this->header_list; }
    /// Value of the header \p name; empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The body. Valid until the answer is sent.
    [[nodiscard]] evbuffer* body() const;
    [[nodiscard]] const std::string& caller_ip() const noexcept { return this->caller; }

    /// Sends the answer. Content-Length is added; the body is moved out of \p answer. For a HEAD
    /// request the body must be empty, and a Content-Length header is passed on.
    /// \pre not answered yet
    void answer(http_answer&& answer);
    /// Calls \p callback when the caller closes its connection before it has its answer.
    void on_caller_gone(std::function<void()> callback);
    /// True when the caller has closed its connection.
    [[nodiscard]] bool is_caller_gone() const noexcept { return this->request == nullptr; }

private:
    friend class http_server;
    void watch_caller();
    void caller_closed();

    http_server& server;
    evhttp_request* request;
    std::string method_text;
    std::string uri_text;
    http_headers header_list;
    std::string caller;
    std::function<void()> gone_callback;
    bool answered{false};
};

/// A listener. Not thread safe.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<incoming_request>)>;

    /// \param on_request is called for each request
    http_server(loop& owner, const http_server_limits& limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on \p address. The error says why not.
    [[nodiscard]] result<void> listen(const endpoint& address);
    /// Stops accepting connections; open ones go on.
    void stop_listening();
    /// From now on every answer closes its connection.
    void close_after_answers() noexcept { this->closing = true; }
    /// Closes connections that run no request.
    void close_idle_connections();
    /// Requests that wait for their answer.
    [[nodiscard]] std::size_t running_requests() const noexcept { return this->running; }
    /// Open connections that have sent at least one request.
    [[nodiscard]] std::size_t open_connections() const noexcept { return this->connections.size(); }
    /// True while the answer to some request has not been written to its connection.
    [[nodiscard]] bool is_writing() const;

private:
    friend class incoming_request;
    static void accept_request(evhttp_request* request, void* argument);
    static void connection_closed(evhttp_connection* connection, void* argument);

    std::unique_ptr<evhttp, void (*)(evhttp*)> http;
    evhttp_bound_socket* listener{nullptr};
    handler on_request;
    std::unordered_map<evhttp_connection*, incoming_request*> connections;
    std::size_t running{0};
    bool closing{false};
};

} // namespace knapweedknot
