#include "decide/hedging.h"

#include <algorithm>

namespace knapweedknot {

namespace {

constexpr double p93 = 0.93;
constexpr double p75 = 0.75;
constexpr double p50 = 0.5;

} // namespace

duration hedging_delay(const latency_model& model, duration latency_target) {
    const duration in_time = latency_target - model.quantile(p75);
    return std::min(model.quantile(p93), std::max(model.quantile(p50), in_time));
}

bool is_hedge_due(const slow_attempt& attempt, const latency_model& model,
                  duration latency_target) {
    if (attempt.target_ejected && attempt.age > model.quantile(p50)) {
        return true;
    }
    return attempt.age >= hedging_delay(model, latency_target);
}

} // namespace knapweedknot
