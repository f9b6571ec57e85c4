#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "event/loop.h"

struct event;

/// \file
/// Non-blocking TCP connections over plain sockets, which tell how the peer ended them.

namespace knapweedknot::soak {

/// How a peer ended a connection.
enum class stream_end { fin, reset, not_connected };

/// Shape of a connection at the reading side.
struct stream_options {
    /// Size of the receive buffer of the kernel; 0 leaves it to the system.
    int receive_buffer{0};
    /// Largest segment that the peer may send; 0: that of the loopback.
    int max_segment{0};
    /// Bytes read per second; 0 for no limit.
    double bytes_per_s{0};
};

/// A TCP connection. It must be held by a shared pointer; the callbacks may release it. Not thread
/// safe.
class stream : public std::enable_shared_from_this<stream> {
public:
    /// Takes over the connected socket \p fd.
    stream(loop& owner, int fd, const stream_options& options);
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// Begins to connect to \p address; null if no socket could be made.
    static std::shared_ptr<stream> connect(loop& owner, const endpoint& address,
                                           const stream_options& options);
    /// Starts to read; call it once after the callbacks are set.
    void start();
    /// Sends \p bytes, after those that still wait.
    void send(std::string_view bytes);
    /// Releases the callbacks and closes the socket.
    void close();
    /// True while bytes wait in the process.
    [[nodiscard]] bool is_writing() const noexcept { return !this->output.empty(); }

    /// Called when bytes were added to `input`.
    std::function<void()> on_data;
    /// Called once when the peer has ended the connection and all that it sent has been read.
    std::function<void(stream_end)> on_end;
    /// What was received and not yet taken.
    std::string input;

private:
    static void on_ready(int fd, short what, void* argument);
    void read_paced();
    /// Reads at most \p limit bytes; returns their number. Ends the connection where the peer did.
    std::size_t read_some(std::size_t limit);
    void write_some();
    void watch();
    void end(stream_end how);

    loop& owner;
    int fd;
    stream_options options;
    std::string output;
    bool is_connected{true};
    bool was_reset{false};
    struct event_freer {
        void operator()(event* owned) const noexcept;
    };
    std::unique_ptr<event, event_freer> readable;
    std::unique_ptr<event, event_freer> writable;
    timer pace;
    time_point last_read;
    double allowance{0};
};

/// Accepts connections on one address. Not thread safe.
class acceptor {
public:
    /// Throws std::runtime_error if \p address cannot be bound.
    acceptor(loop& owner, const endpoint& address,
             std::function<void(std::shared_ptr<stream>)> on_accept);
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

private:
    static void on_ready(int fd, short what, void* argument);
    loop& owner;
    int fd;
    std::function<void(std::shared_ptr<stream>)> on_accept;
    event* readable;
};

} // namespace knapweedknot::soak
