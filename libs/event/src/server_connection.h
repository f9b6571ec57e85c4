#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/memory_relief.h"
#include "delivery_progress.h"
#include "event/connection_end.h"
#include "event/http_server.h"
#include "http_parser.h"
#include "response_ledger.h"

struct bufferevent;

/// \file
/// The server side of one caller connection.

namespace knapweedknot::detail {

/// The head of \p response as it is sent; \p body_bytes is stated as the length of its body.
[[nodiscard]] std::string format_head(const http_response& response,
                                      std::optional<std::size_t> body_bytes, bool closes);

/// Reads requests and writes their responses in the order of the requests. Not thread safe.
class server_connection : public std::enable_shared_from_this<server_connection>,
                          private memory_waiter {
public:
    server_connection(http_server& server, int socket, std::string caller_ip);
    ~server_connection() override;
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

    /// What could be rejected of this connection for want of memory: empty if nothing can.
    [[nodiscard]] std::optional<memory_holder> rejectable(time_point now) const;
    /// Rejects what rejectable() told of.
    void reject_for_memory(const memory_holder& holder);
    /// Gives back the bytes of responses that the caller has taken, and notes when it took any.
    void note_taken_responses();
    /// True when the connection may be idle: the kernel has not been asked.
    [[nodiscard]] bool seems_idle() const noexcept {
        return !this->closing_reason && this->exchanges.empty() && this->parser == nullptr;
    }

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
    [[nodiscard]] memory_share make_share(memory_use use) const;
    void count_input();
    [[nodiscard]] bool count_request(http_request& message);
    [[nodiscard]] std::size_t unparsed_bytes() const;
    void count_output(memory_share&& response_memory);
    void drop_partial_request();
    void refuse_for_memory(const std::string& id, std::size_t bytes, duration stalled);
    void pause_reading();
    void end_pause();
    bool try_to_resume() override;
    [[nodiscard]] std::size_t held_bytes() const override { return this->input_memory.bytes(); }
    [[nodiscard]] bool is_response() const override { return false; }
    void start_progress_timer();
    void check_body_progress();
    void discard_input();
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
    /// Bytes counted for the caller's address; null without an account.
    address_memory* address{nullptr};
    memory_share own_memory;
    /// Bytes counted for what was received and does not run yet.
    memory_share input_memory;
    /// Bytes counted for responses that were written and not taken.
    memory_share output_memory;
    delivery_progress output_progress;
    bool reading_paused{false};
    /// Whether reading was paused since the last check of the body's progress.
    bool was_paused{false};
    std::size_t checked_body_bytes{0};
    std::size_t discarded_bytes{0};
    /// When the last part of a request was received, or since when none is read.
    time_point last_part;
    bool reading_stopped{false};
    /// Why the connection is being closed, while it is.
    std::optional<connection_end_reason> closing_reason;
    bool sent_fin{false};
    bool caller_stopped_sending{false};
    /// Ids of requests that were cancelled since the caller stopped sending.
    std::vector<std::string> cancelled_requests;
    bool sent_continue{false};
    timer receive_timer;
    timer progress_timer;
    timer idle_timer;
    timer linger_timer;
};

} // namespace knapweedknot::detail
