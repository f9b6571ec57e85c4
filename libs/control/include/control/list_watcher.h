#pragma once

#include <map>
#include <set>

#include "control/loan_keeper.h"
#include "control/seat_keeper.h"
#include "event/loop.h"
#include "peers/mesh.h"
#include "platform/store_client.h"

/// \file
/// The platform's lagging list. One instance, the broker of a fixed slot, reads it for all and
/// tells the others which addresses are leaving; it also finds seat holders that are gone.

namespace knapweedknot {

/// Reads or receives the list. Not thread safe.
class list_watcher {
public:
    list_watcher(loop& owner, store_client& store, mesh& network, loan_keeper& loans,
                 seat_keeper& seats);

    void handle_listing(const wire::listingT& listing);
    /// True when the platform lists \p address as leaving.
    [[nodiscard]] bool is_leaving(const endpoint& address) const {
        return this->leaving.contains(address);
    }

private:
    void look();
    void receive(const std::vector<listed_instance>& list);
    void find_gone_holders(const std::set<std::string>& listed_ips);

    loop& owner;
    store_client& store;
    mesh& network;
    loan_keeper& loans;
    seat_keeper& seats;
    std::set<endpoint> leaving;
    std::map<incarnation_id, time_point> missing_since;
    std::map<incarnation_id, time_point> first_seen;
    timer looking;
};

} // namespace knapweedknot
