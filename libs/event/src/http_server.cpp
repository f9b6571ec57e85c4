#include "event/http_server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <numeric>
#include <system_error>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <event2/listener.h>

#include "base/log.h"
#include "event/socket_address.h"
#include "event/uri.h"
#include "server_connection.h"

namespace knapweedknot {

namespace {

// Many callers may connect at once; with a full queue a caller retries its SYN only after 1 s.
constexpr int listen_backlog = 1024;

// Bytes that the kernel takes ahead of what it can send. A larger part of the responses stays in
// the process, where it holds back further requests of the connection.
constexpr int max_unsent_bytes_in_kernel = 64 * 1024;

// From this share of the connections that may be open on, idle ones are closed for new ones.
constexpr std::size_t many_connections_percent = 75;
constexpr std::size_t percent = 100;

std::string ip_of(const sockaddr* address) {
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto* name = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &name->sin_addr, text.data(), text.size());
    return text.data();
}

http_response make_status_response(const error& problem) {
    http_response response;
    response.status = answer_for(problem.kind).http_status;
    response.body = make_body(problem.detail + '\n');
    return response;
}

} // namespace

incoming_request::incoming_request(detail::server_connection& owner, http_request&& received)
    : connection(&owner), message(std::move(received)), caller(owner.caller_ip()),
      arrival(boot_clock::now()) {}

incoming_request::~incoming_request() {
    if (this->connection != nullptr) {
        // No response will follow; closing the connection tells the caller so.
        this->disconnect_callback = nullptr;
        const auto kept = this->connection->shared_from_this();
        kept->close(connection_end_reason::request_dropped,
                    connection_end_manner::closed_by_server);
    }
}

std::string_view incoming_request::path() const noexcept {
    return path_of(this->message.uri);
}

std::string_view incoming_request::query() const noexcept {
    const std::string_view request_uri(this->message.uri);
    const std::size_t question_mark = request_uri.find('?');
    return question_mark == std::string_view::npos ? std::string_view()
                                                   : request_uri.substr(question_mark + 1);
}

std::string incoming_request::query_value(const std::string& name) const {
    return query_parameter(this->query(), name);
}

