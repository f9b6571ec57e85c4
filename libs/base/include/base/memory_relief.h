#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

/// \file
/// Whom an instance rejects when its budget of memory is used up and nobody goes on. Thread safe.

namespace knapweedknot {

/// What a holder of bytes is doing. A request that was forwarded to a target is neither.
enum class holder_state : std::uint8_t {
    /// Its request arrives, or should.
    reading,
    /// No more of its request is read, for want of bytes.
    paused,
    /// Its responses wait for the caller to take them.
    sending,
};

/// A caller's connection that could be rejected.
struct memory_holder {
    holder_state state{};
    std::size_t bytes{0};
    /// Time since its last byte was read or taken.
    duration stalled{duration::zero()};
    /// Whether its address holds more than its part while others wait.
    bool is_over_its_part{false};
};

/// Times after which a holder may be rejected in favour of another.
struct relief_policy {
    /// A caller that sends nothing, or takes nothing, is given up first. Longer than the resend
    /// timers of a lossy link.
    duration caller_stall{seconds(2)};
    /// How long a paused request waits for others to end.
    duration longest_pause{seconds(1)};
};

/// Index of the holder to reject so that others can go on; empty if none may be rejected yet.
/// Callers that stall by themselves come before those that were paused, and of these the ones whose
/// address holds more than its part; then the one of which the least was read, then the one that
/// has stalled longest.
/// \param responses_wait whether target responses wait for bytes: only then do callers give way
///     that take none of their responses, and before all others, the one with the most bytes first
[[nodiscard]] std::optional<std::size_t>
choose_rejected(const std::vector<memory_holder>& holders, bool responses_wait,
                const relief_policy& policy = relief_policy{});

} // namespace knapweedknot
