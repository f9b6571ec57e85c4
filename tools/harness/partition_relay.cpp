#include "partition_relay.h"

#include <array>
#include <stdexcept>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "event/socket_address.h"

namespace knapweedknot::harness {

namespace {

constexpr int backlog = 128;

std::string ip_text(const sockaddr_in& address) {
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}

} // namespace

/// The accepted client connection and the connection to the destination.
struct partition_relay::relayed_connection {
    partition_relay* relay;
    std::string client_ip;
    bufferevent* client;
    bufferevent* server;

    ~relayed_connection() {
        bufferevent_free(this->client);
        bufferevent_free(this->server);
    }
    [[nodiscard]] bool is_blocked(bool from_client) const {
        const std::string& server_ip = this->relay->destination.ip;
        return this->relay->blocked.contains(from_client ? std::pair(this->client_ip, server_ip)
                                                         : std::pair(server_ip, this->client_ip));
    }
};

partition_relay::partition_relay(loop& event_loop, const endpoint& listen,
                                 const endpoint& destination_address,
                                 const blocked_directions& blocked_pairs)
    : owner(event_loop), destination(destination_address), blocked(blocked_pairs) {
    const sockaddr_in name = to_socket_address(listen);
    this->listener = evconnlistener_new_bind(event_loop.handle(), &partition_relay::on_accept, this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                             reinterpret_cast<const sockaddr*>(&name), sizeof name);
    if (this->listener == nullptr) {
        throw std::runtime_error("cannot relay on " + to_string(listen));
    }
    this->datagram_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    if (bind(this->datagram_socket, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
        throw std::runtime_error("cannot relay datagrams on " + to_string(listen));
    }
    this->datagram_event.reset(event_new(
        event_loop.handle(), this->datagram_socket, EV_READ | EV_PERSIST,
        [](int /*unused*/, short /*unused*/, void* argument) {
            static_cast<partition_relay*>(argument)->relay_datagrams();
        },
        this));
    event_add(this->datagram_event.get(), nullptr);
}

void partition_relay::relay_datagrams() {
    constexpr std::size_t max_datagram_bytes = 2048;
    std::array<char, max_datagram_bytes> buffer{};
    const sockaddr_in destination_name = to_socket_address(this->destination);
    while (true) {
        sockaddr_in source{};
        socklen_t source_size = sizeof source;
        const ssize_t size = recvfrom(this->datagram_socket, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr*>(&source), &source_size);
        if (size < 0) {
            return;
        }
        if (!this->blocked.contains(std::pair(ip_text(source), this->destination.ip))) {
            sendto(this->datagram_socket, buffer.data(), static_cast<std::size_t>(size), 0,
                   reinterpret_cast<const sockaddr*>(&destination_name), sizeof destination_name);
        }
    }
}

partition_relay::~partition_relay() {
    this->datagram_event.reset();
    ::close(this->datagram_socket);
    evconnlistener_free(this->listener);
}

void partition_relay::on_accept(evconnlistener* /*unused*/, int socket, sockaddr* address,
                                int /*unused*/, void* argument) {
    auto* self = static_cast<partition_relay*>(argument);
    auto connection = std::make_unique<relayed_connection>();
    connection->relay = self;
    connection->client_ip = ip_text(*reinterpret_cast<const sockaddr_in*>(address));
    connection->client =
        bufferevent_socket_new(self->owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE);
    connection->server = bufferevent_socket_new(self->owner.handle(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* stream : {connection->client, connection->server}) {
        bufferevent_setcb(stream, &partition_relay::on_readable, nullptr,
                          &partition_relay::on_event, connection.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    const sockaddr_in name = to_socket_address(self->destination);
    bufferevent_socket_connect(connection->server, reinterpret_cast<const sockaddr*>(&name),
                               sizeof name);
    self->connections.push_back(std::move(connection));
}

void partition_relay::on_readable(bufferevent* from, void* argument) {
    const auto* connection = static_cast<relayed_connection*>(argument);
    const bool from_client = from == connection->client;
    evbuffer* input = bufferevent_get_input(from);
    if (connection->is_blocked(from_client)) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    bufferevent_write_buffer(from_client ? connection->server : connection->client, input);
}

void partition_relay::on_event(bufferevent* /*unused*/, short events, void* argument) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    const auto* connection = static_cast<relayed_connection*>(argument);
    std::erase_if(connection->relay->connections,
                  [connection](const auto& item) { return item.get() == connection; });
}

} // namespace knapweedknot::harness
