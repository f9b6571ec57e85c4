#include "event/http_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "event/http_methods.h"
#include "interim_answer_filter.h"

namespace knapweedknot {

/// State of one running request.
struct http_connection::exchange {
    http_connection* connection{nullptr};
    evhttp_request* request{nullptr};
    handler done;
    timer deadline;
    timer connect_deadline;
    int library_error{-1};

    /// Called by libevent before complete when an exchange failed after it was connected.
    static void note_error(evhttp_request_error code, void* argument) {
        static_cast<exchange*>(argument)->library_error = static_cast<int>(code);
    }

    /// Called by libevent when the exchange has ended, but not after evhttp_cancel_request.
    static void complete(evhttp_request* finished, void* argument) {
        auto* self = static_cast<exchange*>(argument);
        self->request = nullptr;
        self->connection->finish(self->connection->outcome_of(finished));
    }
};

namespace {

constexpr int lowest_final_status = 200;

http_outcome failure(error_kind kind, std::string detail, send_progress progress) {
    return tl::unexpected(http_failure{error{kind, std::move(detail)}, progress});
}

/// True when the length of the answer is known, so that a cut can be told from its end.
bool has_checked_length(const evhttp_request* finished, evhttp_cmd_type method) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (method == EVHTTP_REQ_HEAD || finished->response_code == no_content ||
        finished->response_code == not_modified) {
        return true;
    }
    const char* coding = evhttp_find_header(finished->input_headers, "Transfer-Encoding");
    return evhttp_find_header(finished->input_headers, "Content-Length") != nullptr ||
           (coding != nullptr && equal_ignoring_case(coding, "chunked"));
}

http_answer take_answer(evhttp_request* finished) {
    http_answer answer;
    answer.status = finished->response_code;
    for (const evkeyval* header = finished->input_headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        answer.headers.push_back({header->key, header->value});
    }
    evbuffer_add_buffer(answer.body.get(), finished->input_buffer);
    return answer;
}

bool closes_connection(const http_answer& answer) {
    const std::string* value = find_header(answer.headers, "Connection");
    return value != nullptr && equal_ignoring_case(*value, "close");
}

http_outcome failure_of(int library_error) {
    constexpr auto sent = send_progress::may_be_sent;
    switch (library_error) {
    case EVREQ_HTTP_EOF:
        return failure(error_kind::answer_truncated, "connection closed before the end", sent);
    case EVREQ_HTTP_DATA_TOO_LONG:
        return failure(error_kind::answer_too_large, "answer over the size limit", sent);
    case EVREQ_HTTP_INVALID_HEADER:
        return failure(error_kind::target_failed, "malformed answer", sent);
    default:
        return failure(error_kind::target_failed, "connection failed", sent);
    }
}

} // namespace

http_connection::http_connection(loop& event_loop, const endpoint& address,
                                 const http_client_limits& size_limits,
                                 const std::string& source_ip)
    : owner(event_loop), limits(size_limits),
      connection(evhttp_connection_base_new(event_loop.handle(), nullptr, address.ip.c_str(),
                                            address.port)) {
    evhttp_connection_set_max_headers_size(this->connection,
                                           static_cast<ev_ssize_t>(this->limits.max_header_bytes));
    evhttp_connection_set_max_body_size(this->connection,
                                        static_cast<ev_ssize_t>(this->limits.max_body_bytes));
    evhttp_connection_set_retries(this->connection, 0);
    bufferevent* stream = evhttp_connection_get_bufferevent(this->connection);
    this->filter = std::make_unique<interim_answer_filter>(bufferevent_get_input(stream),
                                                           this->limits.max_header_bytes);
    if (!source_ip.empty()) {
        evhttp_connection_set_local_address(this->connection, source_ip.c_str());
    }
}

http_connection::~http_connection() {
    this->cancel();
    // libevent may be inside a callback of this connection.
    this->owner.post([freed = this->connection,
                      watching = std::shared_ptr<interim_answer_filter>(std::move(this->filter))] {
        evhttp_connection_free(freed);
    });
}

void http_connection::send(const http_request& request, duration timeout, handler done) {
    assert(this->running == nullptr);
    this->running = std::make_unique<exchange>();
    this->running->connection = this;
    this->running->done = std::move(done);
    this->reusable = false;
    this->filter->expect_head();
    evhttp_request* sent = evhttp_request_new(&exchange::complete, this->running.get());
    evhttp_request_set_error_cb(sent, &exchange::note_error);
    for (const auto& [name, value] : request.headers) {
        evhttp_add_header(sent->output_headers, name.c_str(), value.c_str());
    }
    append_copy(sent->output_buffer, request.body.get());
    // evhttp adds a length for POST and PUT only.
    if (const std::size_t size = body_size(request.body.get()); size > 0) {
        evhttp_add_header(sent->output_headers, "Content-Length", std::to_string(size).c_str());
    }
    this->running->request = sent;
    this->running->deadline = this->owner.after(timeout, [this] { this->time_out(); });
    if (this->limits.connect_timeout < timeout) {
        this->running->connect_deadline = this->owner.after(this->limits.connect_timeout, [this] {
            if (!this->is_connected()) {
                this->time_out();
            }
        });
    }
    const auto method = to_evhttp_method(request.method);
    assert(method.has_value());
    if (evhttp_make_request(this->connection, sent, *method, request.uri.c_str()) != 0) {
        // libevent has freed the request; report from the loop, as for every other outcome.
        this->running->request = nullptr;
        this->running->deadline = this->owner.after(duration::zero(), [this] {
            this->finish(failure(error_kind::connect_failed, "cannot start a connection",
                                 send_progress::not_connected));
        });
    }
}

void http_connection::cancel() {
    if (this->running == nullptr) {
        return;
    }
    const std::unique_ptr<exchange> abandoned = std::move(this->running);
    if (abandoned->request != nullptr) {
        evhttp_cancel_request(abandoned->request);
    }
}

bool http_connection::is_connected() const {
    bufferevent* stream = evhttp_connection_get_bufferevent(this->connection);
    const evutil_socket_t socket = bufferevent_getfd(stream);
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    return socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

void http_connection::time_out() {
    const bool connected = this->is_connected();
    if (evhttp_request* cancelled = std::exchange(this->running->request, nullptr);
        cancelled != nullptr) {
        evhttp_cancel_request(cancelled);
    }
    if (connected) {
        this->finish(failure(error_kind::deadline_exceeded, "no answer in time",
                             send_progress::may_be_sent));
    } else {
        this->finish(failure(error_kind::connect_failed, "no connection in time",
                             send_progress::not_connected));
    }
}

http_outcome http_connection::outcome_of(evhttp_request* finished) const {
    if (this->running->library_error >= 0 || finished == nullptr) {
        return failure_of(this->running->library_error);
    }
    if (finished->response_code == 0) {
        return failure(error_kind::connect_failed, "cannot connect", send_progress::not_connected);
    }
    if (finished->response_code < lowest_final_status) {
        return failure(error_kind::target_failed, "unexpected interim answer",
                       send_progress::may_be_sent);
    }
    if (!has_checked_length(finished, finished->type)) {
        return failure(error_kind::answer_truncated, "answer without a length",
                       send_progress::may_be_sent);
    }
    return take_answer(finished);
}

void http_connection::finish(http_outcome outcome) {
    const std::unique_ptr<exchange> ended = std::move(this->running);
    this->reusable = outcome.has_value() && !closes_connection(*outcome);
    ended->done(std::move(outcome));
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
