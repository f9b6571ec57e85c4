#pragma once

#include <cstddef>
#include <vector>

/// \file
/// Smooth weighted round robin: distributes requests by weight, evenly in time.

namespace knapweedknot {

/// Weights and current weights, one of each per choice.
struct weighted_round_robin {
    std::vector<double> weights;
    std::vector<double> current_weights;
};

/// \pre \p weights are greater than zero
[[nodiscard]] weighted_round_robin make_weighted_round_robin(std::vector<double> weights);

/// Index of the choice that gets the next request. After any number of requests, each choice has
/// got its share by weight to within less than one request. Not thread safe.
/// \pre there is at least one weight
[[nodiscard]] std::size_t pick_next(weighted_round_robin& state);

} // namespace knapweedknot
