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

/// Sends and receives frames. Not thread safe.
class peer_link {
public:
    struct handlers {
        std::function<void(peer_link&, const wire::messageT&)> on_message;
        /// The link is unusable; the receiver must drop it, and may do so in the call.
        std::function<void(peer_link&)> on_closed;
    };

    /// Takes an accepted connection.
    peer_link(loop& owner, int socket, handlers calls);
    /// Connects to \p address from \p source_ip.
    peer_link(loop& owner, const endpoint& address, const std::string& source_ip, handlers calls);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues a whole frame. A link whose queue is over its limit is closed.
    void send(const std::string& frame);
    /// Address that was dialled; nothing for an accepted connection.
    [[nodiscard]] const std::optional<endpoint>& dialled() const noexcept { return this->target; }
    /// Time without a received byte.
    [[nodiscard]] duration silence(time_point now) const noexcept {
        return now - this->last_received;
    }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return this->sent; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return this->received; }
    /// Bytes that wait in this process for room on the connection.
    [[nodiscard]] std::size_t bytes_queued() const;

    /// Peer's hello; nothing before it has arrived.
    std::optional<peer_info> peer;

private:
    struct stream_deleter {
        void operator()(bufferevent* owned) const noexcept;
    };
    static void read_ready(bufferevent* stream, void* argument);
    static void event_happened(bufferevent* stream, short what, void* argument);
    void read_frames();
    void set_up();

    std::unique_ptr<bufferevent, stream_deleter> stream;
    std::optional<endpoint> target;
    handlers calls;
    time_point last_received;
    std::uint64_t sent{0};
    std::uint64_t received{0};
};

} // namespace knapweedknot
