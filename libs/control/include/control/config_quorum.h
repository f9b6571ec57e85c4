#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/config_follower.h"
#include "control/heartbeat_service.h"
#include "decide/freshness.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// The part of the mesh that makes a withdrawn key stop: before a number is written, instances
/// with more than half of the seats must know that it is coming.

namespace knapweedknot {

/// Both sides of the announcement. Not thread safe.
class config_quorum {
public:
    using handler = std::function<void(result<void>)>;

    config_quorum(loop& owner, mesh& network, heartbeat_service& heartbeats,
                  config_follower& follower, configuration& config);

    /// Tells all instances that \p number is about to be written, and calls \p done when more than
    /// half of the seats have acknowledged it, or with peer_unreachable.
    void announce(config_number number, const std::string& patch_id, handler done);
    /// Tells all instances that the announced write will not take place.
    void withdraw(config_number number, const std::string& patch_id);
    /// Sends the adopted head to all instances.
    void broadcast_head();
    /// Calls \p done with true when every connected instance has adopted \p number, or with false
    /// when after \p limit some have not; then these serve no keyed route.
    void await_in_force(config_number number, duration limit, std::function<void(bool)> done);

    /// Handles a message of this protocol; false when it is another's.
    bool handle(const peer_info& from, const wire::messageT& message);
    void peer_connected(const peer_info& peer);

    /// Whether this instance vouches for its number.
    [[nodiscard]] bool confirms() const;
    /// Whether keyed routes may be served.
    [[nodiscard]] bool is_fresh();
    /// Whether an announced number's outcome is still open here.
    [[nodiscard]] bool has_pending_announcements() const noexcept { return !this->pending.empty(); }

private:
    struct announcement {
        config_number number;
        std::string patch_id;
        std::set<incarnation_id> acknowledged;
        handler done;
        timer timeout;
    };

    void handle_announce(const peer_info& from, const wire::announceT& message);
    void handle_ack(const peer_info& from, const wire::announce_ackT& message);
    void handle_entries(const peer_info& from, const wire::entries_replyT& message);
    void request_entries(incarnation_id from);
    void send_head(incarnation_id to, std::uint64_t after);
    void check_majority();
    void check_in_force();
    void poll_peers();
    void resolve_pending();

    loop& owner;
    mesh& network;
    heartbeat_service& heartbeats;
    config_follower& follower;
    configuration& config;
    std::optional<announcement> own_announcement;
    /// Announcements of others and of this instance whose outcome is not known here.
    open_announcements pending;
    struct in_force_waiter {
        config_number number;
        time_point limit;
        std::function<void(bool)> done;
    };
    std::vector<in_force_waiter> in_force_waiters;
    timer poll_timer;
    /// Last result of the freshness rule, and when it was worked out.
    bool cached_freshness{false};
    time_point freshness_checked_at;
    bool is_refreshing{false};
};

} // namespace knapweedknot
