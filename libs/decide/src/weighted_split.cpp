#include "decide/weighted_split.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace knapweedknot {

weighted_split make_weighted_split(std::vector<double> weights) {
    const std::size_t parts = weights.size();
    return {std::move(weights), std::vector<double>(parts, 0)};
}

std::size_t next_part(weighted_split& split) {
    assert(!split.weights.empty());
    const double total = std::accumulate(split.weights.begin(), split.weights.end(), 0.0);
    for (std::size_t i = 0; i < split.weights.size(); ++i) {
        split.credits[i] += split.weights[i];
    }
    const auto richest = std::max_element(split.credits.begin(), split.credits.end());
    *richest -= total;
    return static_cast<std::size_t>(richest - split.credits.begin());
}

} // namespace knapweedknot
