#include "decide/serving_roster.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "base/digest.h"

namespace knapweedknot {

namespace {

/// How this instance takes part in the choice.
enum class own_part : std::uint8_t { none, light, serving };

bool has_lasted(const std::optional<time_point>& since, duration minimum, time_point now) {
    return since && now - *since >= minimum;
}

bool is_view_current(const serving_roster& roster, time_point now) {
    return now - roster.last_observed <= max_observation_gap &&
           now - roster.observed_since >= view_hold_time;
}

bool is_settled(const serving_roster& roster, time_point now) {
    const duration age = now - roster.started;
    return age >= settling_time && (age >= isolation_time || roster.reached >= roster.unreached);
}

own_part part_of_self(const serving_roster& roster, time_point now) {
    if (!is_view_current(roster, now) || !is_settled(roster, now)) {
        return own_part::none;
    }
    if (has_lasted(roster.serving_since, view_hold_time, now)) {
        return own_part::serving;
    }
    const bool is_known = roster.reached + roster.unreached == 0 ||
                          has_lasted(roster.active_since, light_hold_time, now);
    return is_known ? own_part::light : own_part::none;
}

auto weight_of(const instance_id& instance, std::uint64_t subject) {
    return std::tuple(hash64(instance.value, subject), std::string_view(instance.value));
}

bool is_forgotten(const roster_entry& entry, time_point now) {
    return entry.serving_until <= now && entry.light_until <= now && entry.missing_until <= now;
}

} // namespace

void observe_self(serving_roster& roster, instance_activity activity, time_point now) {
    if (now - roster.last_observed > max_observation_gap) {
        roster.observed_since = now;
    }
    roster.last_observed = now;
    if (activity != instance_activity::serving) {
        roster.serving_since.reset();
    } else if (!roster.serving_since) {
        roster.serving_since = now;
    }
    if (activity == instance_activity::idle) {
        roster.active_since.reset();
    } else if (!roster.active_since) {
        roster.active_since = now;
    }
    std::erase_if(roster.others,
                  [now](const auto& item) { return is_forgotten(item.second, now); });
}

void observe_live(serving_roster& roster, const instance_id& peer, instance_activity activity,
                  time_point now) {
    const auto found = roster.others.find(peer);
    if (activity == instance_activity::idle && found == roster.others.end()) {
        return;
    }
    roster_entry& entry = roster.others[peer];
    if (activity == instance_activity::serving) {
        entry.serving_until = now + view_hold_time;
    } else if (activity == instance_activity::light) {
        entry.light_until = now + light_hold_time;
    }
    // It counted as missing until now, so it does for the time for which a view must have lasted.
    entry.missing_until = std::min<time_point>(entry.missing_until, now + view_hold_time);
}

void observe_missing(serving_roster& roster, const instance_id& peer, time_point silent_since,
                     time_point until, time_point now) {
    roster_entry& entry = roster.others[peer];
    const bool is_news = entry.missing_until <= now;
    entry.silent_since = is_news ? silent_since : std::min(entry.silent_since, silent_since);
    entry.missing_until = std::max<time_point>(entry.missing_until, until + view_hold_time);
}

std::optional<int> deferrals(const serving_roster& roster, std::uint64_t subject, time_point now) {
    const own_part part = part_of_self(roster, now);
    if (part == own_part::none) {
        return std::nullopt;
    }
    const bool is_serving = part == own_part::serving;
    const auto own_weight = weight_of(roster.self, subject);
    int count = 0;
    for (const auto& [instance, entry] : roster.others) {
        // A serving instance ranks before one that is not.
        const bool is_above = weight_of(instance, subject) > own_weight;
        if ((entry.serving_until > now && (is_above || !is_serving)) ||
            (entry.light_until > now && is_above && !is_serving)) {
            return std::nullopt;
        }
        // One that was lost before it could learn that this instance serves does not count it.
        const bool is_unaware =
            !is_serving || entry.silent_since < *roster.serving_since + view_delay;
        count += entry.missing_until > now && (is_above || is_unaware) ? 1 : 0;
    }
    return count;
}

active_place place_among_active(const serving_roster& roster, std::uint64_t subject,
                                time_point now) {
    const auto own_weight = weight_of(roster.self, subject);
    active_place place;
    for (const auto& [instance, entry] : roster.others) {
        if (!is_forgotten(entry, now)) {
            ++place.instances;
            place.before += weight_of(instance, subject) > own_weight ? 1 : 0;
        }
    }
    return place;
}

} // namespace knapweedknot
