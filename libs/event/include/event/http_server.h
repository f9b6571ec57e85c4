#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/endpoint.h"
#include "base/error.h"
#include "event/connection_end.h"
#include "event/http_message.h"
#include "event/loop.h"
#include "event/memory_gate.h"

struct evconnlistener;
struct sockaddr;

/// \file
/// HTTP/1.1 server over libevent's bufferevents. The handler receives complete requests and may
/// respond asynchronously, once per request. Responses on a connection are sent in the order of
/// its requests.

namespace knapweedknot {

namespace detail {
class server_connection;
} // namespace detail

/// Limits of a server.
struct http_server_limits {
    std::size_t max_header_bytes{std::size_t{64} * 1024};
    std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
    /// Time after which an idle caller connection is closed. It runs from when the caller has taken
    /// the last response.
    duration idle_timeout{seconds(60)};
    /// Time for which a caller may take no byte of its responses, at least the idle timeout. It is
    /// checked at intervals of the idle timeout while the connection is kept. A host
    /// that is cut off for some seconds, or resends over a lossy link, is not given up.
    duration write_stall_timeout{seconds(10)};
    /// Maximum time from the first byte of a request to the end of its header section. The parts of
    /// a body may be this far apart, or idle_timeout if that is longer.
    duration header_timeout{seconds(60)};
    /// The server closes a connection that it ends once the caller has closed it, or this long
    /// after the caller has taken all responses; write_stall_timeout holds before.
    duration linger_timeout{seconds(2)};
    /// Requests of one connection that may run at once; no further requests are read until one of
    /// them completes. None are read either while responses wait to be written.
    std::size_t max_concurrent_requests{8};
    /// Bytes of a body that must arrive in each body_progress_window; a body that is slower is
    /// rejected. Zero: no minimum.
    std::size_t min_body_bytes{0};
    duration body_progress_window{seconds(10)};
    /// Bytes that are read and discarded of a connection that is closing.
    std::size_t max_discarded_bytes{std::size_t{64} * 1024 * 1024};
    /// Connections that may be open; further ones are refused. Idle ones are closed before. Zero:
    /// no limit.
    std::size_t max_connections{0};
};

class http_server;

/// A received request. Destroying it without a response closes the caller's connection. Not thread
/// safe.
class incoming_request {
public:
    incoming_request(detail::server_connection& connection, http_request&& message);
    ~incoming_request();
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;

    [[nodiscard]] std::string_view method() const noexcept { return this->message.method; }
    /// Path and query as received.
    [[nodiscard]] const std::string& uri() const noexcept { return this->message.uri; }
    /// Path without the query, not decoded.
    [[nodiscard]] std::string_view path() const noexcept;
    /// Query without the leading "?", not decoded; empty when there is none.
    [[nodiscard]] std::string_view query() const noexcept;
    /// Value of the query parameter \p name, decoded; empty when there is none.
    [[nodiscard]] std::string query_value(const std::string& name) const;
    [[nodiscard]] const http_headers& headers() const noexcept { return this->message.headers; }
    /// Value of the header \p name; empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    [[nodiscard]] evbuffer* body() const { return this->message.body.get(); }
    /// Moves the body out; what counts its bytes stays here until the request has ended.
    [[nodiscard]] body_ptr take_body() { return std::exchange(this->message.body, make_body()); }
    [[nodiscard]] const std::string& caller_ip() const noexcept { return this->caller; }
    /// Time at which the last byte of the request was read.
    [[nodiscard]] time_point arrived() const noexcept { return this->arrival; }

    /// Sends \p response, adds Content-Length and moves the body out of \p response. For a HEAD
    /// request the body must be empty, and a Content-Length header in \p response is sent
    /// unchanged. Has no effect when is_finished().
    void respond(http_response&& response);
    /// Calls \p callback when the connection closes before the request has a response.
    void on_caller_disconnect(std::function<void()> callback);
    /// True when the request has a response or its connection is closed.
    [[nodiscard]] bool is_finished() const noexcept { return this->connection == nullptr; }

private:
    friend class detail::server_connection;
    /// Parts the request from its ended connection, and returns what to call then; may be empty.
    [[nodiscard]] std::function<void()> detach();

