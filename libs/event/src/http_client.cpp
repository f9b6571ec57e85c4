#include "event/http_client.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "base/log.h"
#include "event/socket_address.h"
#include "http_parser.h"

namespace knapweedknot {

namespace {

// Connections are not reused this shortly before the peer's idle timeout: the peer could close the
// connection while the next request is in transit.
constexpr duration idle_timeout_margin = milliseconds(500);
constexpr duration no_idle_timeout = std::chrono::hours(24);

/// Idle timeout announced by the peer in "Keep-Alive: timeout=SECONDS".
duration peer_idle_timeout(const http_headers& headers) {
    constexpr std::string_view parameter = "timeout=";
    const std::string* value = find_header(headers, "Keep-Alive");
    if (value == nullptr) {
        return no_idle_timeout;
    }
    const auto found = std::search(
        value->begin(), value->end(), parameter.begin(), parameter.end(),
        [](unsigned char left, unsigned char right) { return std::tolower(left) == right; });
    if (found == value->end()) {
        return no_idle_timeout;
    }
    // Longer ones, also those that no integer holds, are as good as none.
    constexpr long long max_timeout_s =
        std::chrono::duration_cast<seconds>(no_idle_timeout).count();
    long long timeout_s = 0;
    const char* first = value->data() + (found - value->begin()) + parameter.size();
    const auto parsed = std::from_chars(first, value->data() + value->size(), timeout_s);
    return parsed.ec == std::errc() ? duration(seconds(std::clamp(timeout_s, 0LL, max_timeout_s)))
                                    : no_idle_timeout;
}

bool needs_content_length(std::string_view method, std::size_t body_bytes) {
    return body_bytes > 0 || method == "POST" || method == "PUT" || method == "PATCH";
}

/// True when bytes, the peer's close or an error of \p socket were not read yet.
bool has_unread_input(int socket) noexcept {
    char next{};
    const ssize_t size = recv(socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

/// State of the running request.
struct http_connection::exchange {
    handler done;
    detail::response_parser parser;
    /// Value that the response must echo in limits.echoed_header; empty disables the check.
    std::string expected_echo;
    /// Size of the request in the output buffer when it was queued.
    std::size_t request_bytes{0};
    bool skipped_response{false};
    /// True once a write has failed; the rest of the request is not written.
    bool write_failed{false};
    timer deadline;
    timer connect_deadline;
};

void http_connection::stream_deleter::operator()(bufferevent* owned) const noexcept {
    bufferevent_free(owned);
}

http_connection::http_connection(loop& event_loop, const endpoint& target_address,
                                 const http_client_limits& size_limits, const std::string& local_ip)
    : owner(event_loop), address(target_address), limits(size_limits), source_ip(local_ip) {}

http_connection::~http_connection() {
    this->cancel();
    this->end_idle_stream();
}

bool http_connection::is_reusable() const noexcept {
    return this->stream != nullptr && this->connected && this->reusable && !this->is_busy() &&
           boot_clock::now() < this->reusable_until;
}

bool http_connection::accepts_request() const noexcept {
    return this->is_reusable() && !has_unread_input(bufferevent_getfd(this->stream.get()));
}

void http_connection::send(const http_request& request, duration timeout, handler done) {
    if (this->prepare(request, timeout, std::move(done))) {
        this->write_head(request);
        append_copy(bufferevent_get_output(this->stream.get()), request.body.get());
        this->start_writing();
    }
}

void http_connection::send(http_request&& request, duration timeout, handler done) {
    if (this->prepare(request, timeout, std::move(done))) {
        this->write_head(request);
        evbuffer_add_buffer(bufferevent_get_output(this->stream.get()), request.body.get());
        this->start_writing();
    }
}

/// Starts the exchange. Returns false if there is no connection to write to.
bool http_connection::prepare(const http_request& request, duration timeout, handler done) {
    assert(this->running == nullptr);
    const bool reuse = this->accepts_request();
    this->start_exchange(request, timeout, std::move(done));
    if (!reuse && !this->open()) {
        this->running->deadline = this->owner.after(duration::zero(), [this] {
            this->fail_exchange(target_connection_end::connect_failed, error_kind::connect_failed,
                                "cannot start a connection");
        });
        return false;
    }
    return true;
}

void http_connection::start_exchange(const http_request& request, duration timeout, handler done) {
    const detail::parse_limits parser_limits{this->limits.max_header_bytes,
                                             this->limits.max_body_bytes};
    this->running.reset(new exchange{std::move(done),
                                     {parser_limits, request.method == "HEAD"},
                                     {},
                                     0,
                                     false,
                                     false,
                                     timer(),
                                     timer()});
    if (!this->limits.echoed_header.empty()) {
        const std::string* value = find_header(request.headers, this->limits.echoed_header);
        this->running->expected_echo = value == nullptr ? std::string() : *value;
    }
    this->reusable = false;
    if (this->limits.memory != nullptr) {
        this->response_memory = memory_share(&this->limits.memory->account(), memory_use::response);
    }
    this->running->deadline = this->owner.after(timeout, [this] { this->time_out(); });
    if (this->limits.connect_timeout < timeout) {
        this->running->connect_deadline = this->owner.after(this->limits.connect_timeout, [this] {
            if (!this->connected) {
                this->time_out();
            }
        });
    }
}

bool http_connection::open() {
    this->end_idle_stream();
    const int socket = make_tcp_socket(this->source_ip);
    if (socket < 0) {
        return false;
    }
    this->stream.reset(bufferevent_socket_new(this->owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        this->stream.get(),
        [](bufferevent* /*unused*/, void* self) {
            static_cast<http_connection*>(self)->read_response();
        },
        nullptr,
        [](bufferevent* /*unused*/, short what, void* self) {
            static_cast<http_connection*>(self)->handle_event(what);
        },
        this);
    bufferevent_enable(this->stream.get(), EV_READ | EV_WRITE);
    const sockaddr_in name = to_socket_address(this->address);
    return bufferevent_socket_connect(this->stream.get(), reinterpret_cast<const sockaddr*>(&name),
                                      sizeof name) == 0;
}

void http_connection::write_head(const http_request& request) {
    std::string head = request.method + ' ' + request.uri + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (find_header(request.headers, "Host") == nullptr) {
        head.append("Host: ").append(to_string(this->address)).append("\r\n");
    }
    const std::size_t body_bytes = body_size(request.body.get());
    if (needs_content_length(request.method, body_bytes)) {
        head.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
    }
    head += "\r\n";
    evbuffer_add(bufferevent_get_output(this->stream.get()), head.data(), head.size());
    this->running->request_bytes = head.size() + body_bytes;
}

void http_connection::start_writing() {
    if (this->connected) {
        this->write_at_once();
    }
}

/// Hands what the kernel takes of the request to it now: on a kept connection the time between the
/// check for the peer's close and the write is as short as possible. The loop writes the rest and
/// reports errors.
void http_connection::write_at_once() {
    evbuffer* output = bufferevent_get_output(this->stream.get());
    // The stream locks the front of its output for all but its own writes.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(this->stream.get()));
    evbuffer_freeze(output, 1);
}

void http_connection::cancel() {
    if (this->running != nullptr) {
        this->stop_counting();
        this->running.reset();
        this->end_stream(target_connection_end::cancelled);
    }
}

/// Closes the connection and counts its end.
void http_connection::end_stream(target_connection_end end) {
    this->stream.reset();
    this->connected = false;
    if (this->limits.end_counts != nullptr) {
        this->limits.end_counts->record(end);
    }
}

/// Closes the connection on which no request runs, if there is one.
void http_connection::end_idle_stream() {
    if (this->stream != nullptr) {
        this->end_stream(has_unread_input(bufferevent_getfd(this->stream.get()))
                             ? target_connection_end::idle_closed
                             : target_connection_end::idle_dropped);
    }
}

/// True when no byte of the running request was written to the socket.
bool http_connection::is_unsent() const {
    if (!this->connected || this->stream == nullptr) {
        return true;
    }
    return evbuffer_get_length(bufferevent_get_output(this->stream.get())) ==
           this->running->request_bytes;
}

void http_connection::handle_event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        this->handle_connected();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    const bool is_writing = (what & BEV_EVENT_WRITING) != 0;
    if (is_writing && this->connected && this->running != nullptr &&
        has_unread_input(bufferevent_getfd(this->stream.get()))) {
        // The target may have answered before it ended the connection: reading goes on to the end.
        this->running->write_failed = true;
        return;
    }
    this->handle_connection_end((what & BEV_EVENT_EOF) != 0);
}

/// Lets the request be written unless the target has already ended the connection or sent bytes,
/// which answer nothing.
void http_connection::handle_connected() {
    if (has_unread_input(bufferevent_getfd(this->stream.get()))) {
        // Without this the stream writes the request after this callback, though it is released.
        bufferevent_disable(this->stream.get(), EV_WRITE);
        this->fail_exchange(target_connection_end::ended_before_request, error_kind::connect_failed,
                            "connection ended before the request");
        return;
    }
    this->connected = true;
}

void http_connection::handle_connection_end(bool closed_cleanly) {
    if (this->running == nullptr) {
        this->end_stream(target_connection_end::idle_closed);
        return;
    }
    if (!this->connected) {
        this->fail_exchange(target_connection_end::connect_failed, error_kind::connect_failed,
                            "cannot connect");
        return;
    }
    // A failed write takes the socket's error away: a reset then reads like a proper close.
    closed_cleanly = closed_cleanly && !this->running->write_failed;
    const bool body_needs_eof = this->running->parser.needs_eof();
    if (closed_cleanly && this->limits.accept_close_delimited && body_needs_eof &&
        this->running->parser.finish_at_eof() && this->accept_response()) {
        return;
    }
    if (this->running->parser.state() == detail::parse_state::empty) {
        const target_connection_end end =
            this->is_unsent() ? target_connection_end::ended_before_request
            : closed_cleanly  ? target_connection_end::closed_without_answer
                              : target_connection_end::reset_without_answer;
        this->fail_exchange(
            end, closed_cleanly ? error_kind::answer_truncated : error_kind::target_failed,
            "connection ended without an answer");
        return;
    }
    this->fail_exchange(closed_cleanly ? target_connection_end::closed_within_answer
                                       : target_connection_end::reset_within_answer,
                        error_kind::answer_truncated, "connection ended within the answer");
}

void http_connection::read_response() {
    if (this->running == nullptr) {
        // Data without a request: later responses could no longer be matched to their requests.
        this->end_stream(target_connection_end::idle_closed);
        return;
    }
    evbuffer* input = bufferevent_get_input(this->stream.get());
    bool is_accepted = false;
    do {
        if (const auto parsed = this->running->parser.consume(input); !parsed) {
            const error& problem = parsed.error();
            this->fail_exchange(problem.kind == error_kind::answer_too_large
                                    ? target_connection_end::answer_too_large
                                    : target_connection_end::malformed_answer,
                                problem.kind, problem.detail);
            return;
        }
        if (this->running->parser.state() != detail::parse_state::done) {
            this->count_response();
            return;
        }
        is_accepted = this->accept_response();
    } while (!is_accepted);
}

std::size_t http_connection::unfinished_bytes() const {
    return this->running->parser.body_bytes() +
           evbuffer_get_length(bufferevent_get_input(this->stream.get()));
}

/// Counts the response as far as it was read. Reads no more of it while there is no room.
void http_connection::count_response() {
    if (this->limits.memory == nullptr || this->reading_paused ||
        take_for_reading(this->response_memory, this->unfinished_bytes())) {
        return;
    }
    this->reading_paused = true;
    bufferevent_disable(this->stream.get(), EV_READ);
    this->limits.memory->wait(*this);
    log_event(log_level::info, "response_reading_paused",
              {{"target", to_string(this->address)},
               {"bytes", std::to_string(this->unfinished_bytes())}});
}

bool http_connection::try_to_resume() {
    if (!take_for_reading(this->response_memory, this->unfinished_bytes())) {
        return false;
    }
    this->reading_paused = false;
    bufferevent_enable(this->stream.get(), EV_READ);
    return true;
}

void http_connection::stop_counting() {
    if (std::exchange(this->reading_paused, false)) {
        this->limits.memory->stop_waiting(*this);
        if (this->stream != nullptr) {
            bufferevent_enable(this->stream.get(), EV_READ);
        }
    }
    this->response_memory.shrink_to(0);
}

bool http_connection::matches_request(const http_response& response) const {
    if (this->running->expected_echo.empty()) {
        return true;
    }
    const std::string* echoed = find_header(response.headers, this->limits.echoed_header);
    return echoed == nullptr || *echoed == this->running->expected_echo;
}

/// Why the connection cannot carry another request after the parsed response; empty if it can.
std::optional<target_connection_end> http_connection::end_after_answer() const {
    if (this->running->skipped_response) {
        return target_connection_end::late_answer;
    }
    if (this->running->parser.needs_eof()) {
        return target_connection_end::close_delimited;
    }
    if (evbuffer_get_length(bufferevent_get_output(this->stream.get())) > 0) {
        return target_connection_end::request_unfinished;
    }
    if (evbuffer_get_length(bufferevent_get_input(this->stream.get())) > 0) {
        return target_connection_end::surplus_bytes;
    }
    if (!this->running->parser.keeps_alive()) {
        return target_connection_end::close_announced;
    }
    return std::nullopt;
}

/// Completes the request with the parsed response, or discards the response when it belongs to
/// another request. Returns whether it completed the request; its handler may then have destroyed
/// the connection.
bool http_connection::accept_response() {
    const std::optional<target_connection_end> end = this->end_after_answer();
    http_response response = this->running->parser.take();
    const std::size_t bytes = body_size(response.body.get());
    // What came in one read was not counted before; if there is no room, it is not.
    static_cast<void>(this->response_memory.grow_to(bytes));
    this->response_memory.shrink_to(bytes);
    response.memory = std::move(this->response_memory);
    if (!this->matches_request(response)) {
        this->response_memory = std::move(response.memory);
        this->response_memory.shrink_to(0);
        this->running->skipped_response = true;
        this->running->parser.skip();
        return false;
    }
    this->reusable = !end;
    this->reusable_until =
        boot_clock::now() + peer_idle_timeout(response.headers) - idle_timeout_margin;
    if (end) {
        this->end_stream(*end);
    }
    this->finish(std::move(response));
    return true;
}

void http_connection::time_out() {
    if (this->connected) {
        this->fail_exchange(target_connection_end::timed_out, error_kind::deadline_exceeded,
                            "no answer in time");
    } else {
        this->fail_exchange(target_connection_end::connect_timed_out, error_kind::connect_failed,
                            "no connection in time");
    }
}

void http_connection::fail_exchange(target_connection_end end, error_kind kind,
                                    std::string_view detail) {
    const send_progress progress =
        this->is_unsent() ? send_progress::not_sent : send_progress::may_be_sent;
    error problem{kind, std::string(to_string(end)).append(": ").append(detail)};
    this->end_stream(end);
    this->finish(tl::unexpected(http_failure{std::move(problem), progress, end}));
}

void http_connection::finish(http_outcome outcome) {
    this->stop_counting();
    const std::unique_ptr<exchange> finished = std::move(this->running);
    this->last_exchange_end = boot_clock::now();
    finished->done(std::move(outcome));
}

void send_once(loop& owner, const endpoint& address, const http_request& request, duration timeout,
               const http_client_limits& limits, http_connection::handler done) {
    auto connection = std::make_shared<http_connection>(owner, address, limits);
    http_connection* raw = connection.get();
    raw->send(request, timeout,
              [keep = std::move(connection), reply = std::move(done)](http_outcome outcome) {
                  reply(std::move(outcome));
              });
}

} // namespace knapweedknot
