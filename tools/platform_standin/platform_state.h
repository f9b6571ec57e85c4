#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

/// \file
/// State of the stand-in for the platform's key-value store: values with revisions, their history,
/// and leases.

namespace knapweedknot::standin {

/// A stored value.
struct stored_value {
    std::string data;
    /// Revision of the last write; never zero for a present value.
    std::uint64_t revision{0};
    std::uint64_t created{0};
    /// Lease that the value ends with; zero for none.
    std::uint64_t lease{0};
};

/// One change of one key.
struct stored_change {
    std::string key;
    std::uint64_t revision{0};
    /// Nothing when the key was removed.
    std::optional<stored_value> value;
};

/// One key of a transaction.
struct key_write {
    std::string key;
    std::string data;
    std::uint64_t lease{0};
};

/// Conditions and changes that take effect together or not at all.
struct transaction {
    /// Revision that each key must have; zero: it must be absent.
    std::map<std::string, std::uint64_t> expected;
    std::vector<key_write> puts;
    std::vector<std::string> removed;
};

/// Why a transaction did not take effect.
enum class transaction_refusal { condition_failed, lease_unknown };

/// Keys, values and leases. Time is passed in. Not thread safe.
class platform_state {
public:
    /// The value of \p key, or null when it is absent.
    [[nodiscard]] const stored_value* find(const std::string& key) const;
    [[nodiscard]] const std::map<std::string, stored_value>& all() const noexcept {
        return this->values;
    }
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->last_revision; }
    /// Applies \p wanted. Nothing when it took effect.
    std::optional<transaction_refusal> apply(const transaction& wanted, time_point now);
    /// Changes under \p prefix after the revision \p after; nothing when they are forgotten.
    [[nodiscard]] std::optional<std::vector<stored_change>>
    changes_after(const std::string& prefix, std::uint64_t after) const;
    /// Forgets all changes so far.
    void drop_history();
    /// Creates a lease that ends \p ttl after \p now.
    std::uint64_t grant_lease(duration ttl, time_point now);
    /// Extends a lease by its length. Nothing when it has ended.
    std::optional<duration> renew_lease(std::uint64_t lease, time_point now);
    void end_lease(std::uint64_t lease, time_point now);
    /// Ends lapsed leases, removes their values and forgets old changes. True when a value ended.
    bool expire(time_point now);

private:
    struct lease_state {
        duration ttl;
        time_point end;
    };
    struct dated_change {
        stored_change change;
        time_point made;
    };

    bool remove_orphans(time_point now);
    void note(const std::string& key, time_point now);

    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, lease_state> leases;
    std::deque<dated_change> history;
    std::uint64_t forgotten_revision{0};
    std::uint64_t last_revision{1};
    std::uint64_t last_lease{0};
};

} // namespace knapweedknot::standin
