#include "server_connection.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "event/hop_by_hop.h"
#include "socket_queues.h"

namespace knapweedknot::detail {

namespace {

// Maximum bytes buffered from a caller while its requests run.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
// Checks within the linger timeout whether the caller still takes its responses.
constexpr int linger_checks = 8;
// Keeps the checks of many idle connections cheap whatever the idle timeout.
constexpr duration min_idle_check_interval = milliseconds(20);
// Written responses that are remembered before the kernel is asked which of them are delivered.
constexpr std::size_t max_remembered_responses = 16;

bool has_body(int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified;
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
                self->handle_end_event((what & BEV_EVENT_ERROR) != 0);
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
    const bool may_begin = this->parser != nullptr || !this->is_writing();
    return !this->reading_stopped && !this->pending_request && may_begin &&
           this->exchanges.size() < this->server.limits.max_concurrent_requests;
}

void server_connection::read_requests() {
    evbuffer* input = bufferevent_get_input(this->stream.get());
    if (this->closing_reason) {
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

/// Starts the timeout of the header section, or after the header section that of the next part of
/// the body, and answers "Expect: 100-continue".
void server_connection::handle_partial_request() {
    const http_server_limits& limits = this->server.limits;
    if (this->parser->state() == parse_state::in_body) {
        if (this->parser->expects_continue() && !this->sent_continue) {
            this->sent_continue = true;
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            bufferevent_write(this->stream.get(), interim.data(), interim.size());
        }
        this->start_receive_timer(std::max(limits.idle_timeout, limits.header_timeout));
        return;
    }
    if (!this->receive_timer) {
        this->start_receive_timer(limits.header_timeout);
    }
}

/// Rejects the partly received request after \p timeout. Requests before it are still answered.
void server_connection::start_receive_timer(duration timeout) {
    this->receive_timer = this->server.owner.after(timeout, [this] {
        const auto self = this->shared_from_this();
        this->reject({error_kind::request_timeout, "the request took too long to arrive"});
    });
}

void server_connection::take_request() {
    this->receive_timer = timer();
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
    std::string id = this->id_of(message);
    auto request = std::make_shared<incoming_request>(*this, std::move(message));
    this->exchanges.push_back({request.get(), std::move(id), is_head, !keeps_alive, std::nullopt});
    ++this->server.running;
    if (this->server.draining) {
        this->stop_reading_behind_running();
    }
    this->server.on_request(std::move(request));
}

std::string server_connection::id_of(const http_request& message) const {
    const std::string* id = find_header(message.headers, this->server.id_header);
    return id == nullptr ? std::string() : *id;
}

void server_connection::stop_reading_behind_running() {
    if (this->exchanges.empty()) {
        return;
    }
    this->reading_stopped = true;
    this->pending_request.reset();
    this->parser.reset();
    this->receive_timer = timer();
    this->idle_timer = timer();
}

/// Queues an error response behind the earlier ones, then closes the connection.
void server_connection::reject(const error& problem) {
    this->receive_timer = timer();
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
                                        is_connection_option(next.response->headers, "close"));
        this->write(next, closes);
        if (closes) {
            this->start_closing(connection_end_reason::final_response);
            return;
        }
    }
    if (this->pending_request && this->exchanges.empty()) {
        http_request message = std::move(*this->pending_request);
        this->pending_request.reset();
        this->start_request(std::move(message), this->pending_keeps_alive);
    }
    if (this->stream != nullptr && this->exchanges.empty() && this->parser == nullptr) {
        this->restart_idle_timer();
    }
    if (this->stream != nullptr) {
        this->read_requests();
    }
}

void server_connection::write(exchange& next, bool closes) {
    http_response& response = *next.response;
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
    if (has_body(response.status) && !next.is_head) {
        head += "Content-Length: " + std::to_string(body_size(response.body.get())) + "\r\n";
    }
    head += "\r\n";
    evbuffer* output = bufferevent_get_output(this->stream.get());
    const std::size_t bytes_before = evbuffer_get_length(output);
    evbuffer_add(output, head.data(), head.size());
    if (!next.is_head) {
        evbuffer_add_buffer(output, response.body.get());
    }
    this->written_responses.add(std::move(next.id), evbuffer_get_length(output) - bytes_before);
    if (this->written_responses.size() > max_remembered_responses) {
        this->written_responses.forget_delivered(this->undelivered_bytes());
    }
}

void server_connection::start_closing(connection_end_reason reason) {
    if (this->closing_reason) {
        return;
    }
    this->closing_reason = reason;
    this->reading_stopped = true;
    this->receive_timer = timer();
    this->idle_timer = timer();
    this->delivery.restart(this->undelivered_bytes(), boot_clock::now());
    this->linger_timer = this->server.owner.every(
        this->server.limits.linger_timeout / linger_checks, [this] { this->check_linger(); });
    evbuffer* input = bufferevent_get_input(this->stream.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    this->shut_down_sending_if_written();
}

void server_connection::check_linger() {
    const auto self = this->shared_from_this();
    const time_point now = boot_clock::now();
    this->close_if_delivered();
    if (this->stream == nullptr) {
        return;
    }
    // With nothing to read or to write, no event tells that the connection has failed.
    if (has_failed(bufferevent_getfd(this->stream.get()))) {
        this->close(connection_end_reason::connection_failed, connection_end_manner::failed);
        return;
    }
    this->delivery.note(this->undelivered_bytes(), now);
    const http_server_limits& limits = this->server.limits;
    const duration patience = this->delivery.outstanding_bytes > 0
                                  ? std::max(limits.linger_timeout, limits.write_stall_timeout)
                                  : limits.linger_timeout;
    if (this->delivery.unchanged_for(now) >= patience) {
        this->close(*this->closing_reason, connection_end_manner::timed_out);
    }
}

void server_connection::shut_down_sending_if_written() {
    if (this->closing_reason && !this->is_writing() && !this->sent_fin) {
        this->sent_fin = true;
        shutdown(bufferevent_getfd(this->stream.get()), SHUT_WR);
    }
}

void server_connection::handle_output_drained() {
    this->last_written = boot_clock::now();
    this->last_active = this->last_written;
    this->shut_down_sending_if_written();
    this->close_if_delivered();
    if (this->stream != nullptr) {
        this->read_requests();
    }
}

/// The end of what the caller sends, or of the connection. A caller that only stops sending cannot
/// be told from one that has left: its running requests are cancelled, and the responses that are
/// written are still delivered.
void server_connection::handle_end_event(bool is_failure) {
    if (is_failure) {
        this->close(connection_end_reason::connection_failed, connection_end_manner::failed);
        return;
    }
    this->caller_stopped_sending = true;
    this->start_closing(connection_end_reason::caller_closed);
    this->cancel_requests();
    this->close_if_delivered();
}

/// Notifies the running requests of the disconnect. Responses behind them are not sent.
void server_connection::cancel_requests() {
    this->cancelled_requests = this->unanswered_requests();
    const std::deque<exchange> abandoned = std::exchange(this->exchanges, {});
    this->pending_request.reset();
    // A callback may release other requests, so all are detached before the first is called.
    std::vector<std::function<void()>> callbacks;
    for (const exchange& item : abandoned) {
        if (item.request != nullptr) {
            --this->server.running;
            callbacks.push_back(item.request->detach());
        }
    }
    for (const std::function<void()>& callback : callbacks) {
        if (callback) {
            callback();
        }
    }
}

void server_connection::close_if_delivered() {
    if (this->stream != nullptr && this->caller_stopped_sending && this->undelivered_bytes() == 0) {
        this->close(connection_end_reason::caller_closed, connection_end_manner::closed_by_caller);
    }
}

void server_connection::restart_idle_timer() {
    if (this->closing_reason) {
        return;
    }
    this->last_active = boot_clock::now();
    this->delivery = {};
    this->schedule_idle_check(this->server.limits.idle_timeout);
}

void server_connection::schedule_idle_check(duration delay) {
    this->idle_timer = this->server.owner.after(std::max<duration>(delay, min_idle_check_interval),
                                                [this] { this->check_idle(); });
}

/// Closes the connection if it was idle for long enough. It counts as active while the caller takes
/// its responses.
void server_connection::check_idle() {
    const auto self = this->shared_from_this();
    const time_point now = boot_clock::now();
    const duration idle_timeout = this->server.limits.idle_timeout;
    const std::size_t undelivered = this->undelivered_bytes();
    this->delivery.note(undelivered, now);
    if (this->unread_input_bytes() > 0) {
        this->last_active = now;
    }
    if (undelivered > 0) {
        if (this->delivery.unchanged_for(now) >=
            std::max(idle_timeout, this->server.limits.write_stall_timeout)) {
            this->close(connection_end_reason::write_stalled, connection_end_manner::timed_out);
            return;
        }
        this->last_active = now;
    }
    if (const duration idle = now - this->last_active; idle < idle_timeout) {
        this->schedule_idle_check(idle_timeout - idle);
        return;
    }
    this->start_closing(connection_end_reason::idle);
}

void server_connection::close(connection_end_reason reason, connection_end_manner manner) {
    if (this->stream == nullptr) {
        return;
    }
    if (this->server.on_connection_end) {
        this->server.on_connection_end(
            this->describe_end(this->closing_reason.value_or(reason), manner));
    }
    this->stream.reset();
    this->receive_timer = timer();
    this->idle_timer = timer();
    this->linger_timer = timer();
    this->server.remove(*this);
    this->cancel_requests();
}

std::size_t server_connection::bytes_queued() const {
    return evbuffer_get_length(bufferevent_get_output(this->stream.get()));
}

std::size_t server_connection::unacknowledged_response_bytes() const {
    const std::size_t bytes = unacknowledged_bytes(bufferevent_getfd(this->stream.get()));
    // The FIN counts as one byte until it is acknowledged.
    return this->sent_fin && bytes > 0 ? bytes - 1 : bytes;
}

std::size_t server_connection::undelivered_bytes() const {
    return this->bytes_queued() + this->unacknowledged_response_bytes();
}

std::vector<std::string> server_connection::unanswered_requests() const {
    std::vector<std::string> ids = this->cancelled_requests;
    for (const exchange& item : this->exchanges) {
        ids.push_back(item.id);
    }
    if (this->pending_request) {
        ids.push_back(this->id_of(*this->pending_request));
    }
    return ids;
}

connection_end server_connection::describe_end(connection_end_reason reason,
                                               connection_end_manner manner) const {
    connection_end end;
    end.reason = reason;
    end.manner = manner;
    end.unanswered = this->unanswered_requests();
    end.unsent_bytes = this->bytes_queued();
    end.unacknowledged_bytes = this->unacknowledged_response_bytes();
    end.undelivered =
        this->written_responses.undelivered(end.unsent_bytes + end.unacknowledged_bytes);
    end.unread_bytes = this->unread_input_bytes();
    return end;
}

std::size_t server_connection::unread_input_bytes() const {
    return evbuffer_get_length(bufferevent_get_input(this->stream.get())) +
           unread_bytes(bufferevent_getfd(this->stream.get()));
}

bool server_connection::is_idle() const {
    return !this->closing_reason && this->exchanges.empty() && this->parser == nullptr &&
           this->undelivered_bytes() == 0 && this->unread_input_bytes() == 0;
}

bool server_connection::is_settled() const {
    const bool is_ended = this->closing_reason ? this->undelivered_bytes() == 0 : this->is_idle();
    const duration quiet = boot_clock::now() - this->last_written;
    return is_ended && quiet >= this->server.limits.linger_timeout;
}

} // namespace knapweedknot::detail
