#include "key_value_store.h"

#include <algorithm>

namespace knapweedknot::standin {

namespace {

constexpr duration history_retention = seconds(20);

} // namespace

const stored_value* key_value_store::find(const std::string& key) const {
    const auto found = this->values.find(key);
    return found == this->values.end() ? nullptr : &found->second;
}

std::optional<transaction_error> key_value_store::apply(const transaction& request,
                                                        time_point now) {
    for (const auto& [key, revision] : request.expected) {
        const stored_value* present = this->find(key);
        if ((present == nullptr ? 0 : present->revision) != revision) {
            return transaction_error::condition_failed;
        }
    }
    for (const key_write& write : request.puts) {
        if (write.lease != 0 && !this->leases.contains(write.lease)) {
            return transaction_error::lease_unknown;
        }
    }
    ++this->last_revision;
    for (const key_write& write : request.puts) {
        stored_value& value = this->values[write.key];
        value = {write.data, this->last_revision,
                 value.create_revision == 0 ? this->last_revision : value.create_revision,
                 write.lease};
        this->record_change(write.key, now);
    }
    for (const std::string& key : request.removals) {
        if (this->values.erase(key) > 0) {
            this->record_change(key, now);
        }
    }
    return std::nullopt;
}

void key_value_store::record_change(const std::string& key, time_point now) {
    stored_change change{key, this->last_revision, std::nullopt};
    if (const stored_value* present = this->find(key); present != nullptr) {
        change.value = *present;
    }
    this->history.push_back({std::move(change), now});
}

std::optional<std::vector<stored_change>>
key_value_store::changes_after(const std::string& prefix, std::uint64_t after) const {
    if (after < this->compacted_revision) {
        return std::nullopt;
    }
    std::vector<stored_change> changes;
    for (const timed_change& item : this->history) {
        if (item.change.revision > after && item.change.key.starts_with(prefix)) {
            changes.push_back(item.change);
        }
    }
    return changes;
}

void key_value_store::drop_history() {
    this->history.clear();
    this->compacted_revision = this->last_revision;
}

std::uint64_t key_value_store::grant_lease(duration ttl, time_point now) {
    ++this->last_lease;
    this->leases[this->last_lease] = {ttl, now + ttl};
    return this->last_lease;
}

std::optional<duration> key_value_store::renew_lease(std::uint64_t lease, time_point now) {
    const auto found = this->leases.find(lease);
    if (found == this->leases.end() || found->second.expires <= now) {
        return std::nullopt;
    }
    found->second.expires = now + found->second.ttl;
    return found->second.ttl;
}

void key_value_store::revoke_lease(std::uint64_t lease, time_point now) {
    this->leases.erase(lease);
    this->remove_expired_values(now);
}

bool key_value_store::expire(time_point now) {
    std::erase_if(this->leases, [now](const auto& lease) { return lease.second.expires <= now; });
    while (!this->history.empty() && this->history.front().made_at + history_retention < now) {
        this->compacted_revision = this->history.front().change.revision;
        this->history.pop_front();
    }
    return this->remove_expired_values(now);
}

bool key_value_store::remove_expired_values(time_point now) {
    std::vector<std::string> expired;
    for (const auto& [key, value] : this->values) {
        if (value.lease != 0 && !this->leases.contains(value.lease)) {
            expired.push_back(key);
        }
    }
    if (!expired.empty()) {
        this->apply({{}, {}, expired}, now);
    }
    return !expired.empty();
}

} // namespace knapweedknot::standin
