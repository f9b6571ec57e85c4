#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/traffic_policy.h"

/// \file
/// What changes from one version of the traffic policy to another.

namespace knapweedknot {

enum class entry_change : std::uint8_t { added, removed, changed };

/// A field whose value differs. API keys are given by their number only.
struct field_change {
    std::string field;
    std::string before;
    std::string after;
};

/// An entry that differs between two policies.
struct entry_difference {
    entry_change change{entry_change::changed};
    /// "route", "account", "service" or "limits".
    std::string kind;
    std::string name;
    /// Fields that differ; empty unless the entry was changed.
    std::vector<field_change> fields;
};

/// Stable name of \p change: "added", "removed" or "changed". Thread safe.
[[nodiscard]] std::string_view to_string(entry_change change) noexcept;

/// Differences in the order of kind and name. Entries are compared by their names; of several with
/// one name, the last one counts. Thread safe.
[[nodiscard]] std::vector<entry_difference> compare_policies(const traffic_policy::parts& before,
                                                             const traffic_policy::parts& after);

} // namespace knapweedknot
