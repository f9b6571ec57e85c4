#include "base/log_rate_limiter.h"

namespace knapweedknot {

suppressed_lines start_window_if_due(log_rate_limiter& limiter, time_point now) {
    suppressed_lines suppressed;
    if (now - limiter.window_start < seconds(1)) {
        return suppressed;
    }
    for (const auto& [event, count] : limiter.events) {
        if (count.suppressed > 0) {
            suppressed[event] = count.suppressed;
        }
    }
    limiter = {now, 0, {}};
    return suppressed;
}

bool admit_line(log_rate_limiter& limiter, std::string_view event, const log_limits& limits) {
    auto entry = limiter.events.find(event);
    if (entry == limiter.events.end()) {
        entry = limiter.events.emplace(std::string(event), log_rate_limiter::event_count{}).first;
    }
    if (entry->second.written >= limits.lines_per_event || limiter.written >= limits.lines) {
        ++entry->second.suppressed;
        return false;
    }
    ++entry->second.written;
    ++limiter.written;
    return true;
}

} // namespace knapweedknot
