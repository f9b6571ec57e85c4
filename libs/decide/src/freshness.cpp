#include "decide/freshness.h"

#include <algorithm>

namespace knapweedknot {

bool is_fresh(const std::vector<config_confirmation>& confirmations, config_number number,
              std::optional<time_point> store_read, int total_seats, const freshness_times& times,
              time_point now) {
    if (store_read && now - *store_read < times.lifetime) {
        return true;
    }
    int seats = 0;
    for (const config_confirmation& confirmation : confirmations) {
        const bool counts = confirmation.confirms && confirmation.number <= number &&
                            now - confirmation.as_of < times.lifetime;
        seats += counts ? confirmation.seats : 0;
    }
    return 2 * seats > total_seats;
}

void record_announcement(pending_announcements& pending, const std::string& patch_id,
                         config_number number, time_point now) {
    pending.try_emplace(patch_id, pending_announcement{number, now});
}

void resolve_announcements(pending_announcements& pending, config_number adopted) {
    std::erase_if(pending, [adopted](const auto& item) { return item.second.number <= adopted; });
}

void expire_announcements(pending_announcements& pending, time_point write_limit) {
    std::erase_if(pending, [write_limit](const auto& item) {
        return item.second.acknowledged_at <= write_limit;
    });
}

bool can_confirm(const pending_announcements& pending, config_number adopted,
                 const freshness_times& times, time_point now) {
    return std::all_of(pending.begin(), pending.end(), [&](const auto& item) {
        const pending_announcement& announcement = item.second;
        return announcement.number <= adopted || now - announcement.acknowledged_at < times.grace;
    });
}

} // namespace knapweedknot
