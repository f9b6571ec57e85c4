#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/config_follower.h"
#include "control/loan_keeper.h"
#include "decide/freshness.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// The part of the mesh that makes a withdrawn key stop: before a number is written, instances
/// with more than half of the seats must know that it is coming.

namespace knapweedknot {

/// Both sides of the announcement. Not thread safe.
class acceptance {
public:
    using handler = std::function<void(result<void>)>;

    acceptance(loop& owner, mesh& network, loan_keeper& loans, config_follower& follower,
               configuration& config);

    /// Tells all instances that \p number is about to be written, and calls \p done when more than
    /// half of the seats have acknowledged it, or with peer_unreachable.
    void announce(config_number number, const std::string& patch_id, handler done);
    /// Tells all instances that the announced write will not take place.
    void withdraw(config_number number, const std::string& patch_id);
    /// Sends the adopted head to all instances.
    void spread();
    /// Calls \p done with true when every connected instance has adopted \p number, or with false
    /// when after \p limit some have not; then these serve no keyed route.
    void when_in_force(config_number number, duration limit, std::function<void(bool)> done);

    /// Handles a message of this protocol; false when it is another's.
    bool handle(const peer_info& from, const wire::messageT& message);
    void peer_connected(const peer_info& peer);

    /// Whether this instance vouches for its number.
    [[nodiscard]] bool vouches() const;
    /// Whether keyed routes may be served.
    [[nodiscard]] bool is_fresh();
    /// Whether an announced number's outcome is still open here.
    [[nodiscard]] bool is_pending() const noexcept { return !this->open.empty(); }

private:
    struct announced {
        config_number number;
        std::string patch_id;
        std::set<incarnation_id> acknowledged;
        handler done;
        timer limit;
    };

    void handle_announce(const peer_info& from, const wire::announceT& message);
    void handle_ack(const peer_info& from, const wire::announce_ackT& message);
    void handle_entries(const peer_info& from, const wire::entries_replyT& message);
    void ask_for_entries(incarnation_id from);
    void send_head(incarnation_id to, std::uint64_t after);
    void check_majority();
    void check_in_force();
    void look_around();
    void settle_pending();

    loop& owner;
    mesh& network;
    loan_keeper& loans;
    config_follower& follower;
    configuration& config;
    std::optional<announced> current;
    /// Announcements of others and of this instance whose outcome is not known here.
    pending_announcements open;
    struct force_waiter {
        config_number number;
        time_point limit;
        std::function<void(bool)> done;
    };
    std::vector<force_waiter> force_waiters;
    timer looking;
    /// Last result of the freshness rule, and when it was worked out.
    bool was_fresh{false};
    time_point fresh_checked;
    bool reading{false};
};

} // namespace knapweedknot
