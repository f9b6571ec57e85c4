#include "event/http_server.h"

#include <array>
#include <numeric>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <event2/listener.h>

#include "caller_session.h"
#include "event/socket_address.h"
#include "event/uri.h"

namespace knapweedknot {

namespace {

// Callers may all connect in the same moment; a full queue costs them a second.
constexpr int listen_backlog = 1024;

std::string ip_of(const sockaddr* address) {
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto* name = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &name->sin_addr, text.data(), text.size());
    return text.data();
}

http_answer status_only(const error& problem) {
    http_answer answer;
    answer.status = answer_for(problem.kind).http_status;
    answer.body = make_body(problem.detail + '\n');
    return answer;
}

} // namespace

incoming_request::incoming_request(detail::caller_session& owner, http_request&& received)
    : session(&owner), message(std::move(received)), caller(owner.caller_ip()),
      arrival(boot_clock::now()) {}

incoming_request::~incoming_request() {
    if (this->session != nullptr) {
        // Nobody will answer: closing is the only truthful thing left to do.
        this->gone_callback = nullptr;
        const auto kept = this->session->shared_from_this();
        kept->close();
    }
}

std::string_view incoming_request::path() const noexcept {
    return path_of(this->message.uri);
}

std::string_view incoming_request::query() const noexcept {
    const std::string_view whole(this->message.uri);
    const std::size_t mark = whole.find('?');
    return mark == std::string_view::npos ? std::string_view() : whole.substr(mark + 1);
}

std::string incoming_request::query_value(const std::string& name) const {
    return query_parameter(this->query(), name);
}

std::string_view incoming_request::header(std::string_view name) const {
    const std::string* value = find_header(this->message.headers, name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

void incoming_request::answer(http_answer&& answer) {
    if (this->session == nullptr) {
        return;
    }
    detail::caller_session& answered = *std::exchange(this->session, nullptr);
    this->gone_callback = nullptr;
    answered.answer(*this, std::move(answer));
}

void incoming_request::on_caller_gone(std::function<void()> callback) {
    this->gone_callback = std::move(callback);
}

void incoming_request::caller_closed() {
    this->session = nullptr;
    if (this->gone_callback) {
        // The callback may drop the last reference to this request.
        const std::function<void()> callback = std::move(this->gone_callback);
        callback();
    }
}

http_server::http_server(loop& event_loop, const http_server_limits& server_limits,
                         handler request_handler)
    : make_refusal(&status_only), owner(event_loop), limits(server_limits),
      on_request(std::move(request_handler)), listener(nullptr, &evconnlistener_free) {}

http_server::~http_server() {
    for (const auto& session : std::list(this->sessions)) {
        session->close();
    }
}

result<void> http_server::listen(const endpoint& address) {
    const sockaddr_in name = to_socket_address(address);
    this->listener.reset(evconnlistener_new_bind(
        this->owner.handle(), &http_server::accepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
        reinterpret_cast<const sockaddr*>(&name), sizeof name));
    if (this->listener == nullptr) {
        return fail(error_kind::internal, "cannot listen on " + to_string(address));
    }
    return {};
}

void http_server::accepted(evconnlistener* /*unused*/, int socket, sockaddr* address,
                           int /*unused*/, void* argument) {
    auto* self = static_cast<http_server*>(argument);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto session = std::make_shared<detail::caller_session>(*self, socket, ip_of(address));
    session->place = self->sessions.insert(self->sessions.end(), session);
    session->start();
}

void http_server::remove(detail::caller_session& session) {
    this->sessions.erase(session.place);
}

void http_server::stop_listening() {
    this->listener.reset();
}

void http_server::close_idle_connections() {
    for (const auto& session : std::list(this->sessions)) {
        if (session->is_idle()) {
            session->close();
        }
    }
}

std::size_t http_server::bytes_queued() const {
    return std::accumulate(
        this->sessions.begin(), this->sessions.end(), std::size_t{0},
        [](std::size_t sum, const auto& session) { return sum + session->bytes_queued(); });
}

bool http_server::is_writing() const {
    return this->bytes_queued() > 0;
}

} // namespace knapweedknot
