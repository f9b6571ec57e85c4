#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Whether an instance may still act on its configuration.
///
/// Before a number is accepted, instances with more than half of the seats acknowledge that it is
/// being written. From a while after its acknowledgement an instance vouches for no smaller
/// number. Keyed routes are served only on the word of more than half of the seats, or of the
/// store itself, not older than the freshness time. Both majorities share an instance, so a
/// configuration that was replaced is soon used nowhere. All functions are pure and thread safe.

namespace knapweedknot {

/// What a peer last said, or the instance itself.
struct config_voucher {
    int seats{0};
    /// Newest number that the peer had adopted.
    config_number number;
    /// False while the peer knows of a newer number whose outcome it has not learnt.
    bool vouches{true};
    /// A moment, by our clock, before the peer said so.
    time_point as_of;
};

/// Times of the freshness rule.
struct freshness_times {
    /// How long a voucher or a read of the store counts.
    duration lifetime{milliseconds(2000)};
    /// How long an instance goes on vouching after it acknowledged a newer number.
    duration grace{milliseconds(1000)};
};

/// True while vouchers of more than half of \p total_seats for \p number, or a read of the store,
/// are not older than the lifetime at \p now.
[[nodiscard]] bool is_fresh(const std::vector<config_voucher>& vouchers, config_number number,
                            std::optional<time_point> store_read, int total_seats,
                            const freshness_times& times, time_point now);

/// A newer number that an instance has acknowledged and whose outcome it does not know.
struct pending_number {
    config_number number;
    time_point acknowledged;
};

/// The announced numbers, by patch, whose outcome an instance does not know. The announcing
/// instance keeps its own ones here too: its write may take effect without its hearing of it.
using open_announcements = std::map<std::string, pending_number>;

/// Notes that the write of \p number by the patch \p patch_id was acknowledged at \p now. A patch
/// that is announced again keeps its time.
void note_announcement(open_announcements& open, const std::string& patch_id, config_number number,
                       time_point now);
/// Forgets announcements that \p adopted settles.
void settle_announcements(open_announcements& open, config_number adopted);
/// Forgets announcements whose write can no longer take effect, because they were acknowledged
/// before \p write_limit.
void expire_announcements(open_announcements& open, time_point write_limit);

/// Whether an instance with \p open announcements still vouches for \p adopted.
[[nodiscard]] bool still_vouches(const open_announcements& open, config_number adopted,
                                 const freshness_times& times, time_point now);

} // namespace knapweedknot
