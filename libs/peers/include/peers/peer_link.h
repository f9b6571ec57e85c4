#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "event/loop.h"
#include "peers/peer_info.h"
#include "wire/frame.h"

struct bufferevent;

/// \file
/// One TCP connection between two instances.

namespace knapweedknot {

/// Sends and receives frames over one connection. Not thread safe.
class peer_link {
public:
    struct handlers {
        std::function<void(peer_link&, const wire::messageT&)> on_message;
        /// The link is unusable. The callee must release it, and may do so during the call.
        std::function<void(peer_link&)> on_closed;
    };

    /// Takes ownership of an accepted connection.
    peer_link(loop& owner, int socket, handlers callbacks);
    /// Starts to connect to \p address from \p source_ip.
    peer_link(loop& owner, const endpoint& address, const std::string& source_ip,
              handlers callbacks);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues a frame. Fails the link when the send buffer would exceed its limit.
    void send(const std::string& frame);
    /// Address that this end connected to; empty for an accepted connection.
    [[nodiscard]] const std::optional<endpoint>& dialled_address() const noexcept {
        return this->remote;
    }
    /// Time since the last byte was received, or since creation.
    [[nodiscard]] duration idle_time(time_point now) const noexcept {
        return now - this->last_received;
    }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return this->sent; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return this->received; }
    /// Bytes in the send buffer that the kernel has not yet accepted.
    [[nodiscard]] std::size_t bytes_queued() const;

    /// Identity from the peer's hello; empty until it has arrived.
    std::optional<peer_info> peer;

private:
    struct stream_deleter {
        void operator()(bufferevent* owned) const noexcept;
    };
    static void handle_readable(bufferevent* stream, void* argument);
    static void handle_event(bufferevent* stream, short what, void* argument);
    void read_frames();
    void configure_connection();

    std::unique_ptr<bufferevent, stream_deleter> stream;
    std::optional<endpoint> remote;
    handlers callbacks;
    time_point last_received;
    std::uint64_t sent{0};
    std::uint64_t received{0};
};

} // namespace knapweedknot
