#include "platform_state.h"

#include <algorithm>

namespace knapweedknot::standin {

namespace {

constexpr duration history_length = seconds(20);

} // namespace

const stored_value* platform_state::find(const std::string& key) const {
    const auto found = this->values.find(key);
    return found == this->values.end() ? nullptr : &found->second;
}

std::optional<transaction_refusal> platform_state::apply(const transaction& wanted,
                                                         time_point now) {
    for (const auto& [key, revision] : wanted.expected) {
        const stored_value* present = this->find(key);
        if ((present == nullptr ? 0 : present->revision) != revision) {
            return transaction_refusal::condition_failed;
        }
    }
    for (const key_write& write : wanted.puts) {
        if (write.lease != 0 && !this->leases.contains(write.lease)) {
            return transaction_refusal::lease_unknown;
        }
    }
    ++this->last_revision;
    for (const key_write& write : wanted.puts) {
        stored_value& value = this->values[write.key];
        value = {write.data, this->last_revision,
                 value.created == 0 ? this->last_revision : value.created, write.lease};
        this->note(write.key, now);
    }
    for (const std::string& key : wanted.removed) {
        if (this->values.erase(key) > 0) {
            this->note(key, now);
        }
    }
    return std::nullopt;
}

void platform_state::note(const std::string& key, time_point now) {
    stored_change change{key, this->last_revision, std::nullopt};
    if (const stored_value* present = this->find(key); present != nullptr) {
        change.value = *present;
    }
    this->history.push_back({std::move(change), now});
}

std::optional<std::vector<stored_change>> platform_state::changes_after(const std::string& prefix,
                                                                        std::uint64_t after) const {
    if (after < this->forgotten_revision) {
        return std::nullopt;
    }
    std::vector<stored_change> changes;
    for (const dated_change& item : this->history) {
        if (item.change.revision > after && item.change.key.starts_with(prefix)) {
            changes.push_back(item.change);
        }
    }
    return changes;
}

void platform_state::drop_history() {
    this->history.clear();
    this->forgotten_revision = this->last_revision;
}

std::uint64_t platform_state::grant_lease(duration ttl, time_point now) {
    ++this->last_lease;
    this->leases[this->last_lease] = {ttl, now + ttl};
    return this->last_lease;
}

std::optional<duration> platform_state::renew_lease(std::uint64_t lease, time_point now) {
    const auto found = this->leases.find(lease);
    if (found == this->leases.end() || found->second.end <= now) {
        return std::nullopt;
    }
    found->second.end = now + found->second.ttl;
    return found->second.ttl;
}

void platform_state::end_lease(std::uint64_t lease, time_point now) {
    this->leases.erase(lease);
    this->remove_orphans(now);
}

bool platform_state::expire(time_point now) {
    std::erase_if(this->leases, [now](const auto& lease) { return lease.second.end <= now; });
    while (!this->history.empty() && this->history.front().made + history_length < now) {
        this->forgotten_revision = this->history.front().change.revision;
        this->history.pop_front();
    }
    return this->remove_orphans(now);
}

bool platform_state::remove_orphans(time_point now) {
    std::vector<std::string> orphans;
    for (const auto& [key, value] : this->values) {
        if (value.lease != 0 && !this->leases.contains(value.lease)) {
            orphans.push_back(key);
        }
    }
    if (!orphans.empty()) {
        this->apply({{}, {}, orphans}, now);
    }
    return !orphans.empty();
}

} // namespace knapweedknot::standin
