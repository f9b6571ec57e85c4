#include "server_connection.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace knapweedknot::detail {

namespace {

// Maximum bytes buffered from a caller while its requests run.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
// How long to wait for the caller to close after the last response. Closing with unread input makes
// the kernel reset the connection, which could discard the response before the caller reads it.
constexpr duration linger_timeout = seconds(2);

bool has_body(int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified;
}

bool has_connection_close(const http_headers& headers) {
    const std::string* value = find_header(headers, "Connection");
    return value != nullptr && equal_ignoring_case(*value, "close");
}

} // namespace

void server_connection::stream_deleter::operator()(bufferevent* owned) const noexcept {
    bufferevent_free(owned);
}

server_connection::server_connection(http_server& owner, int socket, std::string caller_ip)
    : server(owner), ip(std::move(caller_ip)),
      stream(bufferevent_socket_new(owner.owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE)) {}

server_connection::~server_connection() = default;

void server_connection::start() {
    bufferevent_setcb(
        this->stream.get(),
        [](bufferevent* /*unused*/, void* argument) {
            const auto self = static_cast<server_connection*>(argument)->shared_from_this();
            self->read_requests();
        },
        [](bufferevent* /*unused*/, void* argument) {
            const auto self = static_cast<server_connection*>(argument)->shared_from_this();
            self->handle_output_drained();
        },
        [](bufferevent* /*unused*/, short what, void* argument) {
            const auto self = static_cast<server_connection*>(argument)->shared_from_this();
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                self->close();
            }
        },
        this);
    bufferevent_setwatermark(this->stream.get(), EV_READ, 0, max_read_ahead_bytes);
    bufferevent_enable(this->stream.get(), EV_READ | EV_WRITE);
    this->restart_idle_timer();
}

parse_limits server_connection::parser_limits() const {
    return {this->server.limits.max_header_bytes, this->server.limits.max_body_bytes};
}

bool server_connection::may_read_more() const {
    return !this->reading_stopped && !this->pending_request &&
           this->exchanges.size() < this->server.limits.max_concurrent_requests;
}

void server_connection::read_requests() {
    evbuffer* input = bufferevent_get_input(this->stream.get());
    if (this->closing) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (this->stream != nullptr && this->may_read_more() && evbuffer_get_length(input) > 0) {
        this->idle_timer = timer();
        if (this->parser == nullptr) {
            this->parser = std::make_unique<request_parser>(this->parser_limits());
        }
        if (const auto parsed = this->parser->consume(input); !parsed) {
            this->reject(parsed.error());
            return;
        }
        if (this->parser->state() != parse_state::done) {
            this->handle_partial_request();
            return;
        }
        this->take_request();
    }
}

/// Starts the header timeout, or after the header section answers "Expect: 100-continue".
void server_connection::handle_partial_request() {
    if (this->parser->state() == parse_state::in_body) {
        this->header_timer = timer();
        if (this->parser->expects_continue() && !this->sent_continue) {
            this->sent_continue = true;
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            bufferevent_write(this->stream.get(), interim.data(), interim.size());
        }
        this->restart_idle_timer();
        return;
    }
    if (!this->header_timer) {
        this->header_timer = this->server.owner.after(this->server.limits.header_timeout,
                                                      [this] { this->handle_header_timeout(); });
    }
}

void server_connection::handle_header_timeout() {
    const auto self = this->shared_from_this();
    this->reject({error_kind::request_timeout, "the head of the request took too long"});
}

void server_connection::take_request() {
    this->header_timer = timer();
    this->sent_continue = false;
    const bool keeps_alive = this->parser->keeps_alive();
    http_request message = this->parser->take();
    this->parser.reset();
    if (!this->exchanges.empty() &&
        (!this->server.may_run_concurrently || !this->server.may_run_concurrently(message))) {
        this->pending_request = std::move(message);
        this->pending_keeps_alive = keeps_alive;
        return;
    }
    this->start_request(std::move(message), keeps_alive);
}

void server_connection::start_request(http_request&& message, bool keeps_alive) {
    this->reading_stopped = this->reading_stopped || !keeps_alive;
    const bool is_head = message.method == "HEAD";
    auto request = std::make_shared<incoming_request>(*this, std::move(message));
    this->exchanges.push_back({request.get(), is_head, !keeps_alive, std::nullopt});
    ++this->server.running;
    if (this->server.draining) {
        this->stop_reading_behind_running();
    }
    this->server.on_request(std::move(request));
}

