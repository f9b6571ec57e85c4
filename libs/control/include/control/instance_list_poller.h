#pragma once

#include <map>
#include <set>

#include "control/heartbeat_service.h"
#include "control/seat_manager.h"
#include "event/loop.h"
#include "peers/mesh.h"
#include "platform/store_client.h"

/// \file
/// The platform's lagging list. One instance, the broker of a fixed slot, reads it for all and
/// tells the others which addresses are leaving; it also finds seat holders that are gone.

namespace knapweedknot {

/// Reads or receives the list. Not thread safe.
class instance_list_poller {
public:
    instance_list_poller(loop& owner, store_client& store, mesh& network,
                         heartbeat_service& heartbeats, seat_manager& seats);

    void handle_listing(const wire::listingT& listing);
    /// True when the platform lists \p address as leaving.
    [[nodiscard]] bool is_leaving(const endpoint& address) const {
        return this->leaving.contains(address);
    }

private:
    void poll();
    void receive(const std::vector<listed_instance>& list);
    void detect_dead_holders(const std::set<std::string>& listed_ips);

    loop& owner;
    store_client& store;
    mesh& network;
    heartbeat_service& heartbeats;
    seat_manager& seats;
    std::set<endpoint> leaving;
    std::map<incarnation_id, time_point> disconnected_since;
    std::map<incarnation_id, time_point> first_seen;
    timer poll_timer;
};

} // namespace knapweedknot
