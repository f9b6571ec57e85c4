#include "proxy/warm_up_gate.h"

#include <algorithm>

namespace knapweedknot {

namespace {

// Least time between two log lines about one target.
constexpr duration log_interval = seconds(1);
// Bounds of the retry delay. Callers may come back to an instance that may send sooner, so the
// delay is short even if the warm-up is long.
constexpr duration min_retry_delay = milliseconds(300);
constexpr duration max_retry_delay = milliseconds(3000);

/// End of the warm-up by all sources; empty if none names one.
std::optional<time_point> cold_until(const target_warm_up& target) {
    return std::max({target.registered_until, target.announced_until, target.reported_until});
}

warming_target describe(const target_warm_up& target) {
    return {target.hash, *cold_until(target), target.last_sent};
}

/// Random time from the least retry delay to \p latest, so that refused requests do not return
/// together.
duration spread_delay(duration latest, std::minstd_rand& random) {
    const duration longest = std::clamp<duration>(latest, min_retry_delay, max_retry_delay);
    std::uniform_int_distribution<duration::rep> delay(duration(min_retry_delay).count(),
                                                       longest.count());
    return duration(delay(random));
}

} // namespace

warm_up_gate::warm_up_gate(const serving_roster* instances) : roster(instances) {}

bool warm_up_gate::is_enabled() const noexcept {
    return this->roster != nullptr && this->limits.rate_per_s > 0;
}

bool warm_up_gate::is_cold(const target_warm_up& target, time_point now) const {
    return this->is_enabled() && phase_of(cold_until(target), now) == warm_up_phase::cold;
}

bool warm_up_gate::is_limited(const target_warm_up& target, time_point now) const {
    return this->is_enabled() && phase_of(cold_until(target), now) != warm_up_phase::warm;
}

bool warm_up_gate::may_send(const target_warm_up& target, time_point now) const {
    if (!this->is_limited(target, now)) {
        return true;
    }
    const auto next = next_send_time(this->limits, *this->roster, describe(target), now);
    return next && *next <= now;
}

double warm_up_gate::rate_of(const target_warm_up& target, time_point now) const {
    return send_rate(this->limits, *this->roster, describe(target), now);
}

void warm_up_gate::record_send(target_warm_up& target, time_point now) {
    this->counters.sends += this->is_limited(target, now) ? 1 : 0;
    target.last_sent = now;
}

duration warm_up_gate::refuse(const std::vector<target_warm_up*>& targets, std::minstd_rand& random,
                              time_point now) {
    ++this->counters.refusals;
    target_warm_up* earliest = nullptr;
    time_point earliest_place;
    duration longest_left = max_retry_delay;
    for (target_warm_up* target : targets) {
        longest_left = std::min<duration>(longest_left, *cold_until(*target) - now);
        const auto next = next_send_time(this->limits, *this->roster, describe(*target), now);
        if (next) {
            const time_point place = std::max(*next, target->promised_until);
            if (earliest == nullptr || place < earliest_place) {
                earliest = target;
                earliest_place = place;
            }
        }
    }
    if (earliest == nullptr || earliest_place >= now + max_retry_delay) {
        return spread_delay(longest_left, random);
    }
    const time_point place = std::max<time_point>(earliest_place, now);
    earliest->promised_until = place + from_seconds(1 / this->rate_of(*earliest, now));
    return std::max<duration>(min_retry_delay, place - now);
}

duration warm_up_gate::cold_for(const target_warm_up& target, time_point now) const {
    const std::optional<time_point> registered =
        target.is_registration_news ? target.registered_until : std::nullopt;
    const std::optional<time_point> until = std::max(registered, target.announced_until);
    return this->is_enabled() && until ? std::max<duration>(duration::zero(), *until - now)
                                       : duration::zero();
}

bool warm_up_gate::note_phase_change(target_warm_up& target, time_point now) const {
    const bool is_cold_now = this->is_cold(target, now);
    const bool was_logged = target.logged_at && now - *target.logged_at < log_interval;
    if (is_cold_now == target.was_cold || was_logged) {
        return false;
    }
    target.was_cold = is_cold_now;
    target.logged_at = now;
    return true;
}

} // namespace knapweedknot
