#pragma once

#include <algorithm>

/// \file
/// Limits retries to a share of the first attempts, so that a failing service is not loaded more
/// for failing. All functions are pure but for their first argument. Not thread safe.

namespace knapweedknot {

/// Retries that may be made now, fractions included.
struct retry_budget {
    double available{1};
};

/// Most retries that can be saved up.
inline constexpr double retry_budget_limit = 10;

/// Notes a first attempt, which earns \p share of a retry.
inline void note_attempt(retry_budget& budget, double share) noexcept {
    budget.available = std::min(retry_budget_limit, budget.available + share);
}

/// Takes one retry. False when none is left.
[[nodiscard]] inline bool take_retry(retry_budget& budget) noexcept {
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace knapweedknot
