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
/// Acquires and returns this instance's seats through the seat record in the store, keeps the store
/// lease that protects them alive, and determines how many may back quota leases.

namespace knapweedknot {

/// Options of the seat manager.
struct seat_manager_options {
    /// Seats of the fleet; used when this instance creates the record.
    int total_seats{128};
    duration store_lease_ttl{seconds(43'200)};
    /// Time after which every quota lease issued earlier has expired at its broker, whatever the
    /// clock drift.
    duration quota_lease_timeout{milliseconds(1818)};
    /// Longest wait of one watch of the record.
    duration watch_wait{seconds(60)};
};

/// Manages the seats of one instance. Not thread safe.
class seat_manager {
public:
    seat_manager(loop& owner, store_client& store, config_follower& follower, const peer_info& self,
                 const seat_manager_options& options);

    void start();
    /// Seats that may back quota leases issued at \p now. Zero when such a lease could outlive the
    /// store lease.
    [[nodiscard]] int leasable_seats(time_point now) const;
    /// Seats that count in configuration quorums. Zero after the store lease has expired.
    [[nodiscard]] int voting_seats(time_point now) const;
    /// Newest record read; before the first read it has no holders and the configured total.
    [[nodiscard]] const seat_record& record() const noexcept { return this->current; }
    /// Records that the process \p holder has definitely terminated.
    void mark_terminated(incarnation_id holder);
    /// Reads the holder key of \p holder and marks it terminated if its store lease has expired.
    void check_lease(incarnation_id holder);
    /// Returns all seats. Calls \p done when the record no longer names this instance, or when the
    /// store does not answer.
    void leave(std::function<void()> done);
    /// Called with the peer address of each holder in a newly read record.
    std::function<void(const endpoint&)> on_peer_address;
    /// While this returns true, no surplus seats are returned.
    std::function<bool()> must_keep_seats;

private:
    void watch();
    void receive(const store_value& value);
    void reconcile();
    void write_record(const seat_record& planned);
    void handle_write(const seat_record& planned, const result<write_result>& outcome);
    void read_record();
    void renew_lease();
    void handle_lease(const result<store_lease>& granted, time_point requested_at);
    void write_holder_key();
    void withhold_surplus();
    [[nodiscard]] seat_plan_input view(time_point now) const;
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
    /// Held seats that were acquired before the last read of the head record. Others do not count
    /// yet: this instance might confirm an outdated configuration with them.
    int confirmed_seats{0};
    /// Surplus seats that no longer back quota leases, and since when.
    int withheld_seats{0};
    time_point withheld_since;
    time_point leasing_starts;
    std::optional<store_lease> held_lease;
    time_point lease_expires;
    /// Whether the holder key, which lets others observe the store lease, is in the store.
    bool is_holder_key_written{false};
    std::mt19937_64 random_engine;
    timer reconcile_timer;
    timer write_timer;
    timer watch_timer;
    timer lease_timer;
};

} // namespace knapweedknot
