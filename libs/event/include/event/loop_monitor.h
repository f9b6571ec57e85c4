#pragma once

#include "base/clock.h"
#include "event/loop.h"

/// \file
/// Measures how late a loop runs its callbacks: the time that whatever arrives waits in the
/// process.

namespace knapweedknot {

/// Watches one loop. Not thread safe; lives on the thread of its loop.
class loop_monitor {
public:
    explicit loop_monitor(loop& owner);

    /// Longest lateness of a callback since the last call.
    [[nodiscard]] duration take_worst() noexcept;

private:
    void look();

    time_point expected;
    duration worst{duration::zero()};
    timer looking;
};

} // namespace knapweedknot