    detail::server_connection* connection;
    http_request message;
    std::string caller;
    time_point arrival;
    std::function<void()> disconnect_callback;
};

/// Listens on one address and serves the connections that it accepts. Not thread safe.
class http_server {
public:
    using request_ptr = std::shared_ptr<incoming_request>;
    using handler = std::function<void(request_ptr)>;

    /// \param on_request called for each request
    http_server(loop& owner, const http_server_limits& limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts listening on \p address. Fails with internal when the address cannot be bound.
    [[nodiscard]] result<void> listen(const endpoint& address);
    /// Stops accepting connections. Open connections are still served, and so are those that the
    /// kernel has established by now.
    void stop_listening();
    /// Replaces the limits. Partly received requests and running timers keep the previous ones, but
    /// a longer idle timeout holds at once.
    void set_limits(const http_server_limits& limits) noexcept { this->limits = limits; }
    /// Counts what is held for callers at \p gate, which must outlive the server, and rejects
    /// callers where it is used up. Call before listen().
    void set_memory_gate(memory_gate& gate);
    /// Creates the response to a request that cannot be parsed or exceeds a limit. The default has
    /// the HTTP status of the error, and its detail as the body.
    std::function<http_response(const error&)> make_error_response;
    /// Whether a request may run while earlier requests of its connection have no response yet.
    /// Otherwise the request waits for their responses. When unset, requests of a connection run
    /// one at a time.
    std::function<bool(const http_request&)> may_run_concurrently;
    /// Header of a request that identifies it in a connection_end; empty for none.
    std::string id_header;
    /// Called with the state of each connection at its end. Must not use the server.
    std::function<void(const connection_end&)> on_connection_end;
    /// From now on closes each connection after the responses to the requests that run on it. What
    /// callers send behind those is not handled: they resend it on another connection.
    void close_after_responses();
    /// Closes connections without a running or partly received request.
    void close_idle_connections();
    /// True when no request runs and closing all connections at once loses no response: each one
    /// is idle or closing, its caller's host has all responses, and the caller has closed the
    /// connection or had the linger timeout to read them.
    [[nodiscard]] bool is_settled() const;
    /// Number of requests without a response.
    [[nodiscard]] std::size_t running_requests() const noexcept { return this->running; }
    /// Number of open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept { return this->connections.size(); }
    /// Connections accepted since the start.
    [[nodiscard]] std::size_t accepted_connections() const noexcept { return this->accepted_count; }
    /// Callers that were rejected, closed or refused for want of memory or descriptors.
    [[nodiscard]] const pressure_counts& pressure() const noexcept { return this->decisions; }
    /// Bytes of responses in the output buffers of all connections, not yet written to a socket.
    [[nodiscard]] std::size_t bytes_queued() const;

private:
    friend class detail::server_connection;
    static void accepted(evconnlistener* listener, int socket, sockaddr* address, int size,
                         void* argument);
    void accept_queued();
    void add_connection(int socket, const sockaddr* address);
    [[nodiscard]] bool make_room_for_connection();
    void refuse_connection(int socket);
    void reject_one(bool responses_wait);
    void note_progress();
    /// Places \p connection behind those that became idle before it.
    void move_to_end(detail::server_connection& connection);
    void remove(detail::server_connection& connection);

    loop& owner;
    http_server_limits limits;
    handler on_request;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener;
    std::list<std::shared_ptr<detail::server_connection>> connections;
    memory_gate* memory{nullptr};
    pressure_counts decisions;
    std::size_t accepted_count{0};
    std::size_t running{0};
    bool draining{false};
};

} // namespace knapweedknot
