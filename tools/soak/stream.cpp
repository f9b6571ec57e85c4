#include "stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "event/socket_address.h"

namespace knapweedknot::soak {

namespace {

constexpr int backlog = 1024;
constexpr std::size_t read_bytes = 65536;
constexpr duration pace_interval = milliseconds(10);
/// A paced reader that was held up catches up on this time at most.
constexpr double longest_arrears_s = 0.05;

void set_option(int fd, int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof value);
}

} // namespace

void stream::event_freer::operator()(event* owned) const noexcept {
    event_free(owned);
}

stream::stream(loop& event_loop, int socket, const stream_options& shape)
    : owner(event_loop), fd(socket), options(shape), last_read(boot_clock::now()) {}

stream::~stream() {
    this->close();
}

std::shared_ptr<stream> stream::connect(loop& owner, const endpoint& address,
                                        const stream_options& options) {
    const int fd = make_tcp_socket("");
    if (fd < 0) {
        return nullptr;
    }
    if (options.receive_buffer > 0) {
        set_option(fd, SOL_SOCKET, SO_RCVBUF, options.receive_buffer);
    }
    if (options.max_segment > 0) {
        set_option(fd, IPPROTO_TCP, TCP_MAXSEG, options.max_segment);
    }
    auto opened = std::make_shared<stream>(owner, fd, options);
    opened->is_connected = false;
    const sockaddr_in name = to_socket_address(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 &&
        errno != EINPROGRESS) {
        return nullptr;
    }
    return opened;
}

void stream::start() {
    event_base* base = this->owner.handle();
    this->writable.reset(event_new(base, this->fd, EV_WRITE, &stream::on_ready, this));
    if (this->options.bytes_per_s > 0) {
        this->pace = this->owner.every(pace_interval, [this] { this->read_paced(); });
    } else {
        this->readable.reset(
            event_new(base, this->fd, EV_READ | EV_PERSIST, &stream::on_ready, this));
        event_add(this->readable.get(), nullptr);
    }
    this->watch();
}

void stream::send(std::string_view bytes) {
    this->output += bytes;
    if (this->is_connected) {
        this->write_some();
    }
    this->watch();
}

void stream::close() {
    this->on_data = nullptr;
    this->on_end = nullptr;
    this->pace = timer();
    this->readable.reset();
    this->writable.reset();
    if (this->fd >= 0) {
        ::close(this->fd);
        this->fd = -1;
    }
}

void stream::on_ready(int /*unused*/, short what, void* argument) {
    const auto self = static_cast<stream*>(argument)->shared_from_this();
    if ((what & EV_WRITE) != 0) {
        if (!self->is_connected) {
            int failed = 0;
            socklen_t size = sizeof failed;
            getsockopt(self->fd, SOL_SOCKET, SO_ERROR, &failed, &size);
            if (failed != 0) {
                self->end(stream_end::not_connected);
                return;
            }
            self->is_connected = true;
        }
        self->write_some();
        self->watch();
    }
    if ((what & EV_READ) != 0 && self->is_connected && self->fd >= 0) {
        self->read_some(read_bytes);
    }
}

void stream::read_paced() {
    const auto self = this->shared_from_this();
    const time_point now = boot_clock::now();
    const double rate = this->options.bytes_per_s;
    this->allowance = std::min(this->allowance + rate * to_seconds(now - this->last_read),
                               std::max(1.0, rate * longest_arrears_s));
    this->last_read = now;
    if (this->is_connected && this->allowance >= 1) {
        this->allowance -=
            static_cast<double>(this->read_some(static_cast<std::size_t>(this->allowance)));
    }
}

std::size_t stream::read_some(std::size_t limit) {
    std::array<char, read_bytes> buffer;
    const ssize_t size = recv(this->fd, buffer.data(), std::min(limit, buffer.size()), 0);
    if (size > 0) {
        this->input.append(buffer.data(), static_cast<std::size_t>(size));
        // A copy, because the callback may close this connection.
        if (const auto tell = this->on_data) {
            tell();
        }
        return static_cast<std::size_t>(size);
    }
    if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
        this->end(size < 0 || this->was_reset ? stream_end::reset : stream_end::fin);
    }
    return 0;
}

void stream::write_some() {
    while (!this->output.empty()) {
        const ssize_t size =
            ::send(this->fd, this->output.data(), this->output.size(), MSG_NOSIGNAL);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                // The error is reported once only: the end is told after what stands unread.
                this->was_reset = true;
                this->output.clear();
            }
            return;
        }
        this->output.erase(0, static_cast<std::size_t>(size));
    }
}

void stream::watch() {
    if (this->writable && (!this->is_connected || !this->output.empty())) {
        event_add(this->writable.get(), nullptr);
    }
}

void stream::end(stream_end how) {
    const auto tell = std::move(this->on_end);
    this->close();
    if (tell) {
        tell(how);
    }
}

acceptor::acceptor(loop& event_loop, const endpoint& address,
                   std::function<void(std::shared_ptr<stream>)> callback)
    : owner(event_loop), fd(make_tcp_socket("")), on_accept(std::move(callback)),
      readable(event_new(event_loop.handle(), this->fd, EV_READ | EV_PERSIST, &acceptor::on_ready,
                         this)) {
    set_option(this->fd, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in name = to_socket_address(address);
    if (bind(this->fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
        listen(this->fd, backlog) != 0) {
        throw std::runtime_error("cannot listen on " + to_string(address));
    }
    event_add(this->readable, nullptr);
}

acceptor::~acceptor() {
    event_free(this->readable);
    ::close(this->fd);
}

void acceptor::on_ready(int fd, short /*unused*/, void* argument) {
    auto* self = static_cast<acceptor*>(argument);
    while (true) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        set_option(accepted, IPPROTO_TCP, TCP_NODELAY, 1);
        self->on_accept(std::make_shared<stream>(self->owner, accepted, stream_options{}));
    }
}

} // namespace knapweedknot::soak
