#include "decide/target_memory.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace knapweedknot {

namespace {

// Cost of holding as many bytes more than another target as the body has. Of 12 uploads to three
// targets, the fullest target then holds 98 kB more than the mean; with 0.25 it is 112 kB, without
// this term 136 kB, and 87 kB if the bytes alone decide.
constexpr double cost_per_body = 0.5;
// Exceeds the bonuses for an open connection and for the own failure domain together, but not the
// cost of a target that probably hangs.
constexpr double max_surplus_cost = 0.6;

bool is_reduced(const service_memory& memory, time_point now) {
    return now < memory.reduced_until;
}

} // namespace

std::uint64_t assumed_capacity(int slots, const service_memory& memory, time_point now) noexcept {
    const std::uint64_t capacity =
        static_cast<std::uint64_t>(std::max(1, slots)) * assumed_bytes_per_slot;
    return is_reduced(memory, now) ? capacity / 2 : capacity;
}

bool record_crash(service_memory& memory, std::uint64_t in_flight, int slots,
                  time_point now) noexcept {
    if (in_flight <= assumed_capacity(slots, memory, now)) {
        return false;
    }
    const bool was_reduced = is_reduced(memory, now);
    memory.reduced_until = now + reduced_capacity_time;
    return !was_reduced;
}

bool has_memory_for(std::uint64_t body, std::uint64_t in_flight, std::uint64_t capacity) noexcept {
    return body == 0 || in_flight == 0 || (in_flight < capacity && body <= capacity - in_flight);
}

double memory_cost(std::uint64_t body, std::uint64_t in_flight, std::uint64_t least,
                   std::uint64_t capacity) noexcept {
    if (body == 0) {
        return 0;
    }
    const double surplus =
        static_cast<double>(in_flight - std::min(in_flight, least)) / static_cast<double>(body);
    const double fill = static_cast<double>(in_flight) / static_cast<double>(capacity);
    return std::min(max_surplus_cost, surplus * cost_per_body) + fill;
}

void apply_memory(std::vector<target_candidate>& candidates,
                  const std::vector<std::uint64_t>& in_flight, std::uint64_t body,
                  const service_memory& memory, time_point now) {
    assert(candidates.size() == in_flight.size());
    if (body == 0) {
        return;
    }
    std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        target_candidate& candidate = candidates[i];
        const std::uint64_t capacity = assumed_capacity(candidate.slots, memory, now);
        candidate.excluded = candidate.excluded || !has_memory_for(body, in_flight[i], capacity);
        if (candidate.registered && !candidate.excluded) {
            least = std::min(least, in_flight[i]);
        }
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t capacity = assumed_capacity(candidates[i].slots, memory, now);
        candidates[i].memory_cost = memory_cost(body, in_flight[i], least, capacity);
    }
}

} // namespace knapweedknot
