#pragma once

#include <map>
#include <set>

#include "control/heartbeat_service.h"
#include "control/seat_manager.h"
#include "event/loop.h"
#include "peers/mesh.h"
#include "platform/store_client.h"

/// \file
/// Polls the platform's instance list, which lags behind reality. Only one instance, the broker of
/// a fixed slot, polls it and broadcasts which addresses are leaving. The same instance detects
/// seat holders that have terminated.

namespace knapweedknot {

/// Polls the list, or receives it from the polling instance. Not thread safe.
class instance_list_poller {
public:
    instance_list_poller(loop& owner, store_client& store, mesh& network,
                         heartbeat_service& heartbeats, seat_manager& seats);

    /// Replaces the leaving addresses by those that the polling instance sent.
    void handle_listing(const wire::listingT& listing);
    /// Whether the platform lists \p address as leaving.
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