std::string_view incoming_request::header(std::string_view name) const {
    const std::string* value = find_header(this->message.headers, name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

void incoming_request::respond(http_response&& response) {
    if (this->connection == nullptr) {
        return;
    }
    detail::server_connection& connection = *std::exchange(this->connection, nullptr);
    this->disconnect_callback = nullptr;
    connection.send_response(*this, std::move(response));
}

void incoming_request::on_caller_disconnect(std::function<void()> callback) {
    this->disconnect_callback = std::move(callback);
}

std::function<void()> incoming_request::detach() {
    this->connection = nullptr;
    return std::exchange(this->disconnect_callback, nullptr);
}

http_server::http_server(loop& event_loop, const http_server_limits& server_limits,
                         handler request_handler)
    : make_error_response(&make_status_response), owner(event_loop), limits(server_limits),
      on_request(std::move(request_handler)), listener(nullptr, &evconnlistener_free) {}

http_server::~http_server() {
    for (const auto& connection : std::list(this->connections)) {
        connection->close(connection_end_reason::server_destroyed,
                          connection_end_manner::closed_by_server);
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
    static_cast<http_server*>(argument)->add_connection(socket, address);
}

void http_server::add_connection(int socket, const sockaddr* address) {
    ++this->accepted_count;
    if (!this->make_room_for_connection()) {
        this->refuse_connection(socket);
        return;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes_in_kernel,
               sizeof max_unsent_bytes_in_kernel);
    auto connection = std::make_shared<detail::server_connection>(*this, socket, ip_of(address));
    connection->position = this->connections.insert(this->connections.end(), connection);
    connection->start();
}

/// Starts to close the connection that has been idle for longest when few are left. Returns
/// whether one more may be open.
bool http_server::make_room_for_connection() {
    if (this->limits.max_connections == 0) {
        return true;
    }
    const std::size_t many = this->limits.max_connections * many_connections_percent / percent;
    if (this->connections.size() >= many) {
        const auto idle =
            std::find_if(this->connections.begin(), this->connections.end(),
                         [](const auto& each) { return each->seems_idle() && each->is_idle(); });
        if (idle != this->connections.end()) {
            this->decisions.record(pressure_decision::closed_idle);
            const auto kept = *idle;
            log_event(log_level::info, "idle_connection_closed", {{"caller", kept->caller_ip()}});
            kept->start_closing(connection_end_reason::idle);
        }
    }
    return this->connections.size() < this->limits.max_connections;
}

/// Tells the caller that nothing of what it may have sent was run, as far as the kernel takes it.
void http_server::refuse_connection(int socket) {
    this->decisions.record(pressure_decision::refused_connection);
    log_event(log_level::warning, "connection_refused",
              {{"open", std::to_string(this->connections.size())}});
    const http_response refusal =
        this->make_error_response({error_kind::overloaded, "too many connections"});
    const std::string text = detail::format_head(refusal, body_size(refusal.body.get()), true) +
                             body_text(refusal.body.get());
    static_cast<void>(send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    shutdown(socket, SHUT_WR);
    close(socket);
}

void http_server::set_memory_gate(memory_gate& gate) {
    this->memory = &gate;
    gate.relieve = [this](bool responses_wait) { this->reject_one(responses_wait); };
    gate.note_progress = [this] { this->note_progress(); };
}

/// Rejects the caller that has to give way to others, if one has.
void http_server::reject_one(bool responses_wait) {
    const time_point now = boot_clock::now();
    std::vector<memory_holder> holders;
    std::vector<std::shared_ptr<detail::server_connection>> owners;
    for (const auto& connection : this->connections) {
        if (const auto holder = connection->rejectable(now); holder) {
            holders.push_back(*holder);
            owners.push_back(connection);
        }
    }
    if (const auto chosen = choose_rejected(holders, responses_wait); chosen) {
        owners[*chosen]->reject_for_memory(holders[*chosen]);
    }
}

void http_server::note_progress() {
    for (const auto& connection : this->connections) {
        connection->note_taken_responses();
    }
}

void http_server::move_to_end(detail::server_connection& connection) {
    this->connections.splice(this->connections.end(), this->connections, connection.position);
}

void http_server::remove(detail::server_connection& connection) {
    this->connections.erase(connection.position);
}

void http_server::stop_listening() {
    if (this->listener != nullptr) {
        this->accept_queued();
    }
    this->listener.reset();
}

/// Accepts the connections that the kernel has established; closing the listener would reset them.
void http_server::accept_queued() {
    const int socket = evconnlistener_get_fd(this->listener.get());
    for (int count = 0; count <= listen_backlog; ++count) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        auto* address = reinterpret_cast<sockaddr*>(&from);
        const int connected = accept4(socket, address, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connected >= 0) {
            this->add_connection(connected, address);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            log_event(log_level::warning, "accept_failed",
                      {{"problem", std::generic_category().message(errno)}});
            return;
        }
    }
}

void http_server::close_after_responses() {
    this->draining = true;
    for (const auto& connection : this->connections) {
        connection->stop_reading_behind_running();
    }
}

void http_server::close_idle_connections() {
    for (const auto& connection : std::list(this->connections)) {
        if (connection->is_idle()) {
            connection->start_closing(connection_end_reason::server_stopping);
        }
    }
}

std::size_t http_server::bytes_queued() const {
    return std::accumulate(
        this->connections.begin(), this->connections.end(), std::size_t{0},
        [](std::size_t sum, const auto& connection) { return sum + connection->bytes_queued(); });
}

bool http_server::is_settled() const {
    return this->running == 0 &&
           std::all_of(this->connections.begin(), this->connections.end(),
                       [](const auto& connection) { return connection->is_settled(); });
}

} // namespace knapweedknot
