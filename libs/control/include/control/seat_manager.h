#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>

#include "control/config_follower.h"
#include "decide/seat_plan.h"
#include "event/loop.h"
#include "peers/peer_info.h"
#include "platform/store_client.h"

/// \file
/// Holds this instance's seats: the record in the store, the lease of the holder, and the seats
/// that may be lent now.

namespace knapweedknot {

/// Parameters of seat keeping.
struct seat_manager_options {
    int total_seats{128};
    duration store_lease_ttl{seconds(43'200)};
    /// Time after which a loan made before has surely ended.
    duration quota_lease_timeout{milliseconds(1818)};
    duration watch_wait{seconds(60)};
};

/// Keeps seats for one instance. Not thread safe.
class seat_manager {
public:
    seat_manager(loop& owner, store_client& store, config_follower& follower, const peer_info& self,
                 const seat_manager_options& options);

    void start();
    /// Seats whose share may be lent now. Zero after the lease has lapsed by this clock.
    [[nodiscard]] int leasable_seats(time_point now) const;
    /// Seats that this instance holds for votes on configurations.
    [[nodiscard]] int voting_seats(time_point now) const;
    /// Newest record that was read; its total is the configured one before the first read.
    [[nodiscard]] const seat_record& record() const noexcept { return this->current; }
    /// Notes that the process \p holder has ended for certain.
    void mark_terminated(incarnation_id holder);
    /// Reads whether the lease of \p holder still stands; if not, it is gone.
    void check_lease(incarnation_id holder);
    /// Gives all seats back. \p done is called when the record no longer names this instance, or
    /// when the store does not answer.
    void leave(std::function<void()> done);
    /// Called for each address of a holder in a record that was read.
    std::function<void(const endpoint&)> on_peer_address;
    /// While this returns true, no seats are given away.
    std::function<bool()> must_keep_seats;

private:
    void watch();
    void receive(const store_value& value);
    void reconcile();
    void write_record(const seat_record& planned);
    void handle_write(const seat_record& planned, const result<swap_outcome>& outcome);
    void read_record();
    void renew_lease();
    void handle_lease(const result<store_lease>& granted, time_point requested_at);
    void write_holder_key();
    void withhold_surplus();
    [[nodiscard]] seat_view view(time_point now) const;
    [[nodiscard]] int held_seats() const;

    loop& owner;
    store_client& store;
    config_follower& follower;
    peer_info self;
    seat_manager_options options;
    seat_record current;
    std::uint64_t revision{0};
    bool has_read{false};
    bool is_writing{false};
    bool leaving{false};
    std::function<void()> on_left;
    std::vector<incarnation_id> terminated;
    /// Seats that are confirmed and backed by a read of the head record.
    int confirmed_seats{0};
    /// Seats that are no longer lent, and since when.
    int withheld_seats{0};
    time_point withheld_since;
    time_point leasing_starts;
    std::optional<store_lease> held_lease;
    time_point lease_expires;
    /// True once the value that shows the lease to others is in the store.
    bool is_holder_key_written{false};
    std::mt19937_64 random_engine;
    timer reconcile_timer;
    timer write_timer;
    timer watch_timer;
    timer lease_timer;
};

} // namespace knapweedknot
