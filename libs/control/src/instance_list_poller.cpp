#include "control/instance_list_poller.h"

namespace knapweedknot {

namespace {

constexpr slot_id polling_slot{0};
constexpr duration poll_interval = milliseconds(1000);
// Exceeds the longest time that an announced write can take, so that the seats of an instance that
// acknowledged it are not taken over before its outcome is known.
constexpr duration disconnect_timeout = seconds(12);
// A new instance appears in the list within this time.
constexpr duration max_list_lag = seconds(30);

} // namespace

instance_list_poller::instance_list_poller(loop& event_loop, store_client& client, mesh& peer_mesh,
                                           heartbeat_service& heartbeat_source,
                                           seat_manager& seat_source)
    : owner(event_loop), store(client), network(peer_mesh), heartbeats(heartbeat_source),
      seats(seat_source), poll_timer(event_loop.every(poll_interval, [this] { this->poll(); })) {}

void instance_list_poller::poll() {
    if (!this->heartbeats.is_broker_of(polling_slot)) {
        return;
    }
    this->store.list_instances([this](const result<std::vector<listed_instance>>& list) {
        if (list) {
            this->receive(*list);
        }
    });
}

void instance_list_poller::receive(const std::vector<listed_instance>& list) {
    this->leaving.clear();
    wire::listingT message;
    std::set<std::string> ips;
    for (const listed_instance& item : list) {
        ips.insert(item.address.ip);
        if (item.leaving) {
            this->leaving.insert(item.address);
            message.leaving.push_back(to_string(item.address));
        }
    }
    this->network.broadcast(message);
    this->detect_dead_holders(ips);
}

void instance_list_poller::detect_dead_holders(const std::set<std::string>& listed_ips) {
    const time_point now = boot_clock::now();
    for (const seat_holder& holder : this->seats.record().holders) {
        const incarnation_id id = holder.incarnation;
        const auto status = this->heartbeats.peers().find(id);
        const bool is_connected =
            id == this->network.self().incarnation ||
            (status != this->heartbeats.peers().end() && status->second.connected);
        this->first_seen.try_emplace(id, now);
        if (is_connected) {
            this->disconnected_since.erase(id);
            continue;
        }
        const auto [since, is_new] = this->disconnected_since.try_emplace(id, now);
        if (now - since->second < disconnect_timeout) {
            continue;
        }
        const auto address = parse_endpoint(holder.peers_address);
        const bool was_listed = now - this->first_seen.at(id) > max_list_lag;
        if (was_listed && !listed_ips.empty() && address && !listed_ips.contains(address->ip)) {
            this->seats.mark_terminated(id);
        } else {
            this->seats.check_lease(id);
        }
    }
}

void instance_list_poller::handle_listing(const wire::listingT& listing) {
    this->leaving.clear();
    for (const std::string& text : listing.leaving) {
        if (const auto address = parse_endpoint(text)) {
            this->leaving.insert(*address);
        }
    }
}

} // namespace knapweedknot
