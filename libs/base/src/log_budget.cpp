#include "base/log_budget.h"

namespace knapweedknot {

left_out_lines begin_second(log_budget& budget, time_point now) {
    left_out_lines left_out;
    if (now - budget.second_began < seconds(1)) {
        return left_out;
    }
    for (const auto& [kind, count] : budget.kinds) {
        if (count.left_out > 0) {
            left_out[kind] = count.left_out;
        }
    }
    budget = {now, 0, {}};
    return left_out;
}

bool take_line(log_budget& budget, std::string_view event, const log_limits& limits) {
    auto place = budget.kinds.find(event);
    if (place == budget.kinds.end()) {
        place = budget.kinds.emplace(std::string(event), log_budget::kind_count{}).first;
    }
    if (place->second.written >= limits.lines_per_kind || budget.written >= limits.lines) {
        ++place->second.left_out;
        return false;
    }
    ++place->second.written;
    ++budget.written;
    return true;
}

} // namespace knapweedknot
