#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Problems of single entries of a policy document, with the place of each in the document.

namespace knapweedknot {

/// Position of a value in a policy document.
struct policy_place {
    /// Index of the entry in the document's list, from 0; empty where only the name is known.
    std::optional<std::size_t> entry;
    /// Kind and name of the entry as the document states them; empty where it does not.
    std::string kind;
    std::string name;
    /// Path of the field within the entry, with slashes; empty for the whole entry.
    std::string field;
};

/// What a problem does to the entry. Other entries are not affected.
enum class problem_effect : std::uint8_t {
    /// The policy does not contain the entry.
    entry_skipped,
    /// The entry is used as if the field were absent, or with the nearest valid value.
    field_replaced,
    /// The entry is skipped because its kind is not known. A newer version of the document's writer
    /// may have added the kind.
    kind_unknown,
};

/// An entry, or a field of one, that is not used as the document states it.
struct policy_problem {
    policy_place place;
    /// What is wrong, for people. Contains no API key.
    std::string reason;
    problem_effect effect{problem_effect::entry_skipped};
};

/// Stable name of \p effect: "entry_skipped", "field_replaced" or "kind_unknown". Thread safe.
[[nodiscard]] std::string_view to_string(problem_effect effect) noexcept;

/// Number of entries with a problem other than an unknown kind. Thread safe.
[[nodiscard]] std::size_t count_unreadable_entries(const std::vector<policy_problem>& problems);

} // namespace knapweedknot
