#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/seat_manager.h"
#include "decide/freshness.h"
#include "decide/lease_table.h"
#include "decide/slot_limiter.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Heartbeats between instances. They issue quota leases on this instance's seats to the brokers of
/// the slots, deliver the leases that others issue to this instance, and carry each peer's
/// configuration number.

namespace knapweedknot {

/// Number of slots that client accounts are hashed to. The heartbeat has one bit for each.
inline constexpr std::uint32_t slot_count = 128;

/// Options of the heartbeat service.
struct heartbeat_options {
    duration heartbeat_interval{milliseconds(800)};
    lease_times times;
    freshness_times freshness;
};

/// State of a peer as known from its connection and its heartbeats.
struct peer_status {
    peer_info info;
    bool connected{false};
    bool leaving{false};
    time_point last_heard;
    /// Timestamp in the peer's last heartbeat, in ms of the peer's clock; echoed back to it.
    std::uint32_t last_timestamp{0};
    /// Greatest processed sequence number of the peer; zero for none.
    std::uint32_t last_sequence{0};
    int held_seats{0};
    int leased_seats{0};
    config_number number;
    /// Whether the peer confirms the number.
    bool confirms{false};
    /// Local time at which the heartbeat that the peer echoed last was sent. What the peer reported
    /// is newer than this. Empty before the first echo.
    std::optional<time_point> as_of;
};

/// Sends and handles heartbeats, and selects the brokers of the slots. Not thread safe.
class heartbeat_service {
public:
    heartbeat_service(loop& owner, mesh& network, seat_manager& seats,
                      const heartbeat_options& options);

    void start();
    void handle_heartbeat(const peer_info& from, const wire::heartbeat_fields& fields);
    void peer_connected(const peer_info& peer);
    void peer_disconnected(const peer_info& peer);
    /// Sends a heartbeat to one peer at once, if it is connected.
    void send_heartbeat_now(incarnation_id to);
    /// Announces that this instance is leaving and no longer brokers slots; others then issue no
    /// more quota leases to it.
    void set_leaving();
    /// Supply the configuration number that heartbeats report, and whether this instance confirms
    /// it.
    std::function<config_number()> own_config_number;
    std::function<bool()> own_confirmation;

    /// Local state of the slot. It has tokens only while quota leases on it are in force.
    [[nodiscard]] slot_limiter& slot(slot_id id) { return this->slots.at(id.value); }
    /// Instance that should broker the slot, as seen from here.
    [[nodiscard]] incarnation_id broker_of(slot_id id) const { return this->brokers.at(id.value); }
    /// Whether this instance should broker the slot.
    [[nodiscard]] bool is_broker_of(slot_id id) const {
        return this->broker_of(id) == this->network.self().incarnation;
    }
    [[nodiscard]] const std::map<incarnation_id, peer_status>& peers() const noexcept {
        return this->statuses;
    }
    /// Candidate brokers of slot \p id, in the order in which they should serve it.
    [[nodiscard]] std::vector<peer_info> ranked_instances(slot_id id) const;
    /// Latest configuration confirmations of all peers and of this instance.
    [[nodiscard]] std::vector<config_confirmation> confirmations(time_point now) const;
    [[nodiscard]] int own_voting_seats(time_point now) const {
        return this->seats.voting_seats(now);
    }
    [[nodiscard]] int own_leasable_seats(time_point now) const {
        return this->seats.leasable_seats(now);
    }
    [[nodiscard]] int total_seats() const noexcept { return this->seats.record().total_seats; }
    [[nodiscard]] const freshness_times& freshness() const noexcept {
        return this->options.freshness;
    }

private:
    void send_round();
    void send_heartbeat(incarnation_id to, time_point now);
    void issue_own_leases(time_point now);
    void choose_brokers(time_point now);
    void schedule_round();
    void accept_leases(peer_status& from, const wire::heartbeat_fields& fields, time_point expires,
                       time_point now);
    /// Instances that may broker slots: this one unless it is leaving, and the live peers that are
    /// not leaving.
    [[nodiscard]] std::vector<peer_info> candidates(time_point now) const;
    [[nodiscard]] bool is_candidate(const peer_status& peer, time_point now) const;
    [[nodiscard]] std::uint32_t to_timestamp(time_point time) const;
    [[nodiscard]] time_point from_timestamp(std::uint32_t timestamp, time_point now) const;

    loop& owner;
    mesh& network;
    seat_manager& seats;
    heartbeat_options options;
    time_point epoch;
    lease_table issued_leases;
    std::vector<slot_limiter> slots;
    std::vector<incarnation_id> brokers;
    std::map<incarnation_id, peer_status> statuses;
    std::uint32_t sequence{0};
    bool leaving{false};
    time_point last_round_at;
    timer round_timer;
    timer extra_round_timer;
    bool is_round_scheduled{false};
};

} // namespace knapweedknot
