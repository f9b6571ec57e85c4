#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

/// \file
/// Who holds how many of the fleet's seats: the record in the platform's store, and the change
/// that one instance should make to it by compare-and-swap. All functions are pure and thread
/// safe.

namespace knapweedknot {

/// An instance that holds seats or waits for some.
struct seat_holder {
    instance_id instance;
    incarnation_id incarnation;
    int seats{0};
    /// Where other instances connect to it, "IPV4:PORT".
    std::string peers_address;
    friend bool operator==(const seat_holder&, const seat_holder&) = default;
};

/// The record. The seats of all holders never exceed total_seats.
struct seat_record {
    int total_seats{0};
    std::vector<seat_holder> holders;
    friend bool operator==(const seat_record&, const seat_record&) = default;
};

/// What the planning instance knows of itself and of others.
struct seat_view {
    instance_id self;
    incarnation_id incarnation;
    /// Seats that it no longer lends and may give away now.
    int releasable{0};
    bool leaving{false};
    /// Holders whose process has ended for certain.
    std::vector<incarnation_id> gone;
    std::string peers_address;
};

/// Seats that belong to nobody.
[[nodiscard]] int free_seats(const seat_record& record) noexcept;

/// Holder entry of \p incarnation, or null.
[[nodiscard]] const seat_holder* find_holder(const seat_record& record,
                                             incarnation_id incarnation) noexcept;

/// Seats above the even share that \p incarnation should give away for holders that have less.
[[nodiscard]] int surplus_seats(const seat_record& record, incarnation_id incarnation) noexcept;

/// The record that the planning instance should swap in, or nothing when it should not write.
/// It joins, takes free seats up to the even share, takes over an earlier incarnation of itself,
/// removes holders that are gone, gives surplus seats back, and removes itself when it leaves.
[[nodiscard]] std::optional<seat_record> plan_seats(const seat_record& record,
                                                    const seat_view& view);

/// Text form of the record, and back; nothing when the text is malformed or over-committed.
[[nodiscard]] std::string encode_seats(const seat_record& record);
[[nodiscard]] std::optional<seat_record> decode_seats(const std::string& text);

} // namespace knapweedknot
