#pragma once

#include "base/clock.h"
#include "decide/latency_model.h"

/// \file
/// When a request that is running at one target is also sent to a second one.

namespace knapweedknot {

/// An attempt that has no response yet.
struct slow_attempt {
    duration age{duration::zero()};
    /// True if its target is ejected.
    bool target_ejected{false};
};

/// Age from which an attempt counts as slow: late enough for most responses to have arrived, and
/// early enough for a second attempt to meet the latency target. Thread safe.
[[nodiscard]] duration hedging_delay(const latency_model& model, duration latency_target);

/// True when an idempotent request with this only attempt should be sent to a second target. Thread
/// safe.
[[nodiscard]] bool is_hedge_due(const slow_attempt& attempt, const latency_model& model,
                                duration latency_target);

} // namespace knapweedknot
