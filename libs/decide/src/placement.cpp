#include "decide/placement.h"

#include <algorithm>
#include <cassert>

#include "base/digest.h"

namespace knapweedknot {

slot_id slot_of(const account_id& account, std::uint32_t slot_count) noexcept {
    assert(slot_count > 0);
    return slot_id{static_cast<std::uint32_t>(hash64(account.value) % slot_count)};
}

std::uint64_t placement_weight(slot_id slot, const instance_id& instance) noexcept {
    // Multiplies by the 64-bit golden ratio so that adjacent slots get unrelated seeds.
    return hash64(instance.value, (std::uint64_t{slot.value} + 1) * 0x9E3779B97F4A7C15ULL);
}

std::vector<instance_id> rank_instances(slot_id slot, std::vector<instance_id> candidates) {
    std::sort(candidates.begin(), candidates.end(),
              [slot](const instance_id& left, const instance_id& right) {
                  const auto left_weight = placement_weight(slot, left);
                  const auto right_weight = placement_weight(slot, right);
                  return left_weight != right_weight ? left_weight > right_weight : left < right;
              });
    return candidates;
}

} // namespace knapweedknot
