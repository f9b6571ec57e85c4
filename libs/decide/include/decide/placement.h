#pragma once

#include <vector>

#include "base/ids.h"

/// \file
/// Assigns client accounts to slots, and slots to instances by rendezvous hashing (Thaler and
/// Ravishankar, 1998). All functions are pure and thread safe.

namespace knapweedknot {

/// Slot of \p account among \p slot_count slots.
/// \pre slot_count > 0
[[nodiscard]] slot_id slot_of(const account_id& account, std::uint32_t slot_count) noexcept;

/// Rendezvous weight of \p instance for \p slot; the instance with the greatest weight ranks first.
[[nodiscard]] std::uint64_t placement_weight(slot_id slot, const instance_id& instance) noexcept;

/// Sorts \p candidates by descending weight for \p slot; equal weights by ascending instance.
[[nodiscard]] std::vector<instance_id> rank_instances(slot_id slot,
                                                      std::vector<instance_id> candidates);

} // namespace knapweedknot
