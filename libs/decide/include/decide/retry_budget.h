#pragma once

#include <algorithm>

/// \file
/// Limits retries to a share of the first attempts, so that retries do not add much load to a
/// failing service. Not thread safe.

namespace knapweedknot {

/// Number of retries available now, including fractions.
struct retry_budget {
    double available{1};
};

/// Maximum number of retries that accumulate.
inline constexpr double max_retry_budget = 10;

/// Records a first attempt, which adds \p share of a retry to the budget.
inline void record_attempt(retry_budget& budget, double share) noexcept {
    budget.available = std::min(max_retry_budget, budget.available + share);
}

/// Takes one retry from the budget. False when less than one is left.
[[nodiscard]] inline bool take_retry(retry_budget& budget) noexcept {
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace knapweedknot
