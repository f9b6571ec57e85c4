#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

#include "base/digest.h"
#include "base/ids.h"

/// \file
/// Rendezvous hashing: instances that know the same members rank them alike for each item, and a
/// change of one member leaves the order of the others as it is.

namespace knapweedknot {

/// Weight of an instance for an item; the incarnation separates equal hashes.
using rendezvous_rank = std::pair<std::uint64_t, incarnation_id>;

/// Weight of \p instance for the item with the hash \p item. Thread safe.
[[nodiscard]] inline rendezvous_rank rendezvous_weight(incarnation_id instance,
                                                       std::uint64_t item) {
    const std::string_view bytes(reinterpret_cast<const char*>(&instance.value),
                                 sizeof instance.value);
    return {hash64(bytes, item), instance};
}

} // namespace knapweedknot
