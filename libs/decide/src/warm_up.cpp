#include "decide/warm_up.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace knapweedknot {

namespace {

// Share of rate x overshoot for an owner without deferrals, and for one with a single deferral.
constexpr double first_share = 2.0 / 3;
constexpr double second_share = 1.0 / 6;

/// Greatest number of deferrals with which an owner sends requests.
int max_deferrals(const warm_up_limits& limits) {
    return std::max(0, static_cast<int>(std::floor((limits.slack - 1) / 2)));
}

/// When a request may be sent while the rate grows: requests that the rate allows since the last
/// one, or since the end of the warm-up, add up to one.
time_point next_growing_send(const warm_up_limits& limits, const serving_roster& roster,
                             const warming_target& target, time_point now) {
    const bool has_sent = target.last_sent >= target.cold_until;
    const time_point from = has_sent ? target.last_sent : target.cold_until;
    const active_place place = place_among_active(roster, target.hash, now);
    const auto instances = static_cast<double>(place.instances);
    // The first requests of the instances are evenly spread.
    const double missing = has_sent ? 1 : (static_cast<double>(place.before) + 1) / instances;
    const double rate = growth_rate(limits, place.instances, from - target.cold_until);
    // Inverse of the integral of the rate, which doubles in each doubling time.
    const double doubling_s = to_seconds(growth_doubling_time);
    const double wait_s =
        doubling_s * std::log2(1 + missing * std::numbers::ln2 / (rate * doubling_s));
    return from + from_seconds(wait_s);
}

} // namespace

warm_up_phase phase_of(const std::optional<time_point>& cold_until, time_point now) noexcept {
    if (!cold_until || now >= *cold_until + growth_time) {
        return warm_up_phase::warm;
    }
    return now < *cold_until ? warm_up_phase::cold : warm_up_phase::growing;
}

double owner_rate(const warm_up_limits& limits, int deferrals) {
    if (deferrals > max_deferrals(limits)) {
        return 0;
    }
    const double allowed = limits.rate_per_s * limits.overshoot;
    if (deferrals == 0) {
        const double half_of_limit = std::floor((allowed + limits.slack) / 2);
        return std::min({limits.rate_per_s, allowed * first_share, std::max(1.0, half_of_limit)});
    }
    return allowed * second_share * std::exp2(1 - deferrals);
}

double growth_rate(const warm_up_limits& limits, std::size_t instances, duration since_end) {
    const double factor = std::exp2(to_seconds(since_end) / to_seconds(growth_doubling_time));
    return owner_rate(limits, 0) * factor / static_cast<double>(instances);
}

std::optional<time_point> next_send_time(const warm_up_limits& limits, const serving_roster& roster,
                                         const warming_target& target, time_point now) {
    if (now >= target.cold_until) {
        return next_growing_send(limits, roster, target, now);
    }
    const double rate = send_rate(limits, roster, target, now);
    if (rate <= 0) {
        return std::nullopt;
    }
    return target.last_sent + from_seconds(1 / rate);
}

double send_rate(const warm_up_limits& limits, const serving_roster& roster,
                 const warming_target& target, time_point now) {
    if (now >= target.cold_until) {
        const std::size_t instances = place_among_active(roster, target.hash, now).instances;
        return growth_rate(limits, instances, now - target.cold_until);
    }
    const std::optional<int> deferred = deferrals(roster, target.hash, now);
    return deferred ? owner_rate(limits, *deferred) : 0;
}

} // namespace knapweedknot
