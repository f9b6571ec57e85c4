#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Decides whether an instance may still serve by its configuration.
///
/// Before a new configuration number is accepted, instances with more than half of the seats
/// acknowledge its announcement. Once the grace period after its acknowledgement has passed, an
/// instance confirms no smaller number. Routes that require an API key are served only while
/// confirmations from more than half of the seats, or a read of the store, are younger than the
/// freshness time. Any two majorities share an instance, so an instance with a superseded
/// configuration soon finds no majority to confirm it. All functions change at most their first
/// argument. Not thread safe.

namespace knapweedknot {

/// Latest statement of an instance about its configuration.
struct config_confirmation {
    int seats{0};
    /// Newest number that the instance had adopted.
    config_number number;
    /// False from the end of the grace period while a newer number is pending (see can_confirm).
    bool confirms{true};
    /// Time, by the local clock, at or before which the statement was made.
    time_point as_of;
};

/// Timing of the freshness check.
struct freshness_times {
    /// How long a confirmation or a read of the store is valid.
    duration lifetime{milliseconds(2000)};
    /// How long an instance still confirms its number after it has acknowledged a newer one.
    duration grace{milliseconds(1000)};
};

/// True while \p number is confirmed by more than half of \p total_seats, or the store was read,
/// less than the lifetime ago.
[[nodiscard]] bool is_fresh(const std::vector<config_confirmation>& confirmations,
                            config_number number, std::optional<time_point> store_read,
                            int total_seats, const freshness_times& times, time_point now);

/// An acknowledged announcement of a newer number; whether it was accepted is not known yet.
struct pending_announcement {
    config_number number;
    time_point acknowledged_at;
};

/// Pending announcements by patch id. The announcing instance includes its own, because its write
/// may take effect without the instance receiving the answer.
using pending_announcements = std::map<std::string, pending_announcement>;

/// Records that the announcement of \p number by the patch \p patch_id was acknowledged at \p now.
/// A repeated announcement keeps its first time.
void record_announcement(pending_announcements& pending, const std::string& patch_id,
                         config_number number, time_point now);
/// Removes announcements of numbers up to \p adopted: their outcome is known.
void resolve_announcements(pending_announcements& pending, config_number adopted);
/// Removes announcements acknowledged at or before \p write_limit: their write can no longer take
/// effect.
void expire_announcements(pending_announcements& pending, time_point write_limit);

/// Whether an instance with these \p pending announcements may confirm \p adopted.
[[nodiscard]] bool can_confirm(const pending_announcements& pending, config_number adopted,
                               const freshness_times& times, time_point now);

} // namespace knapweedknot
