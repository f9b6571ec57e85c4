#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/error.h"
#include "event/loop.h"
#include "peers/peer_info.h"
#include "peers/peer_link.h"

struct evconnlistener;
struct sockaddr;

/// \file
/// Links to all other instances that can be reached, with one link to each.

namespace knapweedknot {

/// Events of the mesh.
struct mesh_handlers {
    std::function<void(const peer_info&, const wire::messageT&)> on_message;
    /// A heartbeat from a connected peer.
    std::function<void(const peer_info&, const wire::heartbeat_fields&)> on_heartbeat;
    std::function<void(const peer_info&)> on_connected;
    std::function<void(const peer_info&)> on_disconnected;
};

/// Bytes on all links since the start, and those that wait for room on a connection.
struct mesh_traffic {
    std::uint64_t sent{0};
    std::uint64_t received{0};
    std::size_t queued{0};
};

/// Keeps the links and finds instances through each other. Not thread safe.
class mesh {
public:
    mesh(loop& owner, peer_info self, mesh_handlers handlers);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    /// Listens for other instances. The error says why not.
    [[nodiscard]] result<void> listen();
    /// Keeps trying to connect to \p address. A seed is never given up.
    void learn(const endpoint& address, bool is_seed);

    /// Sends an object of the generated API to a connected peer. False when it is not connected.
    template <typename Body>
    bool send(incarnation_id to, Body body) {
        return this->send_frame(to, encode_frame(std::move(body)));
    }
    /// Sends a frame that encode_frame made. False when the peer is not connected.
    bool send_frame(incarnation_id to, const std::string& frame);
    /// Sends to every connected peer.
    template <typename Body>
    void broadcast(const Body& body) {
        const std::string frame = encode_frame(body);
        for (const auto& [incarnation, peer] : this->peers()) {
            this->send_frame(incarnation, frame);
        }
    }

    /// Ends the link to a peer that has gone silent; a new one is tried.
    void drop(incarnation_id peer);

    /// Sends a datagram to a connected peer; it may be lost.
    void send_heartbeat(incarnation_id to, const wire::heartbeat_fields& fields);

    [[nodiscard]] const peer_info& self() const noexcept { return this->own; }
    /// Connected peers by incarnation. A copy, so that handlers may change the mesh.
    [[nodiscard]] std::map<incarnation_id, peer_info> peers() const;
    [[nodiscard]] mesh_traffic traffic() const;
    [[nodiscard]] std::uint64_t datagrams_sent() const noexcept { return this->datagrams; }

private:
    struct known_address {
        bool is_seed{false};
        time_point last_useful;
        time_point next_dial;
    };

    void maintain();
    void dial(const endpoint& address);
    [[nodiscard]] bool has_link_to(const endpoint& address) const;
    [[nodiscard]] peer_link::handlers link_handlers();
    void send_hello(peer_link& link);
    void handle(peer_link& link, const wire::messageT& message);
    void handle_hello(peer_link& link, const wire::helloT& hello);
    void handle_members(const wire::membersT& members);
    void announce_member(const peer_info& joined);
    void close(peer_link& link);
    [[nodiscard]] result<void> open_datagrams();
    void read_datagrams();
    [[nodiscard]] bool prefers_new(const peer_link& present, const peer_link& added) const;
    static void accepted(evconnlistener* listener, int socket, sockaddr* address, int size,
                         void* argument);

    loop& owner;
    peer_info own;
    mesh_handlers calls;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener;
    std::list<std::unique_ptr<peer_link>> links;
    std::unordered_map<incarnation_id, peer_link*> links_by_peer;
    std::map<endpoint, known_address> addresses;
    mesh_traffic traffic_of_closed_links;
    int datagram_socket{-1};
    std::unique_ptr<event, detail::event_deleter> datagram_event;
    std::uint64_t datagrams{0};
    std::uint64_t datagram_bytes{0};
    timer maintenance;
};

} // namespace knapweedknot
