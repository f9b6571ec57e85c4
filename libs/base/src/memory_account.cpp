#include "base/memory_account.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace knapweedknot {

namespace {

constexpr std::size_t mib = std::size_t{1024} * 1024;
// What the process needs besides: 13 MiB when idle, 4% of the largest body and response for the
// buffers' own structures, and what the allocator cannot use.
constexpr std::size_t process_bytes = 26 * mib;
// Least part of the machine's memory that is used for callers, on machines that are too small.
constexpr std::size_t least_part = 4;
// A body of 64 MiB and its response, the largest, still fit on a machine with 160 MiB.
constexpr std::size_t request_percent = 55;
constexpr std::size_t percent = 100;
constexpr std::size_t small_reserve_part = 32;

bool is_request(memory_use use) noexcept {
    return use == memory_use::reading || use == memory_use::running;
}

} // namespace

std::string_view to_string(memory_use use) noexcept {
    switch (use) {
    case memory_use::connection:
        return "connection";
    case memory_use::reading:
        return "reading";
    case memory_use::running:
        return "running";
    case memory_use::response:
        return "response";
    case memory_use::sending:
        break;
    }
    return "sending";
}

memory_limits memory_limits_for(std::size_t machine_bytes) noexcept {
    memory_limits limits;
    limits.total = machine_bytes > process_bytes
                       ? std::max(machine_bytes - process_bytes, machine_bytes / least_part)
                       : machine_bytes / least_part;
    limits.requests = limits.total / percent * request_percent;
    limits.small_reserve = limits.total / small_reserve_part;
    limits.per_address = limits.requests / 2;
    return limits;
}

address_memory& memory_account::add_connection(const std::string& ip) {
    const auto found = this->addresses.try_emplace(ip).first;
    found->second.ip = &found->first;
    ++found->second.connections;
    return found->second;
}

void memory_account::remove_connection(address_memory& from) {
    assert(from.connections > 0);
    --from.connections;
    this->forget_if_unused(from);
}

void memory_account::forget_if_unused(const address_memory& from) {
    if (from.connections == 0 && from.bytes == 0) {
        this->addresses.erase(this->addresses.find(*from.ip));
    }
}

void memory_account::add_waiting(address_memory& from) noexcept {
    ++from.waiting;
    ++this->waiting;
}

void memory_account::remove_waiting(address_memory& from) noexcept {
    assert(from.waiting > 0);
    --from.waiting;
    --this->waiting;
}

bool memory_account::has_room(memory_use use, bool is_small, std::size_t more,
                              const address_memory* from) const noexcept {
    const std::size_t kept = is_small ? 0 : this->limits.small_reserve;
    if (this->total + more > this->limits.total - kept) {
        return false;
    }
    if (!is_request(use)) {
        return true;
    }
    const std::size_t requests = this->held(memory_use::reading) + this->held(memory_use::running);
    if (requests + more > this->limits.requests - kept) {
        return false;
    }
    const bool others_wait = from != nullptr && this->waiting > from->waiting;
    return is_small || !others_wait || from->bytes + more <= this->limits.per_address;
}

bool memory_account::take(memory_use use, std::size_t held, std::size_t more,
                          address_memory* from) noexcept {
    if (!this->has_room(use, held + more <= this->limits.small_bytes, more, from)) {
        return false;
    }
    this->total += more;
    this->by_use.at(static_cast<std::size_t>(use)) += more;
    if (from != nullptr) {
        from->bytes += more;
    }
    return true;
}

void memory_account::give_back(memory_use use, std::size_t bytes, address_memory* from) noexcept {
    std::size_t& used = this->by_use.at(static_cast<std::size_t>(use));
    assert(bytes <= used && bytes <= this->total);
    used -= bytes;
    this->total -= bytes;
    this->returned += bytes;
    if (from != nullptr) {
        from->bytes -= bytes;
        this->forget_if_unused(*from);
    }
}

void memory_account::move_bytes(memory_use from, memory_use to, std::size_t bytes) noexcept {
    this->by_use.at(static_cast<std::size_t>(from)) -= bytes;
    this->by_use.at(static_cast<std::size_t>(to)) += bytes;
}

memory_share::memory_share(memory_share&& other) noexcept
    : account(std::exchange(other.account, nullptr)), from(std::exchange(other.from, nullptr)),
      size(std::exchange(other.size, 0)), use(other.use) {}

memory_share& memory_share::operator=(memory_share&& other) noexcept {
    if (this != &other) {
        this->shrink_to(0);
        this->account = std::exchange(other.account, nullptr);
        this->from = std::exchange(other.from, nullptr);
        this->size = std::exchange(other.size, 0);
        this->use = other.use;
    }
    return *this;
}

bool memory_share::grow_to(std::size_t wanted) noexcept {
    if (this->account == nullptr || wanted <= this->size) {
        return true;
    }
    if (!this->account->take(this->use, this->size, wanted - this->size, this->from)) {
        return false;
    }
    this->size = wanted;
    return true;
}

void memory_share::shrink_to(std::size_t wanted) noexcept {
    if (this->account == nullptr || wanted >= this->size) {
        return;
    }
    this->account->give_back(this->use, this->size - wanted, this->from);
    this->size = wanted;
}

void memory_share::change_use(memory_use what) noexcept {
    if (this->account != nullptr) {
        this->account->move_bytes(this->use, what, this->size);
    }
    this->use = what;
}

void memory_share::absorb(memory_share&& other) noexcept {
    if (this->account == nullptr || other.account != this->account) {
        return;
    }
    other.change_use(this->use);
    if (other.from != nullptr) {
        other.from->bytes -= other.size;
    }
    if (this->from != nullptr) {
        this->from->bytes += other.size;
    }
    this->size += std::exchange(other.size, 0);
}

} // namespace knapweedknot
