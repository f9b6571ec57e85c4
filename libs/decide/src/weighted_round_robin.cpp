#include "decide/weighted_round_robin.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace knapweedknot {

weighted_round_robin make_weighted_round_robin(std::vector<double> weights) {
    const std::size_t count = weights.size();
    return {std::move(weights), std::vector<double>(count, 0)};
}

std::size_t pick_next(weighted_round_robin& state) {
    assert(!state.weights.empty());
    const double total = std::accumulate(state.weights.begin(), state.weights.end(), 0.0);
    for (std::size_t i = 0; i < state.weights.size(); ++i) {
        state.current_weights[i] += state.weights[i];
    }
    const auto heaviest =
        std::max_element(state.current_weights.begin(), state.current_weights.end());
    *heaviest -= total;
    return static_cast<std::size_t>(heaviest - state.current_weights.begin());
}

} // namespace knapweedknot
