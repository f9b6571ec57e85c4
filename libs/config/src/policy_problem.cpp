#include "config/policy_problem.h"

#include <set>

namespace knapweedknot {

std::string_view to_string(problem_effect effect) noexcept {
    switch (effect) {
    case problem_effect::entry_skipped:
        return "entry_skipped";
    case problem_effect::field_replaced:
        return "field_replaced";
    case problem_effect::kind_unknown:
        return "kind_unknown";
    }
    return "entry_skipped";
}

std::size_t count_unreadable_entries(const std::vector<policy_problem>& problems) {
    std::set<std::optional<std::size_t>> entries;
    for (const policy_problem& problem : problems) {
        if (problem.effect != problem_effect::kind_unknown) {
            entries.insert(problem.place.entry);
        }
    }
    return entries.size();
}

} // namespace knapweedknot
