#include "event/pressure_counts.h"

namespace knapweedknot {

std::string_view to_string(pressure_decision decision) noexcept {
    switch (decision) {
    case pressure_decision::paused:
        return "paused";
    case pressure_decision::resumed:
        return "resumed";
    case pressure_decision::rejected:
        return "rejected";
    case pressure_decision::closed_slow_reader:
        return "closed_slow_reader";
    case pressure_decision::closed_idle:
        return "closed_idle";
    case pressure_decision::refused_connection:
        break;
    }
    return "refused_connection";
}

} // namespace knapweedknot
