#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

/// \file
/// Assignment of the fleet's seats to instances: the record in the store, and the change that one
/// instance should make to it by compare-and-swap. A seat is a fixed fraction of every client
/// account's rate limit, and a vote. All functions are pure and thread safe.

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

/// The stored record. The seats of all holders never add up to more than total_seats.
struct seat_record {
    int total_seats{0};
    std::vector<seat_holder> holders;
    friend bool operator==(const seat_record&, const seat_record&) = default;
};

/// What the planning instance knows about itself and the other holders.
struct seat_plan_input {
    instance_id self;
    incarnation_id incarnation;
    /// Seats that are under no lease any more and may be released now.
    int releasable{0};
    bool leaving{false};
    /// Holders whose process has ended for certain.
    std::vector<incarnation_id> terminated;
    std::string peers_address;
};

/// Seats that no instance holds.
[[nodiscard]] int free_seats(const seat_record& record) noexcept;

/// Entry of \p incarnation, or null.
[[nodiscard]] const seat_holder* find_holder(const seat_record& record,
                                             incarnation_id incarnation) noexcept;

/// Seats above the even share that \p incarnation should release for holders below it.
[[nodiscard]] int surplus_seats(const seat_record& record, incarnation_id incarnation) noexcept;

/// The record that the planning instance should write, or nothing when no change is due. The
/// instance adds itself, inherits the seats of its earlier incarnations, removes holders that have
/// terminated, releases surplus seats, claims free seats up to the even share, and removes itself
/// when it is leaving.
[[nodiscard]] std::optional<seat_record> plan_seats(const seat_record& record,
                                                    const seat_plan_input& input);

/// JSON text of the record.
[[nodiscard]] std::string encode_seats(const seat_record& record);
/// Parses the JSON text of a record. Returns nothing when the text is malformed or holders have
/// more seats than there are.
[[nodiscard]] std::optional<seat_record> decode_seats(const std::string& text);

} // namespace knapweedknot
