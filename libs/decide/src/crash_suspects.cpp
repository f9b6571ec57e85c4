#include "decide/crash_suspects.h"

#include <algorithm>

namespace knapweedknot {

namespace {

bool is_suspect(const target_crash& crash, std::uint64_t fingerprint) {
    return std::find(crash.suspects.begin(), crash.suspects.end(), fingerprint) !=
           crash.suspects.end();
}

/// The latest crash of \p target if it was a moment ago, else null.
target_crash* find_present(crash_log& log, const target_id& target, const crash_policy& policy,
                           time_point now) {
    const auto found = std::find_if(log.crashes.begin(), log.crashes.end(), [&](const auto& crash) {
        return crash.target == target && now - crash.at <= policy.same_crash;
    });
    return found == log.crashes.end() ? nullptr : &*found;
}

bool is_recent(const crash_log& log, std::uint64_t fingerprint, const crash_policy& policy,
               time_point now) {
    const auto latest = log.latest.find(fingerprint);
    return latest != log.latest.end() && now - latest->second <= policy.window;
}

void remove_unsuspected(crash_log& log) {
    std::erase_if(log.crashes, [](const target_crash& crash) { return crash.suspects.empty(); });
}

} // namespace

end_cause find_cause(const exchange_end& end, const crash_policy& policy) noexcept {
    if (!end.target_in_service) {
        return end_cause::planned_stop;
    }
    const bool may_be_idle_close =
        end.idle_before >= policy.shortest_idle_timeout && end.since_sent < policy.round_trip;
    return may_be_idle_close ? end_cause::crash_or_idle_close : end_cause::crash;
}

void record_end(crash_log& log, std::uint64_t fingerprint, const target_id& target, end_cause cause,
                const crash_policy& policy, time_point now) {
    if (cause == end_cause::planned_stop) {
        return;
    }
    forget_old_crashes(log, policy, now);
    target_crash* crash = find_present(log, target, policy, now);
    if (crash == nullptr) {
        crash = &log.crashes.emplace_back(target_crash{target, now, false, {}});
    }
    crash->confirmed = crash->confirmed || cause == end_cause::crash;
    if (!is_suspect(*crash, fingerprint)) {
        crash->suspects.push_back(fingerprint);
    }
    log.latest[fingerprint] = now;
}

void record_unreachable(crash_log& log, const target_id& target, const crash_policy& policy,
                        time_point now) {
    if (target_crash* crash = find_present(log, target, policy, now); crash != nullptr) {
        crash->confirmed = true;
    }
}

void acquit(crash_log& log, std::uint64_t fingerprint) {
    if (log.latest.erase(fingerprint) == 0) {
        return;
    }
    for (target_crash& crash : log.crashes) {
        std::erase(crash.suspects, fingerprint);
    }
    remove_unsuspected(log);
}

void renew_suspect(crash_log& log, std::uint64_t fingerprint, const crash_policy& policy,
                   time_point now) {
    if (is_recent(log, fingerprint, policy, now)) {
        log.latest[fingerprint] = now;
    }
}

void forget_old_crashes(crash_log& log, const crash_policy& policy, time_point now) {
    for (target_crash& crash : log.crashes) {
        std::erase_if(crash.suspects, [&](std::uint64_t fingerprint) {
            return !is_recent(log, fingerprint, policy, now);
        });
    }
    remove_unsuspected(log);
    std::erase_if(log.latest, [&](const auto& item) { return now - item.second > policy.window; });
}

std::uint32_t count_crashes(const crash_log& log, std::uint64_t fingerprint,
                            const crash_policy& policy, time_point now) {
    if (!is_recent(log, fingerprint, policy, now)) {
        return 0;
    }
    return static_cast<std::uint32_t>(
        std::count_if(log.crashes.begin(), log.crashes.end(), [&](const target_crash& crash) {
            return crash.confirmed && is_suspect(crash, fingerprint);
        }));
}

std::uint32_t count_attributed_crashes(const crash_log& log, std::uint64_t fingerprint,
                                       const crash_counts& elsewhere, const crash_policy& policy,
                                       time_point now) {
    if (!is_recent(log, fingerprint, policy, now)) {
        return 0;
    }
    const auto count_all = [&](std::uint64_t suspect) {
        const auto reported = elsewhere.find(suspect);
        return count_crashes(log, suspect, policy, now) +
               (reported == elsewhere.end() ? 0 : reported->second);
    };
    const std::uint32_t own = count_all(fingerprint);
    const auto is_responsible = [&](const target_crash& crash) {
        return crash.confirmed && is_suspect(crash, fingerprint) &&
               std::none_of(crash.suspects.begin(), crash.suspects.end(),
                            [&](std::uint64_t suspect) { return count_all(suspect) > own; });
    };
    return static_cast<std::uint32_t>(
        std::count_if(log.crashes.begin(), log.crashes.end(), is_responsible));
}

} // namespace knapweedknot
