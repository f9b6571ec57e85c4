#pragma once

#include <compare>
#include <cstdint>

#include "base/digest.h"
#include "base/ids.h"

/// \file
/// The order in which instances are preferred, the same on all of them. Pure and thread safe.

namespace knapweedknot {

/// Rank of an instance; smaller is better. Strong machines come first, and a hash breaks ties.
struct instance_rank {
    double negative_capacity{0};
    std::uint64_t hash{0};

    friend auto operator<=>(const instance_rank&, const instance_rank&) = default;
};

/// Rank of \p instance, whose machine sustains \p capacity requests per second.
[[nodiscard]] inline instance_rank rank_of(const instance_id& instance, double capacity) {
    return {-capacity, hash64(instance.value)};
}

} // namespace knapweedknot
