#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "decide/target_rotation.h"

/// \file
/// How many bytes of large request bodies a target holds, and whether it has room for another.
///
/// A target crashes when the requests that it holds exceed its memory, which it does not state. Its
/// capacity is assumed from its slots, and halved for a while for all targets of a service after
/// one of them has crashed with more than that in flight.

namespace knapweedknot {

/// Bodies under this size are small: they do not count, since a target with all its slots taken by
/// them holds less than 1/64 of its assumed capacity.
inline constexpr std::size_t large_body_size = std::size_t{64} * 1024;
/// Bytes of a typical large body, of which a target is assumed to hold one per slot.
inline constexpr std::uint64_t assumed_bytes_per_slot = std::uint64_t{4} * 1024 * 1024;
/// Time for which a crash reduces the assumed capacity.
inline constexpr duration reduced_capacity_time = seconds(60);

/// What crashes have shown of the memory of a service's targets.
struct service_memory {
    /// The assumed capacity is halved until then.
    time_point reduced_until;
};

/// Bytes that a body of \p body_size bytes counts at a target: 0 if it is small. Thread safe.
[[nodiscard]] constexpr std::uint64_t counted_bytes(std::size_t body_size) noexcept {
    return body_size < large_body_size ? 0 : body_size;
}

/// Bytes that a target with \p slots is assumed to hold. Thread safe.
[[nodiscard]] std::uint64_t assumed_capacity(int slots, const service_memory& memory,
                                             time_point now) noexcept;

/// Records that a target crashed with \p in_flight counted bytes. True if this reduces the assumed
/// capacity of the service's targets; a crash while it is reduced only prolongs that. Not thread
/// safe.
bool record_crash(service_memory& memory, std::uint64_t in_flight, int slots,
                  time_point now) noexcept;

/// Whether a body of \p body counted bytes may be sent to a target with \p in_flight counted bytes.
/// A target without any may get one body that exceeds its capacity, which otherwise no target could
/// get. Thread safe.
[[nodiscard]] bool has_memory_for(std::uint64_t body, std::uint64_t in_flight,
                                  std::uint64_t capacity) noexcept;

/// Term of the cost of sending a body of \p body counted bytes to a target with \p in_flight, as a
/// share of its slots: 0 for a small body. Compares the target with the one that holds the least,
/// in units of the body, because the memory is not known and most bodies are far from the assumed
/// capacity. Thread safe.
/// \param least least counted bytes in flight to any target that may get the body
[[nodiscard]] double memory_cost(std::uint64_t body, std::uint64_t in_flight, std::uint64_t least,
                                 std::uint64_t capacity) noexcept;

/// Excludes the candidates without room for a body of \p body counted bytes, and sets the memory
/// cost of the others. Changes nothing for a small body. Not thread safe.
/// \param in_flight counted bytes in flight to each candidate; of the same size
void apply_memory(std::vector<target_candidate>& candidates,
                  const std::vector<std::uint64_t>& in_flight, std::uint64_t body,
                  const service_memory& memory, time_point now);

} // namespace knapweedknot
