#pragma once

#include <optional>

#include "base/clock.h"
#include "event/http_message.h"
#include "proxy/header_names.h"

/// \file
/// What a target says about itself in the headers of its responses.

namespace knapweedknot {

/// Announcement in one response.
struct target_announcement {
    /// The target is leaving and must not get further requests.
    bool leaving{false};
    /// The target must not get requests from this instance for this long.
    std::optional<duration> pause;
    /// Time until the target is warm, if it is in warm-up.
    std::optional<duration> warm_up_left;
};

/// Reads the announcement in \p response. A pause is only read from a 503 response; a value that
/// is not a number of seconds from 0 to an hour is ignored, with a log line, and so is a warm-up
/// that is not a number of milliseconds from 0 to a day. Thread safe.
[[nodiscard]] target_announcement read_announcement(const http_response& response,
                                                    const header_names& names);

} // namespace knapweedknot
