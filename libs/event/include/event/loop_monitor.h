#pragma once

#include "base/clock.h"
#include "event/loop.h"

/// \file
/// Measures event loop lateness: how long a due callback waits until the loop runs it.

namespace knapweedknot {

/// Measures the lateness of one loop with a periodic timer. Not thread safe; use it only on the
/// thread of its loop.
class loop_monitor {
public:
    explicit loop_monitor(loop& owner);

    /// Returns the maximum lateness since the last call and resets it.
    [[nodiscard]] duration take_max_lateness() noexcept;

private:
    void measure();

    time_point expected;
    duration max_lateness{duration::zero()};
    timer probe_timer;
};

} // namespace knapweedknot
