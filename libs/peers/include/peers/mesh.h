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
/// Full mesh of TCP connections between the instances, with heartbeats in UDP datagrams.

namespace knapweedknot {

/// Callbacks of a mesh.
struct mesh_handlers {
    /// A message from a connected peer, other than hello and members.
    std::function<void(const peer_info&, const wire::messageT&)> on_message;
    /// A heartbeat from a connected peer.
    std::function<void(const peer_info&, const wire::heartbeat_fields&)> on_heartbeat;
    std::function<void(const peer_info&)> on_connected;
    std::function<void(const peer_info&)> on_disconnected;
};

/// Bytes on all links and in heartbeats.
struct mesh_traffic {
    /// Bytes queued for sending since the start, including heartbeats.
    std::uint64_t sent{0};
    /// Bytes received on links since the start.
    std::uint64_t received{0};
    /// Bytes in the send buffers of the links.
    std::size_t queued{0};
};

/// Maintains one link to each reachable instance. An instance asks the first few that it connects
/// to for the addresses of their peers, and later one at a time, so one seed is enough to find all.
/// Not thread safe.
class mesh {
public:
    mesh(loop& owner, peer_info self, mesh_handlers handlers);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    /// Opens the TCP listener and the UDP socket on the own peers_listen address. The error names
    /// the address that could not be bound.
    [[nodiscard]] result<void> listen();
    /// Adds \p address to those that are dialled until connected. Other addresses than seeds are
    /// removed after a minute without a connection.
    void add_address(const endpoint& address, bool is_seed);

    /// Sends a message body of the generated API to a connected peer. False when it is not
    /// connected.
    template <typename Body>
    bool send(incarnation_id to, Body body) {
        return this->send_frame(to, encode_frame(std::move(body)));
    }
    /// Sends a frame made by encode_frame. False when the peer is not connected.
    bool send_frame(incarnation_id to, const std::string& frame);
    /// Sends to every connected peer.
    template <typename Body>
    void broadcast(const Body& body) {
        const std::string frame = encode_frame(body);
        for (const auto& [incarnation, peer] : this->peers()) {
            this->send_frame(incarnation, frame);
        }
    }

    /// Closes the link to \p peer, if any. Its address is dialled again.
    void disconnect(incarnation_id peer);

    /// Sends a heartbeat datagram to a connected peer, without guarantee of delivery.
    void send_heartbeat(incarnation_id to, const wire::heartbeat_fields& fields);

    [[nodiscard]] const peer_info& self() const noexcept { return this->own; }
    /// Connected peers by incarnation. Returns a copy, so the caller may send or disconnect while
    /// iterating.
    [[nodiscard]] std::map<incarnation_id, peer_info> peers() const;
    /// Number of addresses of other instances that are dialled until connected, with those that
    /// are.
    [[nodiscard]] std::size_t known_addresses() const noexcept { return this->addresses.size(); }
    [[nodiscard]] mesh_traffic traffic() const;
    [[nodiscard]] std::uint64_t datagrams_sent() const noexcept { return this->datagram_count; }

private:
    struct known_address {
        bool is_seed{false};
        time_point last_connected;
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
    void request_members(incarnation_id from);
    void request_members_if_due(time_point now);
    void send_members(const peer_info& asker);
    void close(peer_link& link);
    [[nodiscard]] result<void> open_datagram_socket();
    void read_datagrams();
    [[nodiscard]] bool should_replace(const peer_link& present, const peer_link& added) const;
    static void handle_accept(evconnlistener* listener, int socket, sockaddr* address, int size,
                              void* argument);

    loop& owner;
    peer_info own;
    mesh_handlers callbacks;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener;
    std::list<std::unique_ptr<peer_link>> links;
    std::unordered_map<incarnation_id, peer_link*> links_by_peer;
    std::map<endpoint, known_address> addresses;
    /// Requests for addresses sent so far, and the last one.
    std::size_t members_requests{0};
    time_point last_members_request;
    /// Peer that was last asked for addresses.
    incarnation_id last_asked;
    mesh_traffic traffic_of_closed_links;
    int datagram_socket{-1};
    std::unique_ptr<event, detail::event_deleter> datagram_event;
    std::uint64_t datagram_count{0};
    std::uint64_t datagram_bytes{0};
    timer maintenance;
};

} // namespace knapweedknot