void server_connection::stop_reading_behind_running() {
    if (this->exchanges.empty()) {
        return;
    }
    this->reading_stopped = true;
    this->pending_request.reset();
    this->parser.reset();
    this->header_timer = timer();
    this->idle_timer = timer();
}

/// Queues an error response behind the earlier ones, then closes the connection.
void server_connection::reject(const error& problem) {
    this->header_timer = timer();
    this->parser.reset();
    this->reading_stopped = true;
    exchange rejected;
    rejected.closes = true;
    rejected.response = this->server.make_error_response(problem);
    this->exchanges.push_back(std::move(rejected));
    this->flush_responses();
}

void server_connection::send_response(incoming_request& request, http_response&& response) {
    const auto self = this->shared_from_this();
    const auto found =
        std::find_if(this->exchanges.begin(), this->exchanges.end(),
                     [&request](const exchange& item) { return item.request == &request; });
    if (found == this->exchanges.end()) {
        return;
    }
    --this->server.running;
    found->request = nullptr;
    found->response = std::move(response);
    this->flush_responses();
}

/// Writes all responses that are next in order.
void server_connection::flush_responses() {
    while (!this->exchanges.empty() && this->exchanges.front().response) {
        exchange next = std::move(this->exchanges.front());
        this->exchanges.pop_front();
        const bool is_last = this->exchanges.empty() && !this->pending_request;
        // Later requests that already run must still get their responses before the close.
        const bool closes = is_last && (next.closes || this->server.draining ||
                                        has_connection_close(next.response->headers));
        this->write(*next.response, next.is_head, closes);
        if (closes) {
            this->start_lingering_close();
            return;
        }
    }
    if (this->pending_request && this->exchanges.empty()) {
        http_request message = std::move(*this->pending_request);
        this->pending_request.reset();
        this->start_request(std::move(message), this->pending_keeps_alive);
    }
    if (this->stream != nullptr && this->exchanges.empty()) {
        this->restart_idle_timer();
    }
    if (this->stream != nullptr) {
        this->read_requests();
    }
}

void server_connection::write(http_response& response, bool is_head, bool closes) {
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
                       reason_phrase(response.status) + "\r\n";
    for (const auto& [name, value] : response.headers) {
        if (!equal_ignoring_case(name, "Connection")) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }
    if (closes) {
        head += "Connection: close\r\n";
    }
    if (has_body(response.status) && !is_head) {
        head += "Content-Length: " + std::to_string(body_size(response.body.get())) + "\r\n";
    }
    head += "\r\n";
    evbuffer* output = bufferevent_get_output(this->stream.get());
    evbuffer_add(output, head.data(), head.size());
    if (!is_head) {
        evbuffer_add_buffer(output, response.body.get());
    }
}

/// Discards further input, and shuts down sending once the queued responses are written. Closes
/// when the caller does, at the latest after linger_timeout.
void server_connection::start_lingering_close() {
    this->closing = true;
    this->reading_stopped = true;
    this->idle_timer = timer();
    this->linger_timer = this->server.owner.after(linger_timeout, [this] {
        const auto self = this->shared_from_this();
        this->close();
    });
    evbuffer* input = bufferevent_get_input(this->stream.get());
    evbuffer_drain(input, evbuffer_get_length(input));
}

void server_connection::handle_output_drained() {
    if (this->closing && !this->is_writing()) {
        shutdown(bufferevent_getfd(this->stream.get()), SHUT_WR);
    }
}

void server_connection::restart_idle_timer() {
    if (this->closing) {
        return;
    }
    this->idle_timer = this->server.owner.after(this->server.limits.idle_timeout, [this] {
        const auto self = this->shared_from_this();
        this->close();
    });
}

void server_connection::close() {
    if (this->stream == nullptr) {
        return;
    }
    this->stream.reset();
    this->header_timer = timer();
    this->idle_timer = timer();
    this->linger_timer = timer();
    std::deque<exchange> abandoned = std::move(this->exchanges);
    this->exchanges.clear();
    this->server.remove(*this);
    for (const exchange& item : abandoned) {
        if (item.request != nullptr) {
            --this->server.running;
            item.request->handle_disconnect();
        }
    }
}

std::size_t server_connection::bytes_queued() const {
    return evbuffer_get_length(bufferevent_get_output(this->stream.get()));
}

bool server_connection::is_idle() const {
    return this->exchanges.empty() && this->parser == nullptr && !this->is_writing() &&
           evbuffer_get_length(bufferevent_get_input(this->stream.get())) == 0;
}

} // namespace knapweedknot::detail
