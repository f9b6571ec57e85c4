#include "peers/peer_link.h"

#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "event/socket_address.h"

namespace knapweedknot {

namespace {

constexpr int keep_alive_idle_s = 10;
constexpr int keep_alive_interval_s = 2;
constexpr int keep_alive_probes = 2;
constexpr unsigned user_timeout_ms = 4000;
constexpr std::size_t max_queued_bytes = 2 * max_message_bytes;

} // namespace

void peer_link::stream_deleter::operator()(bufferevent* owned) const noexcept {
    bufferevent_free(owned);
}

peer_link::peer_link(loop& owner, int socket, handlers event_handlers)
    : stream(bufferevent_socket_new(owner.handle(), socket, BEV_OPT_CLOSE_ON_FREE)),
      callbacks(std::move(event_handlers)), last_received(boot_clock::now()) {
    this->configure_connection();
}

peer_link::peer_link(loop& owner, const endpoint& address, const std::string& source_ip,
                     handlers event_handlers)
    : stream(bufferevent_socket_new(owner.handle(), make_tcp_socket(source_ip),
                                    BEV_OPT_CLOSE_ON_FREE)),
      remote(address), callbacks(std::move(event_handlers)), last_received(boot_clock::now()) {
    this->configure_connection();
    const sockaddr_in name = to_socket_address(address);
    bufferevent_socket_connect(this->stream.get(), reinterpret_cast<const sockaddr*>(&name),
                               sizeof name);
}

void peer_link::configure_connection() {
    const int on = 1;
    const int socket = bufferevent_getfd(this->stream.get());
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // TCP keep-alive detects a lost peer, as most links carry no traffic for long periods.
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_s, sizeof keep_alive_idle_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_s,
               sizeof keep_alive_interval_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof keep_alive_probes);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    bufferevent_setcb(this->stream.get(), &peer_link::handle_readable, nullptr,
                      &peer_link::handle_event, this);
    bufferevent_enable(this->stream.get(), EV_READ | EV_WRITE);
}

void peer_link::send(const std::string& frame) {
    evbuffer* output = bufferevent_get_output(this->stream.get());
    if (evbuffer_get_length(output) + frame.size() > max_queued_bytes) {
        this->callbacks.on_closed(*this);
        return;
    }
    this->sent += frame.size();
    evbuffer_add(output, frame.data(), frame.size());
}

std::size_t peer_link::bytes_queued() const {
    return evbuffer_get_length(bufferevent_get_output(this->stream.get()));
}

void peer_link::handle_readable(bufferevent* /*unused*/, void* argument) {
    static_cast<peer_link*>(argument)->read_frames();
}

void peer_link::handle_event(bufferevent* /*unused*/, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        auto* self = static_cast<peer_link*>(argument);
        self->callbacks.on_closed(*self);
    }
}

void peer_link::read_frames() {
    this->last_received = boot_clock::now();
    evbuffer* input = bufferevent_get_input(this->stream.get());
    while (evbuffer_get_length(input) >= frame_header_bytes) {
        std::string header(frame_header_bytes, '\0');
        evbuffer_copyout(input, header.data(), header.size());
        const auto length = message_length(header);
        if (!length) {
            this->callbacks.on_closed(*this);
            return;
        }
        if (evbuffer_get_length(input) < frame_header_bytes + *length) {
            return;
        }
        this->received += frame_header_bytes + *length;
        evbuffer_drain(input, frame_header_bytes);
        std::string bytes(*length, '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        const auto message = decode_message(bytes);
        if (!message) {
            this->callbacks.on_closed(*this);
            return;
        }
        this->callbacks.on_message(*this, **message);
    }
}

} // namespace knapweedknot
