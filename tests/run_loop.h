#pragma once

#include "base/clock.h"
#include "event/loop.h"

/// \file
/// Running an event loop in tests until something has happened.

namespace knapweedknot::harness {

/// Runs \p events until \p condition holds, for \p limit at most. Returns whether it holds.
template <typename Condition>
bool run_until(loop& events, Condition condition, duration limit = seconds(5)) {
    const time_point end = boot_clock::now() + limit;
    const timer poll = events.every(milliseconds(1), [&] {
        if (condition() || boot_clock::now() > end) {
            events.stop();
        }
    });
    events.run();
    return condition();
}

/// Runs \p events for \p time.
inline void run_for(loop& events, duration time) {
    run_until(
        events, [] { return false; }, time);
}

} // namespace knapweedknot::harness
