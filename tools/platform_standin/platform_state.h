#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

/// \file
/// State of the stand-in for the platform's key-value service: values with revisions, and leases.

namespace knapweedknot::standin {

/// A stored value.
struct stored_value {
    std::string data;
    /// Grows with every write to the store; never zero for a present value.
    std::uint64_t revision{0};
    /// Lease that the value ends with; zero for none.
    std::uint64_t lease{0};
};

/// Keys, values and leases. Time is passed in. Not thread safe.
class platform_state {
public:
    /// The value of \p key, or null when it is absent.
    [[nodiscard]] const stored_value* find(const std::string& key) const;
    /// Writes when the present revision of \p key is \p expected (zero: absent). Returns the new
    /// revision, or nothing when another revision is present or the lease is unknown.
    std::optional<std::uint64_t> put(const std::string& key, std::string data,
                                     std::uint64_t expected, std::uint64_t lease);
    /// Removes \p key when its revision is \p expected.
    bool erase(const std::string& key, std::uint64_t expected);
    /// Creates a lease that ends \p ttl after \p now.
    std::uint64_t grant_lease(duration ttl, time_point now);
    /// Extends a lease. False when it has ended.
    bool renew_lease(std::uint64_t lease, duration ttl, time_point now);
    /// Ends lapsed leases and removes their values. Returns the removed keys' count.
    std::size_t expire(time_point now);

private:
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, time_point> leases;
    std::uint64_t last_revision{0};
    std::uint64_t last_lease{0};
};

} // namespace knapweedknot::standin
