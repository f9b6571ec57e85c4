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
struct seat_keeper_options {
    int total_seats{128};
    duration lease{seconds(43'200)};
    /// Time after which a loan made before has surely ended.
    duration loan_end{milliseconds(1818)};
    duration watch_wait{seconds(60)};
};

/// Keeps seats for one instance. Not thread safe.
class seat_keeper {
public:
    seat_keeper(loop& owner, store_client& store, config_follower& follower, const peer_info& self,
                const seat_keeper_options& options);

    void start();
    /// Seats whose share may be lent now. Zero after the lease has lapsed by this clock.
    [[nodiscard]] int lendable_seats(time_point now) const;
    /// Seats that this instance holds for votes on configurations.
    [[nodiscard]] int voting_seats(time_point now) const;
    /// Newest record that was read; its total is the configured one before the first read.
    [[nodiscard]] const seat_record& record() const noexcept { return this->known; }
    /// Notes that the process \p holder has ended for certain.
    void note_gone(incarnation_id holder);
    /// Reads whether the lease of \p holder still stands; if not, it is gone.
    void check_lease(incarnation_id holder);
    /// Gives all seats back. \p done is called when the record no longer names this instance, or
    /// when the store does not answer.
    void leave(std::function<void()> done);
    /// Called for each address of a holder in a record that was read.
    std::function<void(const endpoint&)> on_address;
    /// While this returns true, no seats are given away.
    std::function<bool()> must_keep_seats;

private:
    void watch();
    void receive(const store_value& value);
    void act();
    void swap(const seat_record& planned);
    void swapped(const seat_record& planned, const result<swap_outcome>& outcome);
    void reread();
    void renew_lease();
    void lease_granted(const result<store_lease>& granted, time_point asked);
    void write_lease_mark();
    void lower_lending();
    [[nodiscard]] seat_plan_input view(time_point now) const;
    [[nodiscard]] int held_seats() const;

    loop& owner;
    store_client& store;
    config_follower& follower;
    peer_info self;
    seat_keeper_options options;
    seat_record known;
    std::uint64_t revision{0};
    bool has_read{false};
    bool swapping{false};
    bool leaving{false};
    std::function<void()> left;
    std::vector<incarnation_id> gone;
    /// Seats that are confirmed and backed by a read of the head record.
    int confirmed{0};
    /// Seats that are no longer lent, and since when.
    int withheld{0};
    time_point withheld_since;
    time_point may_lend_from;
    std::optional<store_lease> lease;
    time_point lease_until;
    /// True once the value that shows the lease to others is in the store.
    bool lease_marked{false};
    std::mt19937_64 random;
    timer ticking;
    timer pending_swap;
    timer retry_watch;
    timer lease_timer;
};

} // namespace knapweedknot
