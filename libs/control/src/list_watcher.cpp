#include "control/list_watcher.h"

namespace knapweedknot {

namespace {

constexpr slot_id watching_slot{0};
constexpr duration look_interval = milliseconds(1000);
// Longer than any announced write can take, so that the seats of an instance that acknowledged it
// are not taken over before its outcome is known.
constexpr duration missing_limit = seconds(12);
// The list shows a new instance within this time.
constexpr duration list_lag_limit = seconds(30);

} // namespace

list_watcher::list_watcher(loop& event_loop, store_client& client, mesh& peer_mesh,
                           loan_keeper& keeper, seat_keeper& seat_source)
    : owner(event_loop), store(client), network(peer_mesh), loans(keeper), seats(seat_source),
      looking(event_loop.every(look_interval, [this] { this->look(); })) {}

void list_watcher::look() {
    if (!this->loans.is_own_choice(watching_slot)) {
        return;
    }
    this->store.list_instances([this](const result<std::vector<listed_instance>>& list) {
        if (list) {
            this->receive(*list);
        }
    });
}

void list_watcher::receive(const std::vector<listed_instance>& list) {
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
    this->find_gone_holders(ips);
}

void list_watcher::find_gone_holders(const std::set<std::string>& listed_ips) {
    const time_point now = boot_clock::now();
    for (const seat_holder& holder : this->seats.record().holders) {
        const incarnation_id id = holder.incarnation;
        const auto status = this->loans.peers().find(id);
        const bool present = id == this->network.self().incarnation ||
                             (status != this->loans.peers().end() && status->second.connected);
        this->first_seen.try_emplace(id, now);
        if (present) {
            this->missing_since.erase(id);
            continue;
        }
        const auto [since, is_new] = this->missing_since.try_emplace(id, now);
        if (now - since->second < missing_limit) {
            continue;
        }
        const auto address = parse_endpoint(holder.peers_address);
        const bool was_listed = now - this->first_seen.at(id) > list_lag_limit;
        if (was_listed && !listed_ips.empty() && address && !listed_ips.contains(address->ip)) {
            this->seats.note_gone(id);
        } else {
            this->seats.check_lease(id);
        }
    }
}

void list_watcher::handle_listing(const wire::listingT& listing) {
    this->leaving.clear();
    for (const std::string& text : listing.leaving) {
        if (const auto address = parse_endpoint(text)) {
            this->leaving.insert(*address);
        }
    }
}

} // namespace knapweedknot
