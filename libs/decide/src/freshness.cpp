#include "decide/freshness.h"

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

bool still_vouches(const std::optional<pending_number>& pending, config_number adopted,
                   const freshness_times& times, time_point now) {
    return !pending || pending->number <= adopted || now - pending->acknowledged < times.grace;
}

} // namespace knapweedknot
