#include "base/memory_relief.h"

#include <tuple>

namespace knapweedknot {

namespace {

bool may_be_rejected(const memory_holder& holder, bool responses_wait,
                     const relief_policy& policy) {
    switch (holder.state) {
    case holder_state::reading:
        return holder.stalled >= policy.caller_stall;
    case holder_state::paused:
        return holder.stalled >= policy.longest_pause;
    case holder_state::sending:
        return responses_wait && holder.stalled >= policy.caller_stall;
    }
    return false;
}

/// Position of a holder in the order of rejection: the lowest first.
auto rank_of(const memory_holder& holder) {
    const auto bytes = static_cast<std::int64_t>(holder.bytes);
    switch (holder.state) {
    case holder_state::sending:
        return std::tuple(0, -bytes, -holder.stalled);
    case holder_state::reading:
        return std::tuple(1, bytes, -holder.stalled);
    case holder_state::paused:
        break;
    }
    return std::tuple(holder.is_over_its_part ? 2 : 3, bytes, -holder.stalled);
}

} // namespace

std::optional<std::size_t> choose_rejected(const std::vector<memory_holder>& holders,
                                           bool responses_wait, const relief_policy& policy) {
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].bytes > 0 && may_be_rejected(holders[i], responses_wait, policy) &&
            (!chosen || rank_of(holders[i]) < rank_of(holders[*chosen]))) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace knapweedknot
