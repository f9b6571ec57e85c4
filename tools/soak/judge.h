#pragma once

#include <ostream>

#include "records.h"

/// \file
/// Judges whether requests were lost, from what callers and targets saw.

namespace knapweedknot::soak {

/// Numbers of requests by judgement.
struct verdict {
    std::size_t attempts{0};
    std::size_t answered{0};
    /// Lost around a stop, a SIGHUP or a policy.
    std::size_t lost{0};
    /// Ended without a complete response at no planned work.
    std::size_t unplanned{0};
    /// Ended without a response that the caller could not have taken within the grace.
    std::size_t too_slow{0};
    /// Connections that ended without a response for a reason that excuses it.
    std::size_t excused{0};
};

/// Judges all attempts of \p seen and writes a line to \p report for each without a response.
[[nodiscard]] verdict judge(const records& seen, std::ostream& report);

} // namespace knapweedknot::soak
