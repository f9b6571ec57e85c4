#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delivery_progress.h"
#include "event/connection_end.h"
#include "event/http_server.h"
#include "http_parser.h"
#include "response_ledger.h"

struct bufferevent;

/// \file
/// The server side of one caller connection.

namespace knapweedknot::detail {

/// Reads requests and writes their responses in the order of the requests. Not thread safe.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_server& server, int socket, std::string caller_ip);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Starts reading requests.
    void start();
    void send_response(incoming_request& request, http_response&& response);
    /// Discards what was received behind a running request, and reads no more: the response to the
    /// last running request closes the connection. Has no effect while no request runs.
    void stop_reading_behind_running();
    /// Ends the connection without a reset, which could discard responses before the caller reads
    /// them: reads and discards what the caller sends on, shuts down sending once all responses are
    /// written, and waits for the caller to close. Has no effect while the connection is closing.
    void start_closing(connection_end_reason reason);
    /// Closes the connection at once; its running requests are notified of the disconnect.
    /// \param reason why it ends, unless it is closing already
    void close(connection_end_reason reason, connection_end_manner manner);
    /// True when no request is running or received in part, the caller's host has acknowledged all
    /// responses, and the connection is not closing.
    [[nodiscard]] bool is_idle() const;
    /// True when closing the connection at once loses no response: it is idle or closing, the
    /// caller's host has acknowledged all responses, and the last of them was written longer ago
    /// than the linger timeout.
    [[nodiscard]] bool is_settled() const;
    [[nodiscard]] std::size_t bytes_queued() const;
    [[nodiscard]] bool is_writing() const { return this->bytes_queued() > 0; }

    [[nodiscard]] const std::string& caller_ip() const noexcept { return this->ip; }
    /// Position of this connection in the server's list.
    std::list<std::shared_ptr<server_connection>>::iterator position;

private:
    struct stream_deleter {
        void operator()(bufferevent* owned) const noexcept;
    };
    /// A request, in order of arrival, and its response once available.
    struct exchange {
        incoming_request* request{nullptr};
        /// Value of the server's id_header.
        std::string id;
        bool is_head{false};
        bool closes{false};
        std::optional<http_response> response;
    };

    void read_requests();
    [[nodiscard]] bool may_read_more() const;
    void take_request();
    void start_request(http_request&& message, bool keeps_alive);
    void reject(const error& problem);
    void flush_responses();
    void write(exchange& next, bool closes);
    void handle_output_drained();
    void handle_end_event(bool is_failure);
    void shut_down_sending_if_written();
    void check_linger();
    void cancel_requests();
    void close_if_delivered();
    void handle_partial_request();
    void restart_idle_timer();
    void schedule_idle_check(duration delay);
    void check_idle();
    void start_receive_timer(duration timeout);
    [[nodiscard]] parse_limits parser_limits() const;
    /// Bytes of responses that the kernel holds and the caller's host has not acknowledged.
    [[nodiscard]] std::size_t unacknowledged_response_bytes() const;
    /// Bytes of responses that the caller's host has not acknowledged.
    [[nodiscard]] std::size_t undelivered_bytes() const;
    /// Received bytes that were not parsed, those in the kernel included.
    [[nodiscard]] std::size_t unread_input_bytes() const;
    /// Value of the server's id_header in \p message.
    [[nodiscard]] std::string id_of(const http_request& message) const;
    /// Ids of the requests that were read and have no written response, in their order.
    [[nodiscard]] std::vector<std::string> unanswered_requests() const;
    [[nodiscard]] connection_end describe_end(connection_end_reason reason,
                                              connection_end_manner manner) const;

    http_server& server;
    std::string ip;
    std::unique_ptr<bufferevent, stream_deleter> stream;
    std::unique_ptr<request_parser> parser;
    /// A parsed request that waits for the responses to earlier ones.
    std::optional<http_request> pending_request;
    bool pending_keeps_alive{true};
    std::deque<exchange> exchanges;
    response_ledger written_responses;
    delivery_progress delivery;
    /// When the connection last was in use, while no request runs.
    time_point last_active;
    /// When the last response was handed to the kernel in full.
    time_point last_written;
    bool reading_stopped{false};
    /// Why the connection is being closed, while it is.
    std::optional<connection_end_reason> closing_reason;
    bool sent_fin{false};
    bool caller_stopped_sending{false};
    /// Ids of requests that were cancelled since the caller stopped sending.
    std::vector<std::string> cancelled_requests;
    bool sent_continue{false};
    timer receive_timer;
    timer idle_timer;
    timer linger_timer;
};

} // namespace knapweedknot::detail
