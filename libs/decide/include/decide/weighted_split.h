#pragma once

#include <cstddef>
#include <vector>

/// \file
/// Distribution of requests over parts by weight, evenly in time (smooth weighted round robin).

namespace knapweedknot {

/// What each part is owed.
struct weighted_split {
    std::vector<double> weights;
    std::vector<double> credits;
};

/// A split that owes nobody yet.
/// \pre weights are greater than zero
[[nodiscard]] weighted_split make_weighted_split(std::vector<double> weights);

/// Position of the part that gets the next request. Over any number of requests each part's share
/// differs from its weight by less than one request. Not thread safe.
/// \pre there is a part
[[nodiscard]] std::size_t next_part(weighted_split& split);

} // namespace knapweedknot
