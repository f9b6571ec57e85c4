#include "server_connection.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "base/log.h"
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
// What a connection takes besides its messages: the objects, their buffers and timers.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
// What a request takes besides its body: its head, in the caller's and in the target's form.
constexpr std::size_t request_bytes = std::size_t{2} * 1024;

bool has_body(int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified;
}

} // namespace

std::string format_head(const http_response& response, std::optional<std::size_t> body_bytes,
                        bool closes) {
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
    if (body_bytes) {
        head += "Content-Length: " + std::to_string(*body_bytes) + "\r\n";
    }
    return head += "\r\n";
}

void server_connection::stream_deleter::operator()(bufferevent* owned) const noexcept {
    bufferevent_free(owned);
}

server_connection::server_connection(http_server& owner, int socket, std::string caller_ip)
    : server(owner), ip(std::move(caller_ip)),
      stream(bufferevent_socket_new(owner.owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE)) {
    if (owner.memory != nullptr) {
        this->address = &owner.memory->account().add_connection(this->ip);
        this->own_memory = this->make_share(memory_use::connection);
        // If there is no room, the limit of connections holds alone.
        static_cast<void>(this->own_memory.grow_to(connection_bytes));
        this->input_memory = this->make_share(memory_use::reading);
        this->output_memory = this->make_share(memory_use::sending);
    }
}

server_connection::~server_connection() {
    if (this->address != nullptr) {
        this->end_pause();
        this->input_memory.shrink_to(0);
        this->server.memory->account().remove_connection(*this->address);
    }
}

memory_share server_connection::make_share(memory_use use) const {
    if (this->address == nullptr) {
        return {};
    }
    const bool is_request = use == memory_use::reading;
    return {&this->server.memory->account(), use, is_request ? this->address : nullptr};
}

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
        this->discard_input();
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
            this->count_input();
            return;
        }
        this->take_request();
    }
    if (this->stream != nullptr) {
        this->count_input();
    }
}

/// Discards what the caller sends on a closing connection. A caller that does not stop is cut off.
void server_connection::discard_input() {
    evbuffer* input = bufferevent_get_input(this->stream.get());
    const std::size_t bytes = evbuffer_get_length(input);
    evbuffer_drain(input, bytes);
    this->discarded_bytes += bytes;
    if (this->discarded_bytes > this->server.limits.max_discarded_bytes) {
        this->close(*this->closing_reason, connection_end_manner::closed_by_server);
    }
}

std::size_t server_connection::unparsed_bytes() const {
    return evbuffer_get_length(bufferevent_get_input(this->stream.get())) +
           (this->parser == nullptr ? 0 : this->parser->body_bytes());
}

/// Counts what was received and does not run yet. Reads no more while there is no room for it; a
/// request of which nothing is counted yet is rejected instead.
void server_connection::count_input() {
    if (this->address == nullptr) {
        return;
    }
    const std::size_t bytes = this->unparsed_bytes();
    if (bytes == 0) {
        this->input_memory.shrink_to(0);
        return;
    }
    if (this->reading_paused || take_for_reading(this->input_memory, bytes)) {
        return;
    }
    if (this->input_memory.bytes() == 0 && !this->reading_stopped && !this->pending_request) {
        this->refuse_for_memory(this->parser == nullptr ? std::string()
                                                        : this->id_of(this->parser->partial()),
                                bytes, duration::zero());
        return;
    }
    this->pause_reading();
}

/// Rejects the request \p id, of which \p bytes were read, because there is no room for it.
void server_connection::refuse_for_memory(const std::string& id, std::size_t bytes,
                                          duration stalled) {
    this->server.decisions.record(pressure_decision::rejected);
    const error problem{error_kind::overloaded, "the memory is needed for other requests"};
    log_event(log_level::warning, "request_refused",
              {{"id", id},
               {"outcome", std::string(answer_for(problem.kind).name)},
               {"detail", problem.detail},
               {"caller", this->ip},
               {"memory_bytes", std::to_string(bytes)},
               {"stalled_ms", std::to_string(to_milliseconds(stalled))}});
    this->reject(problem);
}

void server_connection::pause_reading() {
    this->reading_paused = true;
    this->was_paused = true;
    this->receive_timer = timer();
    bufferevent_disable(this->stream.get(), EV_READ);
    this->server.memory->account().add_waiting(*this->address);
    this->server.memory->wait(*this);
    log_event(log_level::info, "request_reading_paused",
              {{"caller", this->ip}, {"bytes", std::to_string(this->unparsed_bytes())}});
}

bool server_connection::try_to_resume() {
    if (!take_for_reading(this->input_memory, this->unparsed_bytes())) {
        return false;
    }
    this->reading_paused = false;
    this->server.memory->account().remove_waiting(*this->address);
    this->last_part = boot_clock::now();
    if (this->parser != nullptr) {
        const http_server_limits& limits = this->server.limits;
        this->start_receive_timer(std::max(limits.idle_timeout, limits.header_timeout));
    }
    bufferevent_enable(this->stream.get(), EV_READ);
    return true;
}

void server_connection::end_pause() {
    if (!std::exchange(this->reading_paused, false)) {
        return;
    }
    this->server.memory->stop_waiting(*this);
    this->server.memory->account().remove_waiting(*this->address);
    if (this->stream != nullptr) {
        bufferevent_enable(this->stream.get(), EV_READ);
    }
}

