#include "cut_relay.h"

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

/// The two halves of a relayed connection.
struct cut_relay::pair {
    cut_relay* relay;
    std::string caller_ip;
    bufferevent* caller;
    bufferevent* callee;

    ~pair() {
        bufferevent_free(this->caller);
        bufferevent_free(this->callee);
    }
    [[nodiscard]] bool is_cut(bool from_caller) const {
        const std::string& callee_ip = this->relay->target.ip;
        return this->relay->cuts.contains(from_caller ? std::pair(this->caller_ip, callee_ip)
                                                      : std::pair(callee_ip, this->caller_ip));
    }
};

cut_relay::cut_relay(loop& event_loop, const endpoint& listen, const endpoint& destination,
                     const cut_set& cut_pairs)
    : owner(event_loop), target(destination), cuts(cut_pairs) {
    const sockaddr_in name = to_socket_address(listen);
    this->listener = evconnlistener_new_bind(event_loop.handle(), &cut_relay::accepted, this,
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
            static_cast<cut_relay*>(argument)->relay_datagrams();
        },
        this));
    event_add(this->datagram_event.get(), nullptr);
}

void cut_relay::relay_datagrams() {
    constexpr std::size_t max_datagram_bytes = 2048;
    std::array<char, max_datagram_bytes> buffer{};
    const sockaddr_in destination = to_socket_address(this->target);
    while (true) {
        sockaddr_in source{};
        socklen_t source_size = sizeof source;
        const ssize_t size = recvfrom(this->datagram_socket, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr*>(&source), &source_size);
        if (size < 0) {
            return;
        }
        if (!this->cuts.contains(std::pair(ip_text(source), this->target.ip))) {
            sendto(this->datagram_socket, buffer.data(), static_cast<std::size_t>(size), 0,
                   reinterpret_cast<const sockaddr*>(&destination), sizeof destination);
        }
    }
}

cut_relay::~cut_relay() {
    this->datagram_event.reset();
    ::close(this->datagram_socket);
    evconnlistener_free(this->listener);
}

void cut_relay::accepted(evconnlistener* /*unused*/, int socket, sockaddr* address, int /*unused*/,
                         void* argument) {
    auto* self = static_cast<cut_relay*>(argument);
    auto made = std::make_unique<pair>();
    made->relay = self;
    made->caller_ip = ip_text(*reinterpret_cast<const sockaddr_in*>(address));
    made->caller = bufferevent_socket_new(self->owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE);
    made->callee = bufferevent_socket_new(self->owner.handle(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* stream : {made->caller, made->callee}) {
        bufferevent_setcb(stream, &cut_relay::forward, nullptr, &cut_relay::closed, made.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    const sockaddr_in name = to_socket_address(self->target);
    bufferevent_socket_connect(made->callee, reinterpret_cast<const sockaddr*>(&name), sizeof name);
    self->pairs.push_back(std::move(made));
}

void cut_relay::forward(bufferevent* from, void* argument) {
    const auto* joined = static_cast<pair*>(argument);
    const bool from_caller = from == joined->caller;
    evbuffer* input = bufferevent_get_input(from);
    if (joined->is_cut(from_caller)) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    bufferevent_write_buffer(from_caller ? joined->callee : joined->caller, input);
}

void cut_relay::closed(bufferevent* /*unused*/, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    const auto* joined = static_cast<pair*>(argument);
    std::erase_if(joined->relay->pairs,
                  [joined](const auto& item) { return item.get() == joined; });
}

} // namespace knapweedknot::harness
