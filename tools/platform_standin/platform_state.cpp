#include "platform_state.h"

#include <utility>

namespace knapweedknot::standin {

const stored_value* platform_state::find(const std::string& key) const {
    const auto found = this->values.find(key);
    return found == this->values.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> platform_state::put(const std::string& key, std::string data,
                                                 std::uint64_t expected, std::uint64_t lease) {
    const stored_value* present = this->find(key);
    const std::uint64_t present_revision = present == nullptr ? 0 : present->revision;
    if (present_revision != expected || (lease != 0 && !this->leases.contains(lease))) {
        return std::nullopt;
    }
    ++this->last_revision;
    this->values[key] = {std::move(data), this->last_revision, lease};
    return this->last_revision;
}

bool platform_state::erase(const std::string& key, std::uint64_t expected) {
    const stored_value* present = this->find(key);
    if (present == nullptr || present->revision != expected) {
        return false;
    }
    this->values.erase(key);
    return true;
}

std::uint64_t platform_state::grant_lease(duration ttl, time_point now) {
    ++this->last_lease;
    this->leases[this->last_lease] = now + ttl;
    return this->last_lease;
}

bool platform_state::renew_lease(std::uint64_t lease, duration ttl, time_point now) {
    const auto found = this->leases.find(lease);
    if (found == this->leases.end() || found->second <= now) {
        return false;
    }
    found->second = now + ttl;
    return true;
}

std::size_t platform_state::expire(time_point now) {
    std::size_t removed = 0;
    std::erase_if(this->leases, [now](const auto& lease) { return lease.second <= now; });
    removed += std::erase_if(this->values, [this](const auto& item) {
        return item.second.lease != 0 && !this->leases.contains(item.second.lease);
    });
    return removed;
}

} // namespace knapweedknot::standin
