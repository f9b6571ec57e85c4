#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

/// \file
/// In-memory key-value store with revisions, a change history and leases. It stands in for the
/// platform's store.

namespace knapweedknot::standin {

/// A stored value.
struct stored_value {
    std::string data;
    /// Revision of the last write; never zero for a present value.
    std::uint64_t revision{0};
    /// Revision of the write that created the value.
    std::uint64_t create_revision{0};
    /// Lease whose end removes the value; zero for none.
    std::uint64_t lease{0};
};

/// One change of one key.
struct stored_change {
    std::string key;
    std::uint64_t revision{0};
    /// Empty when the key was removed.
    std::optional<stored_value> value;
};

/// A write of one key in a transaction.
struct key_write {
    std::string key;
    std::string data;
    std::uint64_t lease{0};
};

/// Preconditions and changes that are applied atomically.
struct transaction {
    /// Revision that each key must have; zero when the key must be absent.
    std::map<std::string, std::uint64_t> expected;
    std::vector<key_write> puts;
    std::vector<std::string> removals;
};

/// Reason why a transaction was not applied.
enum class transaction_error { condition_failed, lease_unknown };

/// The store; callers pass the current time. Not thread safe.
class key_value_store {
public:
    /// The value of \p key, or null when it is absent.
    [[nodiscard]] const stored_value* find(const std::string& key) const;
    [[nodiscard]] const std::map<std::string, stored_value>& values_by_key() const noexcept {
        return this->values;
    }
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->last_revision; }
    /// Applies \p request. Returns nothing when it was applied, or why it was not.
    std::optional<transaction_error> apply(const transaction& request, time_point now);
    /// Changes under \p prefix after the revision \p after; nothing when the history no longer
    /// reaches back to that revision.
    [[nodiscard]] std::optional<std::vector<stored_change>>
    changes_after(const std::string& prefix, std::uint64_t after) const;
    /// Discards the change history.
    void drop_history();
    /// Creates a lease that expires \p ttl after \p now, and returns its id.
    std::uint64_t grant_lease(duration ttl, time_point now);
    /// Renews a lease for its TTL, which is returned. Nothing when the lease has expired or is
    /// unknown.
    std::optional<duration> renew_lease(std::uint64_t lease, time_point now);
    /// Ends a lease and removes its values.
    void revoke_lease(std::uint64_t lease, time_point now);
    /// Ends expired leases, removes their values and discards old changes. True when a value was
    /// removed.
    bool expire(time_point now);

private:
    struct lease_state {
        duration ttl;
        time_point expires;
    };
    struct timed_change {
        stored_change change;
        time_point made_at;
    };

    /// Removes values whose lease no longer exists. True when there were any.
    bool remove_expired_values(time_point now);
    void record_change(const std::string& key, time_point now);

    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, lease_state> leases;
    std::deque<timed_change> history;
    std::uint64_t compacted_revision{0};
    std::uint64_t last_revision{1};
    std::uint64_t last_lease{0};
};

} // namespace knapweedknot::standin
