#include "event/http_client.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "event/socket_address.h"
#include "http_parser.h"

namespace knapweedknot {

namespace {

// A peer may close at its idle timeout while the next request is on its way.
constexpr duration idle_margin = milliseconds(500);
constexpr duration unlimited_idle_time = std::chrono::hours(24);

/// Idle timeout that the peer names in "Keep-Alive: timeout=SECONDS".
duration announced_idle_time(const http_headers& headers) {
    constexpr std::string_view parameter = "timeout=";
    const std::string* value = find_header(headers, "Keep-Alive");
    const std::size_t place = value == nullptr ? std::string::npos : value->find(parameter);
    if (place == std::string::npos) {
        return unlimited_idle_time;
    }
    long long timeout_s = 0;
    const char* first = value->data() + place + parameter.size();
    const auto parsed = std::from_chars(first, value->data() + value->size(), timeout_s);
    return parsed.ec == std::errc() ? duration(seconds(timeout_s)) : unlimited_idle_time;
}

bool has_length(std::string_view method, std::size_t body_bytes) {
    return body_bytes > 0 || method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

/// State of one running request.
struct http_connection::exchange {
    handler done;
    detail::answer_parser parser;
    /// Value that the answer must repeat in limits.echoed_header; empty for no check.
    std::string echo;
    /// Bytes of the request that had been queued.
    std::size_t request_bytes{0};
    bool skipped_answer{false};
    timer deadline;
    timer connect_deadline;
};

void http_connection::stream_deleter::operator()(bufferevent* owned) const noexcept {
    bufferevent_free(owned);
}

http_connection::http_connection(loop& event_loop, const endpoint& target_address,
                                 const http_client_limits& size_limits, const std::string& local_ip)
    : owner(event_loop), address(target_address), limits(size_limits), source_ip(local_ip) {}

http_connection::~http_connection() = default;

bool http_connection::is_reusable() const noexcept {
    return this->stream != nullptr && this->connected && this->in_order && !this->is_busy() &&
           boot_clock::now() < this->reusable_until;
}

void http_connection::send(const http_request& request, duration timeout, handler done) {
    assert(this->running == nullptr);
    const bool reuse = this->is_reusable();
    this->start_exchange(request, timeout, std::move(done));
    if (!reuse && !this->open()) {
        this->running->deadline = this->owner.after(duration::zero(), [this] {
            this->fail_exchange(error_kind::connect_failed, "cannot start a connection");
        });
        return;
    }
    this->write_request(request);
}

void http_connection::start_exchange(const http_request& request, duration timeout, handler done) {
    const detail::parse_limits sizes{this->limits.max_header_bytes, this->limits.max_body_bytes};
    this->running.reset(new exchange{
        std::move(done), {sizes, request.method == "HEAD"}, {}, 0, false, timer(), timer()});
    if (!this->limits.echoed_header.empty()) {
        const std::string* value = find_header(request.headers, this->limits.echoed_header);
        this->running->echo = value == nullptr ? std::string() : *value;
    }
    this->in_order = false;
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
    this->connected = false;
    this->stream.reset();
    const int socket = make_tcp_socket(this->source_ip);
    if (socket < 0) {
        return false;
    }
    this->stream.reset(bufferevent_socket_new(this->owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        this->stream.get(),
        [](bufferevent* /*unused*/, void* self) {
            static_cast<http_connection*>(self)->read_answer();
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

void http_connection::write_request(const http_request& request) {
    evbuffer* output = bufferevent_get_output(this->stream.get());
    std::string head = request.method + ' ' + request.uri + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (find_header(request.headers, "Host") == nullptr) {
        head.append("Host: ").append(to_string(this->address)).append("\r\n");
    }
    const std::size_t body_bytes = body_size(request.body.get());
    if (has_length(request.method, body_bytes)) {
        head.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
    }
    head += "\r\n";
    evbuffer_add(output, head.data(), head.size());
    append_copy(output, request.body.get());
    this->running->request_bytes = head.size() + body_bytes;
}

void http_connection::cancel() {
    if (this->running != nullptr) {
        this->running.reset();
        this->stream.reset();
        this->connected = false;
    }
}

/// True when no byte of the running request has left this process.
bool http_connection::sent_nothing() const {
    if (!this->connected || this->stream == nullptr) {
        return true;
    }
    return evbuffer_get_length(bufferevent_get_output(this->stream.get())) ==
           this->running->request_bytes;
}

void http_connection::handle_event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        this->connected = true;
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    this->handle_end((what & BEV_EVENT_EOF) != 0);
}

void http_connection::handle_end(bool closed_in_order) {
    if (this->running == nullptr) {
        this->stream.reset();
        this->connected = false;
        return;
    }
    if (!this->connected) {
        this->fail_exchange(error_kind::connect_failed, "cannot connect");
        return;
    }
    const bool ends_body = this->running->parser.ends_with_connection();
    if (closed_in_order && this->limits.accept_close_delimited && ends_body &&
        this->running->parser.end_of_stream()) {
        this->accept_parsed();
        return;
    }
    if (this->running->parser.state() == detail::parse_state::empty) {
        this->fail_exchange(closed_in_order ? error_kind::answer_truncated
                                            : error_kind::target_failed,
                            "connection ended without an answer");
        return;
    }
    this->fail_exchange(error_kind::answer_truncated, "connection ended within the answer");
}

void http_connection::read_answer() {
    if (this->running == nullptr) {
        // Bytes that belong to no request: nothing on this connection can be trusted any more.
        this->stream.reset();
        this->connected = false;
        return;
    }
    evbuffer* input = bufferevent_get_input(this->stream.get());
    if (const auto parsed = this->running->parser.consume(input); !parsed) {
        this->fail_exchange(parsed.error().kind, parsed.error().detail);
        return;
    }
    if (this->running->parser.state() == detail::parse_state::done) {
        this->accept_parsed();
    }
}

bool http_connection::is_own_answer(const http_answer& answer) const {
    if (this->running->echo.empty()) {
        return true;
    }
    const std::string* echoed = find_header(answer.headers, this->limits.echoed_header);
    return echoed == nullptr || *echoed == this->running->echo;
}

/// Takes the answer that the parser holds, or skips it when it belongs to another request.
void http_connection::accept_parsed() {
    const bool keeps_alive =
        this->running->parser.keeps_alive() && !this->running->parser.ends_with_connection();
    http_answer answer = this->running->parser.take();
    if (!this->is_own_answer(answer)) {
        this->running->skipped_answer = true;
        this->running->parser.restart();
        this->read_answer();
        return;
    }
    const bool request_is_out =
        evbuffer_get_length(bufferevent_get_output(this->stream.get())) == 0;
    const bool input_is_empty = evbuffer_get_length(bufferevent_get_input(this->stream.get())) == 0;
    this->in_order =
        keeps_alive && request_is_out && input_is_empty && !this->running->skipped_answer;
    this->reusable_until = boot_clock::now() + announced_idle_time(answer.headers) - idle_margin;
    this->finish(std::move(answer));
}

void http_connection::time_out() {
    if (this->connected) {
        this->fail_exchange(error_kind::deadline_exceeded, "no answer in time");
    } else {
        this->fail_exchange(error_kind::connect_failed, "no connection in time");
    }
}

void http_connection::fail_exchange(error_kind kind, std::string detail) {
    const send_progress progress =
        this->sent_nothing() ? send_progress::not_connected : send_progress::may_be_sent;
    this->stream.reset();
    this->connected = false;
    this->finish(tl::unexpected(http_failure{error{kind, std::move(detail)}, progress}));
}

void http_connection::finish(http_outcome outcome) {
    const std::unique_ptr<exchange> finished = std::move(this->running);
    this->ended = boot_clock::now();
    if (!this->in_order) {
        this->stream.reset();
        this->connected = false;
    }
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
