#include "decide/freshness.h"

#include <algorithm>

namespace knapweedknot {

bool is_fresh(const std::vector<config_voucher>& vouchers, config_number number,
              std::optional<time_point> store_read, int total_seats, const freshness_times& times,
              time_point now) {
    if (store_read && now - *store_read < times.lifetime) {
        return true;
    }
    int seats = 0;
    for (const config_voucher& voucher : vouchers) {
        const bool counts =
            voucher.vouches && voucher.number <= number && now - voucher.as_of < times.lifetime;
        seats += counts ? voucher.seats : 0;
    }
    return 2 * seats > total_seats;
}

void note_announcement(open_announcements& open, const std::string& patch_id, config_number number,
                       time_point now) {
    open.try_emplace(patch_id, pending_number{number, now});
}

void settle_announcements(open_announcements& open, config_number adopted) {
    std::erase_if(open, [adopted](const auto& item) { return item.second.number <= adopted; });
}

void expire_announcements(open_announcements& open, time_point write_limit) {
    std::erase_if(
        open, [write_limit](const auto& item) { return item.second.acknowledged <= write_limit; });
}

bool still_vouches(const open_announcements& open, config_number adopted,
                   const freshness_times& times, time_point now) {
    return std::all_of(open.begin(), open.end(), [&](const auto& item) {
        const pending_number& pending = item.second;
        return pending.number <= adopted || now - pending.acknowledged < times.grace;
    });
}

} // namespace knapweedknot
