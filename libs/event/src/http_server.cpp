#include "event/http_server.h"

#include <cassert>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "event/http_methods.h"

namespace knapweedknot {

namespace {

// Bytes read ahead from a caller while its request runs.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;

void event_while_running(bufferevent* /*unused*/, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        evhttp_connection_free(static_cast<evhttp_connection*>(argument));
    }
}

std::string peer_address(evhttp_connection* connection) {
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(connection, &address, &port);
    return address == nullptr ? std::string() : std::string(address);
}

} // namespace

incoming_request::incoming_request(http_server& owner, evhttp_request* incoming)
    : server(owner), request(incoming), method_text(to_text(evhttp_request_get_command(incoming))),
      uri_text(evhttp_request_get_uri(incoming)), caller(peer_address(incoming->evcon)) {
    for (const evkeyval* header = incoming->input_headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        this->header_list.push_back({header->key, header->value});
    }
    ++this->server.running;
    this->watch_caller();
}

incoming_request::~incoming_request() {
    if (this->request != nullptr && !this->answered) {
        // Nobody will answer: closing is the only truthful thing left to do.
        this->gone_callback = nullptr;
        evhttp_connection_free(this->request->evcon);
    }
}

void incoming_request::watch_caller() {
    evhttp_connection* connection = this->request->evcon;
    this->server.connections[connection] = this;
    evhttp_connection_set_closecb(connection, &http_server::connection_closed, &this->server);
    // evhttp stops reading while a request runs and would not notice a caller that goes away.
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_setcb(stream, nullptr, nullptr, &event_while_running, connection);
    bufferevent_setwatermark(stream, EV_READ, 0, max_read_ahead_bytes);
    bufferevent_enable(stream, EV_READ);
}

std::string_view incoming_request::path() const noexcept {
    const std::string_view whole(this->uri_text);
    return whole.substr(0, whole.find_first_of("?#"));
}

std::string_view incoming_request::query() const noexcept {
    const std::string_view whole(this->uri_text);
    const std::size_t mark = whole.find('?');
    return mark == std::string_view::npos ? std::string_view() : whole.substr(mark + 1);
}

std::string incoming_request::query_value(const std::string& name) const {
    evkeyvalq values{};
    const std::string text(this->query());
    if (evhttp_parse_query_str(text.c_str(), &values) != 0) {
        return {};
    }
    const char* found = evhttp_find_header(&values, name.c_str());
    std::string value = found == nullptr ? "" : found;
    evhttp_clear_headers(&values);
    return value;
}

std::string_view incoming_request::header(std::string_view name) const {
    const std::string* value = find_header(this->header_list, name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

evbuffer* incoming_request::body() const {
    assert(this->request != nullptr && !this->answered);
    return this->request->input_buffer;
}

void incoming_request::answer(http_answer&& answer) {
    if (this->request == nullptr) {
        return;
    }
    assert(!this->answered);
    this->answered = true;
    --this->server.running;
    evhttp_connection* connection = this->request->evcon;
    this->server.connections[connection] = nullptr;
    if (bufferevent* stream = evhttp_connection_get_bufferevent(connection); stream != nullptr) {
        bufferevent_setwatermark(stream, EV_READ, 0, 0);
    }
    evkeyvalq* headers = this->request->output_headers;
    for (const auto& [name, value] : answer.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (this->server.closing) {
        evhttp_remove_header(headers, "Connection");
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_request* finished = std::exchange(this->request, nullptr);
    evhttp_send_reply(finished, answer.status, nullptr, answer.body.get());
}

void incoming_request::on_caller_gone(std::function<void()> callback) {
    this->gone_callback = std::move(callback);
}

void incoming_request::caller_closed() {
    this->request = nullptr;
    --this->server.running;
    if (this->gone_callback) {
        // The callback may drop the last reference to this request.
        const std::function<void()> callback = std::move(this->gone_callback);
        callback();
    }
}

http_server::http_server(loop& owner, const http_server_limits& limits, handler request_handler)
    : http(evhttp_new(owner.handle()), &evhttp_free), on_request(std::move(request_handler)) {
    evhttp_set_max_headers_size(this->http.get(), static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(this->http.get(), static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_set_timeout(this->http.get(), static_cast<int>(to_seconds(limits.idle_timeout)));
    evhttp_set_allowed_methods(this->http.get(), served_methods());
    evhttp_set_default_content_type(this->http.get(), nullptr);
    evhttp_set_gencb(this->http.get(), &http_server::accept_request, this);
}

http_server::~http_server() {
    for (auto& [connection, request] : this->connections) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        if (request != nullptr) {
            request->request = nullptr;
        }
    }
}

result<void> http_server::listen(const endpoint& address) {
    this->listener =
        evhttp_bind_socket_with_handle(this->http.get(), address.ip.c_str(), address.port);
    if (this->listener == nullptr) {
        return fail(error_kind::internal, "cannot listen on " + to_string(address));
    }
    return {};
}

void http_server::stop_listening() {
    if (this->listener != nullptr) {
        evhttp_del_accept_socket(this->http.get(), this->listener);
        this->listener = nullptr;
    }
}

void http_server::close_idle_connections() {
    std::vector<evhttp_connection*> idle;
    for (const auto& [connection, request] : this->connections) {
        bufferevent* stream = evhttp_connection_get_bufferevent(connection);
        if (request == nullptr && evbuffer_get_length(bufferevent_get_output(stream)) == 0 &&
            evbuffer_get_length(bufferevent_get_input(stream)) == 0) {
            idle.push_back(connection);
        }
    }
    for (evhttp_connection* connection : idle) {
        evhttp_connection_free(connection);
    }
}

bool http_server::is_writing() const {
    for (const auto& [connection, request] : this->connections) {
        bufferevent* stream = evhttp_connection_get_bufferevent(connection);
        if (evbuffer_get_length(bufferevent_get_output(stream)) > 0) {
            return true;
        }
    }
    return false;
}

void http_server::accept_request(evhttp_request* request, void* argument) {
    auto* self = static_cast<http_server*>(argument);
    self->on_request(std::make_shared<incoming_request>(*self, request));
}

void http_server::connection_closed(evhttp_connection* connection, void* argument) {
    auto* self = static_cast<http_server*>(argument);
    const auto found = self->connections.find(connection);
    if (found == self->connections.end()) {
        return;
    }
    incoming_request* request = found->second;
    self->connections.erase(found);
    if (request != nullptr) {
        request->caller_closed();
    }
}

} // namespace knapweedknot
