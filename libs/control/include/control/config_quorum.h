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
/// Quorum protocol for configuration changes. Before a configuration number is written, instances
/// that hold more than half of the seats must acknowledge its announcement. An instance that has
/// acknowledged it stops confirming older numbers, so a withdrawn API key stops working everywhere.

namespace knapweedknot {

/// Sends and answers announcements, replicates the head record to peers, and decides whether the
/// configuration of this instance is fresh. Not thread safe.
class config_quorum {
public:
    using handler = std::function<void(result<void>)>;

    config_quorum(loop& owner, mesh& network, heartbeat_service& heartbeats,
                  config_follower& follower, configuration& config);

    /// Announces to all instances that \p number is about to be written. Calls \p done with success
    /// when holders of more than half of the seats have acknowledged it, or with peer_unreachable
    /// after a timeout.
    void announce(config_number number, const std::string& patch_id, handler done);
    /// Tells all instances that the announced write was abandoned.
    void withdraw(config_number number, const std::string& patch_id);
    /// Sends the adopted head record to all connected instances.
    void broadcast_head();
    /// Calls \p done with true when every connected instance has adopted \p number, or with false
    /// when some have not within \p limit. Those serve no route that requires an API key.
    void await_in_force(config_number number, duration limit, std::function<void(bool)> done);

    /// Handles a message of this protocol. Returns false for messages of other protocols.
    bool handle(const peer_info& from, const wire::messageT& message);
    void peer_connected(const peer_info& peer);

    /// Whether this instance confirms its adopted number to others.
    [[nodiscard]] bool confirms() const;
    /// Whether routes that require an API key may be served.
    [[nodiscard]] bool is_fresh();
    /// Whether the outcome of an announced number is unknown here.
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
    /// Announcements, including those of this instance, whose outcome is unknown here.
    pending_announcements pending;
    struct in_force_waiter {
        config_number number;
        time_point limit;
        std::function<void(bool)> done;
    };
    std::vector<in_force_waiter> in_force_waiters;
    timer poll_timer;
    /// Cached result of the freshness check, and when it was computed.
    bool cached_freshness{false};
    time_point freshness_checked_at;
    bool is_refreshing{false};
};

} // namespace knapweedknot
