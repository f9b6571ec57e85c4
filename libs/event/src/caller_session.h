#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "event/http_server.h"
#include "http_parser.h"

struct bufferevent;

/// \file
/// One connection of a caller.

namespace knapweedknot::detail {

/// Reads requests and writes their answers in order. Not thread safe.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(http_server& server, int socket, std::string caller_ip);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Starts to read.
    void start();
    void answer(incoming_request& request, http_answer&& answer);
    /// Ends the connection; the callers of its requests count as gone.
    void close();
    /// True when no request has begun and every answer was written.
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] std::size_t bytes_queued() const;
    [[nodiscard]] bool is_writing() const { return this->bytes_queued() > 0; }

    [[nodiscard]] const std::string& caller_ip() const noexcept { return this->ip; }
    /// Where the server holds this session.
    std::list<std::shared_ptr<caller_session>>::iterator place;

private:
    struct stream_deleter {
        void operator()(bufferevent* owned) const noexcept;
    };
    /// A request in the order of arrival, and its answer once there is one.
    struct exchange {
        incoming_request* request{nullptr};
        bool is_head{false};
        bool closes{false};
        std::optional<http_answer> answer;
    };

    void read_requests();
    [[nodiscard]] bool may_read_more() const;
    void take_request();
    void start_request(http_request&& message, bool keeps_alive);
    void refuse(const error& problem);
    void flush_answers();
    void write(http_answer& answer, bool is_head, bool closes);
    void finish_output();
    void await_caller_close();
    void watch_head();
    void restart_idle_timer();
    void head_timed_out();
    [[nodiscard]] parse_limits sizes() const;

    http_server& server;
    std::string ip;
    std::unique_ptr<bufferevent, stream_deleter> stream;
    std::unique_ptr<request_parser> parser;
    /// A parsed request that has to wait for its turn.
    std::optional<http_request> held;
    bool held_keeps_alive{true};
    std::deque<exchange> exchanges;
    bool reads_no_more{false};
    bool ending{false};
    bool promised_continue{false};
    timer head_timer;
    timer idle_timer;
    timer end_timer;
};

} // namespace knapweedknot::detail