/// Counts a complete request. Returns false if there is no room for it.
bool server_connection::count_request(http_request& message) {
    if (this->address == nullptr) {
        return true;
    }
    const std::size_t bytes = request_bytes + body_size(message.body.get());
    message.memory = std::exchange(this->input_memory, this->make_share(memory_use::reading));
    message.memory.shrink_to(bytes);
    message.memory.change_use(memory_use::running);
    return message.memory.grow_to(bytes);
}

std::optional<memory_holder> server_connection::rejectable(time_point now) const {
    if (this->output_memory.bytes() > 0) {
        return memory_holder{holder_state::sending, this->output_memory.bytes(),
                             this->output_progress.unchanged_for(now)};
    }
    const bool is_reading = this->parser != nullptr && this->input_memory.bytes() > 0;
    if (!is_reading || this->closing_reason) {
        return std::nullopt;
    }
    return memory_holder{this->reading_paused ? holder_state::paused : holder_state::reading,
                         this->input_memory.bytes(), now - this->last_part,
                         this->server.memory->account().is_over_its_part(*this->address)};
}

void server_connection::reject_for_memory(const memory_holder& holder) {
    const auto self = this->shared_from_this();
    if (holder.state != holder_state::sending) {
        this->refuse_for_memory(this->id_of(this->parser->partial()), holder.bytes, holder.stalled);
        return;
    }
    this->server.decisions.record(pressure_decision::closed_slow_reader);
    log_event(log_level::warning, "slow_reader_closed",
              {{"caller", this->ip},
               {"memory_bytes", std::to_string(holder.bytes)},
               {"stalled_ms", std::to_string(to_milliseconds(holder.stalled))}});
    this->close(connection_end_reason::memory_exhausted, connection_end_manner::closed_by_server);
}

void server_connection::note_taken_responses() {
    if (this->output_memory.bytes() == 0) {
        return;
    }
    this->output_memory.shrink_to(this->bytes_queued());
    this->output_progress.note(this->undelivered_bytes(), boot_clock::now());
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
        this->last_part = boot_clock::now();
        if (!this->reading_paused) {
            this->start_receive_timer(std::max(limits.idle_timeout, limits.header_timeout));
        }
        this->start_progress_timer();
        return;
    }
    this->last_part = boot_clock::now();
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

/// Rejects a body of which too little arrives, whatever the gap between two parts.
void server_connection::start_progress_timer() {
    const http_server_limits& limits = this->server.limits;
    if (limits.min_body_bytes == 0 || this->progress_timer) {
        return;
    }
    this->checked_body_bytes = 0;
    this->was_paused = this->reading_paused;
    this->progress_timer = this->server.owner.every(limits.body_progress_window,
                                                    [this] { this->check_body_progress(); });
}

void server_connection::check_body_progress() {
    const auto self = this->shared_from_this();
    const std::size_t bytes = this->parser == nullptr ? 0 : this->parser->body_bytes();
    const std::size_t arrived = bytes - std::exchange(this->checked_body_bytes, bytes);
    const bool was_held_up = std::exchange(this->was_paused, this->reading_paused);
    if (this->parser != nullptr && !was_held_up && arrived < this->server.limits.min_body_bytes) {
        this->reject({error_kind::request_timeout, "the body arrives too slowly"});
    }
}

void server_connection::take_request() {
    this->receive_timer = timer();
    this->progress_timer = timer();
    this->end_pause();
    this->sent_continue = false;
    const bool keeps_alive = this->parser->keeps_alive();
    http_request message = this->parser->take();
    this->parser.reset();
    if (!this->count_request(message)) {
        this->refuse_for_memory(this->id_of(message), body_size(message.body.get()),
                                duration::zero());
        return;
    }
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
    this->drop_partial_request();
    this->idle_timer = timer();
}

void server_connection::drop_partial_request() {
    this->parser.reset();
    this->receive_timer = timer();
    this->progress_timer = timer();
    this->end_pause();
    this->input_memory.shrink_to(0);
}

/// Queues an error response behind the earlier ones, then closes the connection.
void server_connection::reject(const error& problem) {
    this->drop_partial_request();
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
    const bool states_length = has_body(response.status) && !next.is_head;
    const std::string head = format_head(
        response, states_length ? std::optional(body_size(response.body.get())) : std::nullopt,
        closes);
    evbuffer* output = bufferevent_get_output(this->stream.get());
    const std::size_t bytes_before = evbuffer_get_length(output);
    evbuffer_add(output, head.data(), head.size());
    if (!next.is_head) {
        evbuffer_add_buffer(output, response.body.get());
    }
    this->count_output(std::move(response.memory));
    this->written_responses.add(std::move(next.id), evbuffer_get_length(output) - bytes_before);
    if (this->written_responses.size() > max_remembered_responses) {
        this->written_responses.forget_delivered(this->undelivered_bytes());
    }
}

/// Counts what was written; what target responses were counted for moves over.
void server_connection::count_output(memory_share&& response_memory) {
    if (this->address == nullptr) {
        return;
    }
    if (this->output_memory.bytes() == 0) {
        this->output_progress.restart(this->undelivered_bytes(), boot_clock::now());
    }
    this->output_memory.absorb(std::move(response_memory));
    // The instance's own responses are small; they are written even if there is no room.
    static_cast<void>(this->output_memory.grow_to(this->bytes_queued()));
}

void server_connection::start_closing(connection_end_reason reason) {
    if (this->closing_reason) {
        return;
    }
    this->closing_reason = reason;
    this->reading_stopped = true;
    this->drop_partial_request();
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
    this->output_memory.shrink_to(0);
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
    this->server.move_to_end(*this);
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
    this->drop_partial_request();
    this->output_memory.shrink_to(0);
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
