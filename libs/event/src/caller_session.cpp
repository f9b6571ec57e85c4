#include "caller_session.h"

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

// Bytes read ahead from a caller while its requests run.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
// How long a caller may take to close its end after the last answer. Closing before it has read
// everything would reset the connection and could destroy the answer on its way.
constexpr duration end_limit = seconds(2);

bool has_body(int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified;
}

bool asks_to_close(const http_headers& headers) {
    const std::string* value = find_header(headers, "Connection");
    return value != nullptr && equal_ignoring_case(*value, "close");
}

} // namespace

void caller_session::stream_deleter::operator()(bufferevent* owned) const noexcept {
    bufferevent_free(owned);
}

caller_session::caller_session(http_server& owner, int socket, std::string caller_ip)
    : server(owner), ip(std::move(caller_ip)),
      stream(bufferevent_socket_new(owner.owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE)) {}

caller_session::~caller_session() = default;

void caller_session::start() {
    bufferevent_setcb(
        this->stream.get(),
        [](bufferevent* /*unused*/, void* argument) {
            const auto self = static_cast<caller_session*>(argument)->shared_from_this();
            self->read_requests();
        },
        [](bufferevent* /*unused*/, void* argument) {
            const auto self = static_cast<caller_session*>(argument)->shared_from_this();
            self->finish_output();
        },
        [](bufferevent* /*unused*/, short what, void* argument) {
            const auto self = static_cast<caller_session*>(argument)->shared_from_this();
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                self->close();
            }
        },
        this);
    bufferevent_setwatermark(this->stream.get(), EV_READ, 0, max_read_ahead_bytes);
    bufferevent_enable(this->stream.get(), EV_READ | EV_WRITE);
    this->restart_idle_timer();
}

parse_limits caller_session::sizes() const {
    return {this->server.limits.max_header_bytes, this->server.limits.max_body_bytes};
}

bool caller_session::may_read_more() const {
    return !this->reads_no_more && !this->held &&
           this->exchanges.size() < this->server.limits.max_overlapping;
}

void caller_session::read_requests() {
    evbuffer* input = bufferevent_get_input(this->stream.get());
    if (this->ending) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (this->stream != nullptr && this->may_read_more() && evbuffer_get_length(input) > 0) {
        this->idle_timer = timer();
        if (this->parser == nullptr) {
            this->parser = std::make_unique<request_parser>(this->sizes());
        }
        if (const auto parsed = this->parser->consume(input); !parsed) {
            this->refuse(parsed.error());
            return;
        }
        if (this->parser->state() != parse_state::done) {
            this->watch_head();
            return;
        }
        this->take_request();
    }
}

/// Watches the time that the head of a request may take, and answers "Expect: 100-continue".
void caller_session::watch_head() {
    if (this->parser->state() == parse_state::in_body) {
        this->head_timer = timer();
        if (this->parser->expects_continue() && !this->promised_continue) {
            this->promised_continue = true;
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            bufferevent_write(this->stream.get(), interim.data(), interim.size());
        }
        this->restart_idle_timer();
        return;
    }
    if (!this->head_timer) {
        this->head_timer = this->server.owner.after(this->server.limits.header_timeout,
                                                    [this] { this->head_timed_out(); });
    }
}

void caller_session::head_timed_out() {
    const auto self = this->shared_from_this();
    this->refuse({error_kind::request_timeout, "the head of the request took too long"});
}

void caller_session::take_request() {
    this->head_timer = timer();
    this->promised_continue = false;
    const bool keeps_alive = this->parser->keeps_alive();
    http_request message = this->parser->take();
    this->parser.reset();
    if (!this->exchanges.empty() &&
        (!this->server.may_overlap || !this->server.may_overlap(message))) {
        this->held = std::move(message);
        this->held_keeps_alive = keeps_alive;
        return;
    }
    this->start_request(std::move(message), keeps_alive);
}

void caller_session::start_request(http_request&& message, bool keeps_alive) {
    this->reads_no_more = this->reads_no_more || !keeps_alive;
    const bool is_head = message.method == "HEAD";
    auto request = std::make_shared<incoming_request>(*this, std::move(message));
    this->exchanges.push_back({request.get(), is_head, !keeps_alive, std::nullopt});
    ++this->server.running;
    this->server.on_request(std::move(request));
}

