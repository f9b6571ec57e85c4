#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/seat_keeper.h"
#include "decide/freshness.h"
#include "decide/lease_table.h"
#include "decide/slot_limiter.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Heartbeats: lends this instance's seats, holds what others have lent to it, and keeps what they
/// say of their configuration.

namespace knapweedknot {

/// Slots that client accounts are spread over; the heartbeat has one bit for each.
inline constexpr std::uint32_t slot_count = 128;

/// Parameters of the heartbeats.
struct loan_keeper_options {
    duration heartbeat_interval{milliseconds(800)};
    lease_times times;
    freshness_times freshness;
};

/// What this instance knows of a peer.
struct peer_status {
    peer_info info;
    bool connected{false};
    bool leaving{false};
    time_point last_heard;
    /// Peer's clock in its last heartbeat, echoed back to it.
    std::uint32_t stamp{0};
    /// Greatest sequence of the peer that was acted on.
    std::uint32_t processed{0};
    int held_seats{0};
    int lent_seats{0};
    config_number number;
    bool vouches{false};
    /// Our clock when we sent what the peer had heard; nothing before the first echo.
    std::optional<time_point> as_of;
};

/// Sends and handles heartbeats. Not thread safe.
class loan_keeper {
public:
    loan_keeper(loop& owner, mesh& network, seat_keeper& seats, const loan_keeper_options& options);

    void start();
    void handle_heartbeat(const peer_info& from, const wire::heartbeat_fields& fields);
    void peer_connected(const peer_info& peer);
    void peer_disconnected(const peer_info& peer);
    /// Sends a heartbeat to one peer now, if it is connected.
    void beat_now(incarnation_id to);
    /// From now on this instance takes no loans and no seats.
    void set_leaving();
    /// What this instance says of its configuration.
    std::function<config_number()> own_number;
    std::function<bool()> own_vouch;

    /// The slot's state here; holds tokens only while others lend to this instance.
    [[nodiscard]] slot_limiter& slot(slot_id id) { return this->slots.at(id.value); }
    /// Instance that this one expects to broker the slot.
    [[nodiscard]] incarnation_id broker_of(slot_id id) const { return this->choices.at(id.value); }
    [[nodiscard]] bool is_own_choice(slot_id id) const {
        return this->broker_of(id) == this->network.self().incarnation;
    }
    [[nodiscard]] const std::map<incarnation_id, peer_status>& peers() const noexcept {
        return this->statuses;
    }
    /// Live peers and this instance, in the order in which they should serve \p id.
    [[nodiscard]] std::vector<peer_info> ranked(slot_id id) const;
    /// Vouchers of all peers and of this instance.
    [[nodiscard]] std::vector<config_confirmation> vouchers(time_point now) const;
    [[nodiscard]] int own_voting_seats(time_point now) const {
        return this->seats.voting_seats(now);
    }
    [[nodiscard]] int own_lendable_seats(time_point now) const {
        return this->seats.lendable_seats(now);
    }
    [[nodiscard]] int total_seats() const noexcept { return this->seats.record().total_seats; }
    [[nodiscard]] const freshness_times& freshness() const noexcept {
        return this->options.freshness;
    }

private:
    void beat_all();
    void beat(incarnation_id to, time_point now);
    void lend_to_self(time_point now);
    void choose(time_point now);
    void beat_soon();
    void take_loans(peer_status& from, const wire::heartbeat_fields& fields, time_point until,
                    time_point now);
    /// Instances that may broker slots: this one unless it leaves, and the peers heard lately.
    [[nodiscard]] std::vector<peer_info> candidates(time_point now) const;
    [[nodiscard]] bool is_candidate(const peer_status& peer, time_point now) const;
    [[nodiscard]] std::uint32_t stamp_of(time_point moment) const;
    [[nodiscard]] time_point moment_of(std::uint32_t stamp, time_point now) const;

    loop& owner;
    mesh& network;
    seat_keeper& seats;
    loan_keeper_options options;
    time_point epoch;
    lease_table book;
    std::vector<slot_limiter> slots;
    std::vector<incarnation_id> choices;
    std::map<incarnation_id, peer_status> statuses;
    std::uint32_t sequence{0};
    bool leaving{false};
    time_point last_round;
    timer rounds;
    timer soon;
    bool soon_planned{false};
};

} // namespace knapweedknot
