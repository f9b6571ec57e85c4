#include "peers/mesh.h"

#include <algorithm>
#include <array>

#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <event2/listener.h>

#include "base/log.h"
#include "event/socket_address.h"

namespace knapweedknot {

namespace {

constexpr duration maintenance_interval = milliseconds(250);
constexpr duration redial_interval = milliseconds(500);
constexpr duration handshake_timeout = milliseconds(1500);
// Time without a connection after which an address that is not a seed is removed.
constexpr duration address_lifetime = seconds(60);
constexpr int listen_backlog = 128;
// An instance asks this many peers for addresses as soon as it has connected to them. If each
// connection were answered with all addresses, a start of n instances would send n^3 of them.
constexpr std::size_t initial_members_requests = 3;
constexpr duration members_request_interval = seconds(30);

constexpr std::size_t max_datagram_bytes = 512;

endpoint parse_or_empty(const std::string& text) {
    return parse_endpoint(text).value_or(endpoint{});
}

} // namespace

mesh::mesh(loop& event_loop, peer_info self, mesh_handlers handlers)
    : owner(event_loop), own(std::move(self)), callbacks(std::move(handlers)),
      listener(nullptr, &evconnlistener_free),
      maintenance(event_loop.every(maintenance_interval, [this] { this->maintain(); })) {}

mesh::~mesh() {
    if (this->datagram_socket >= 0) {
        this->datagram_event.reset();
        ::close(this->datagram_socket);
    }
}

result<void> mesh::listen() {
    const sockaddr_in address = to_socket_address(this->own.peers_listen);
    this->listener.reset(evconnlistener_new_bind(
        this->owner.handle(), &mesh::handle_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        listen_backlog, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    if (this->listener == nullptr) {
        return fail(error_kind::internal, "cannot listen on " + to_string(this->own.peers_listen));
    }
    return this->open_datagram_socket();
}

result<void> mesh::open_datagram_socket() {
    this->datagram_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_socket_address(this->own.peers_listen);
    if (bind(this->datagram_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0) {
        return fail(error_kind::internal,
                    "cannot bind the UDP socket to " + to_string(this->own.peers_listen));
    }
    this->datagram_event.reset(event_new(
        this->owner.handle(), this->datagram_socket, EV_READ | EV_PERSIST,
        [](int /*unused*/, short /*unused*/, void* argument) {
            static_cast<mesh*>(argument)->read_datagrams();
        },
        this));
    event_add(this->datagram_event.get(), nullptr);
    return {};
}

void mesh::read_datagrams() {
    std::array<char, max_datagram_bytes> buffer{};
    while (true) {
        const ssize_t size = recv(this->datagram_socket, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return;
        }
        const auto fields =
            decode_heartbeat(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
        const auto link = fields ? this->links_by_peer.find(incarnation_id{fields->sender()})
                                 : this->links_by_peer.end();
        if (link != this->links_by_peer.end()) {
            const peer_info from = *link->second->peer;
            this->callbacks.on_heartbeat(from, *fields);
        }
    }
}

void mesh::send_heartbeat(incarnation_id to, const wire::heartbeat_fields& fields) {
    const auto link = this->links_by_peer.find(to);
    if (link == this->links_by_peer.end() || this->datagram_socket < 0) {
        return;
    }
    const std::string bytes = encode_heartbeat(fields);
    const sockaddr_in address = to_socket_address(link->second->peer->peers_address);
    // A failed send is equivalent to a lost datagram.
    static_cast<void>(sendto(this->datagram_socket, bytes.data(), bytes.size(), 0,
                             reinterpret_cast<const sockaddr*>(&address), sizeof address));
    ++this->datagram_count;
    this->datagram_bytes += bytes.size();
}

void mesh::add_address(const endpoint& address, bool is_seed) {
    if (address == this->own.peers_address || address.port == 0) {
        return;
    }
    const auto [place, is_new] = this->addresses.try_emplace(address);
    place->second.is_seed = place->second.is_seed || is_seed;
    if (is_new) {
        place->second.last_connected = boot_clock::now();
    }
}

std::map<incarnation_id, peer_info> mesh::peers() const {
    std::map<incarnation_id, peer_info> connected;
    for (const auto& [incarnation, link] : this->links_by_peer) {
        connected.emplace(incarnation, *link->peer);
    }
    return connected;
}

mesh_traffic mesh::traffic() const {
    mesh_traffic total = this->traffic_of_closed_links;
    total.sent += this->datagram_bytes;
    for (const auto& link : this->links) {
        total.sent += link->bytes_sent();
        total.received += link->bytes_received();
        total.queued += link->bytes_queued();
    }
    return total;
}

void mesh::disconnect(incarnation_id peer) {
    if (const auto found = this->links_by_peer.find(peer); found != this->links_by_peer.end()) {
        this->close(*found->second);
    }
}

bool mesh::send_frame(incarnation_id to, const std::string& frame) {
    const auto found = this->links_by_peer.find(to);
    if (found == this->links_by_peer.end()) {
        return false;
    }
    found->second->send(frame);
    return true;
}

void mesh::maintain() {
    const time_point now = boot_clock::now();
    this->request_members_if_due(now);
    std::vector<peer_link*> timed_out;
    for (const auto& link : this->links) {
        // Only the handshake has a timeout here. TCP keep-alive closes established links that fail.
        if (!link->peer && link->idle_time(now) > handshake_timeout) {
            timed_out.push_back(link.get());
        }
    }
    for (peer_link* link : timed_out) {
        this->close(*link);
    }
    std::erase_if(this->addresses, [&](const auto& item) {
        return !item.second.is_seed && !this->has_link_to(item.first) &&
               now - item.second.last_connected > address_lifetime;
    });
    for (auto& [address, known] : this->addresses) {
        if (this->has_link_to(address)) {
            known.last_connected = now;
        } else if (known.next_dial <= now) {
            known.next_dial = now + redial_interval;
            this->dial(address);
        }
    }
}

bool mesh::has_link_to(const endpoint& address) const {
    return std::any_of(this->links.begin(), this->links.end(), [&](const auto& link) {
        return (link->peer && link->peer->peers_address == address) ||
               (link->dialled_address() == address);
    });
}

peer_link::handlers mesh::link_handlers() {
    return {[this](peer_link& link, const wire::messageT& message) { this->handle(link, message); },
            [this](peer_link& link) { this->close(link); }};
}

void mesh::dial(const endpoint& address) {
    this->links.push_back(std::make_unique<peer_link>(
        this->owner, address, this->own.peers_listen.ip, this->link_handlers()));
    this->send_hello(*this->links.back());
}

void mesh::handle_accept(evconnlistener* /*unused*/, int socket, sockaddr* /*unused*/,
                         int /*unused*/, void* argument) {
    auto* self = static_cast<mesh*>(argument);
    self->links.push_back(std::make_unique<peer_link>(self->owner, socket, self->link_handlers()));
    self->send_hello(*self->links.back());
}

void mesh::send_hello(peer_link& link) {
    wire::helloT hello;
    hello.instance = this->own.instance.value;
    hello.incarnation = this->own.incarnation.value;
    hello.failure_domain = this->own.failure_domain.value;
    hello.peers_address = to_string(this->own.peers_address);
    hello.callers_address = to_string(this->own.callers_address);
    hello.capacity = static_cast<float>(this->own.capacity);
    link.send(encode_frame(std::move(hello)));
}

void mesh::handle(peer_link& link, const wire::messageT& message) {
    if (const auto* hello = message.body.Ashello(); hello != nullptr) {
        this->handle_hello(link, *hello);
    } else if (!link.peer) {
        this->close(link);
    } else if (const auto* members = message.body.Asmembers(); members != nullptr) {
        this->handle_members(*members);
    } else if (message.body.Asmembers_request() != nullptr) {
        const peer_info asker = *link.peer;
        this->send_members(asker);
    } else {
        // Copied because the callback may close the link.
        const peer_info from = *link.peer;
        this->callbacks.on_message(from, message);
    }
}

void mesh::handle_hello(peer_link& link, const wire::helloT& hello) {
    peer_info peer{instance_id{hello.instance},
                   incarnation_id{hello.incarnation},
                   failure_domain_id{hello.failure_domain},
                   parse_or_empty(hello.peers_address),
                   endpoint{},
                   parse_or_empty(hello.callers_address),
                   hello.capacity};
    if (peer.incarnation == this->own.incarnation || link.peer) {
        this->close(link);
        return;
    }
    if (const auto present = this->links_by_peer.find(peer.incarnation);
        present != this->links_by_peer.end()) {
        link.peer = peer;
        if (!this->should_replace(*present->second, link)) {
            this->close(link);
            return;
        }
        peer_link& replaced = *present->second;
        present->second = &link;
        this->close(replaced);
        return;
    }
    link.peer = peer;
    this->links_by_peer[peer.incarnation] = &link;
    this->add_address(peer.peers_address, false);
    if (this->members_requests < initial_members_requests) {
        this->request_members(peer.incarnation);
    }
    this->callbacks.on_connected(peer);
}

/// Decides between two links to the same peer. Both ends must keep the same one: the link dialled
/// by the instance with the lower incarnation, unless the present link is idle.
bool mesh::should_replace(const peer_link& present, const peer_link& added) const {
    if (present.idle_time(boot_clock::now()) > handshake_timeout) {
        return true;
    }
    const bool own_is_less = this->own.incarnation < present.peer->incarnation;
    return added.dialled_address().has_value() == own_is_less &&
           present.dialled_address().has_value() != own_is_less;
}

void mesh::request_members(incarnation_id from) {
    ++this->members_requests;
    this->last_members_request = boot_clock::now();
    this->last_asked = from;
    this->send(from, wire::members_requestT());
}

/// Asks the peers in turn, one an interval: finds instances that neither side knew at the start.
void mesh::request_members_if_due(time_point now) {
    if (this->links_by_peer.empty() ||
        now - this->last_members_request < members_request_interval) {
        return;
    }
    const auto connected = this->peers();
    const auto next = connected.upper_bound(this->last_asked);
    this->request_members(next == connected.end() ? connected.begin()->first : next->first);
}

void mesh::send_members(const peer_info& asker) {
    wire::membersT others;
    for (const auto& [incarnation, peer] : this->peers()) {
        if (incarnation != asker.incarnation) {
            others.peers_addresses.push_back(to_string(peer.peers_address));
        }
    }
    this->send(asker.incarnation, std::move(others));
}

void mesh::handle_members(const wire::membersT& members) {
    for (const std::string& text : members.peers_addresses) {
        this->add_address(parse_or_empty(text), false);
    }
}

void mesh::close(peer_link& link) {
    const auto place = std::find_if(this->links.begin(), this->links.end(),
                                    [&link](const auto& item) { return item.get() == &link; });
    if (place == this->links.end()) {
        return;
    }
    this->traffic_of_closed_links.sent += link.bytes_sent();
    this->traffic_of_closed_links.received += link.bytes_received();
    // The link may be running one of its callbacks, so the loop destroys it afterwards.
    std::shared_ptr<peer_link> closed = std::move(*place);
    this->links.erase(place);
    this->owner.post([closed] {});
    if (!closed->peer) {
        return;
    }
    const peer_info peer = *closed->peer;
    const auto active = this->links_by_peer.find(peer.incarnation);
    if (active != this->links_by_peer.end() && active->second == closed.get()) {
        this->links_by_peer.erase(active);
        this->callbacks.on_disconnected(peer);
    }
}

} // namespace knapweedknot