/// Answers a request that cannot be read, after the earlier ones, and ends the connection.
void caller_session::refuse(const error& problem) {
    this->head_timer = timer();
    this->parser.reset();
    this->reads_no_more = true;
    exchange refused;
    refused.closes = true;
    refused.answer = this->server.make_refusal(problem);
    this->exchanges.push_back(std::move(refused));
    this->flush_answers();
}

void caller_session::answer(incoming_request& request, http_answer&& answer) {
    const auto self = this->shared_from_this();
    const auto found =
        std::find_if(this->exchanges.begin(), this->exchanges.end(),
                     [&request](const exchange& item) { return item.request == &request; });
    if (found == this->exchanges.end()) {
        return;
    }
    --this->server.running;
    found->request = nullptr;
    found->answer = std::move(answer);
    this->flush_answers();
}

/// Writes the answers whose turn has come.
void caller_session::flush_answers() {
    while (!this->exchanges.empty() && this->exchanges.front().answer) {
        exchange next = std::move(this->exchanges.front());
        this->exchanges.pop_front();
        const bool is_last = this->exchanges.empty() && !this->held;
        // Requests that already run behind this one must still get their answers.
        const bool closes =
            is_last && (next.closes || this->server.closing || asks_to_close(next.answer->headers));
        this->write(*next.answer, next.is_head, closes);
        if (closes) {
            this->await_caller_close();
            return;
        }
    }
    if (this->held && this->exchanges.empty()) {
        http_request message = std::move(*this->held);
        this->held.reset();
        this->start_request(std::move(message), this->held_keeps_alive);
    }
    if (this->stream != nullptr && this->exchanges.empty()) {
        this->restart_idle_timer();
    }
    if (this->stream != nullptr) {
        this->read_requests();
    }
}

void caller_session::write(http_answer& answer, bool is_head, bool closes) {
    std::string head =
        "HTTP/1.1 " + std::to_string(answer.status) + ' ' + reason_phrase(answer.status) + "\r\n";
    for (const auto& [name, value] : answer.headers) {
        if (!equal_ignoring_case(name, "Connection")) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }
    if (closes) {
        head += "Connection: close\r\n";
    }
    if (has_body(answer.status) && !is_head) {
        head += "Content-Length: " + std::to_string(body_size(answer.body.get())) + "\r\n";
    }
    head += "\r\n";
    evbuffer* output = bufferevent_get_output(this->stream.get());
    evbuffer_add(output, head.data(), head.size());
    if (!is_head) {
        evbuffer_add_buffer(output, answer.body.get());
    }
}

/// Stops reading requests; the connection ends when the answers are written.
void caller_session::await_caller_close() {
    this->ending = true;
    this->reads_no_more = true;
    this->idle_timer = timer();
    this->end_timer = this->server.owner.after(end_limit, [this] {
        const auto self = this->shared_from_this();
        this->close();
    });
    evbuffer* input = bufferevent_get_input(this->stream.get());
    evbuffer_drain(input, evbuffer_get_length(input));
}

void caller_session::finish_output() {
    if (this->ending && !this->is_writing()) {
        shutdown(bufferevent_getfd(this->stream.get()), SHUT_WR);
    }
}

void caller_session::restart_idle_timer() {
    if (this->ending) {
        return;
    }
    this->idle_timer = this->server.owner.after(this->server.limits.idle_timeout, [this] {
        const auto self = this->shared_from_this();
        this->close();
    });
}

void caller_session::close() {
    if (this->stream == nullptr) {
        return;
    }
    this->stream.reset();
    this->head_timer = timer();
    this->idle_timer = timer();
    this->end_timer = timer();
    std::deque<exchange> abandoned = std::move(this->exchanges);
    this->exchanges.clear();
    this->server.remove(*this);
    for (const exchange& item : abandoned) {
        if (item.request != nullptr) {
            --this->server.running;
            item.request->caller_closed();
        }
    }
}

std::size_t caller_session::bytes_queued() const {
    return evbuffer_get_length(bufferevent_get_output(this->stream.get()));
}

bool caller_session::is_idle() const {
    return this->exchanges.empty() && this->parser == nullptr && !this->is_writing() &&
           evbuffer_get_length(bufferevent_get_input(this->stream.get())) == 0;
}

} // namespace knapweedknot::detail
