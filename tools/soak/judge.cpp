#include "judge.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>

#include "site.h"

namespace knapweedknot::soak {

namespace {

/// Time from a request's last byte after which a connection may not end without a response.
constexpr duration loss_slack = milliseconds(200);
constexpr duration stop_tail = seconds(1);
constexpr duration policy_tail = seconds(1);
/// Requests that are sent later after a SIGTERM always count.
constexpr duration excused_after_stop = seconds(3);
constexpr double policy_used_share = 0.7;
constexpr double policy_rate_factor = 3;
constexpr std::size_t head_bytes = 250;

/// Planned work at which an attempt ended.
struct planned_work {
    std::string name;
    time_point began;
    const stop_record* stop{nullptr};
};

/// An attempt that may be lost.
struct suspect {
    const attempt* made;
    const run* ran;
    std::optional<planned_work> work;
};

/// The run that matters of a request that may have run more than once: a whole one, or the last.
const run* main_run(const records& seen, const attempt& made) {
    const auto found = seen.runs.find(made.id);
    if (found == seen.runs.end() || found->second.empty()) {
        return nullptr;
    }
    const auto& runs = found->second;
    const auto whole = std::find_if(runs.begin(), runs.end(),
                                    [](const run& item) { return item.end == run_end::whole; });
    return whole != runs.end() ? &*whole : &runs.back();
}

const stop_record* stop_at(const records& seen, const attempt& made) {
    for (const stop_record& item : seen.edges[static_cast<std::size_t>(made.edge)].stops) {
        if (made.ended >= item.terminated &&
            made.ended <= item.terminated + stop_grace + stop_tail) {
            return &item;
        }
    }
    return nullptr;
}

bool is_policy_change(const records& seen, time_point at) {
    return std::any_of(seen.policies.begin() + 1, seen.policies.end(), [at](const auto& item) {
        return at >= item.sent && (item.confirmed == time_point::max() ||
                                   at <= item.confirmed + policy_apply + policy_tail);
    });
}

/// A SIGHUP after which \p made counts; null when there is none.
const time_point* hangup_at(const records& seen, const attempt& made) {
    const auto& all = seen.edges[static_cast<std::size_t>(made.edge)].hangups;
    const auto found = std::find_if(all.begin(), all.end(), [&made](time_point at) {
        return made.ended >= at && made.sent <= at + policy_apply;
    });
    return found == all.end() ? nullptr : &*found;
}

std::optional<planned_work> work_at(const records& seen, const attempt& made) {
    planned_work found;
    if (is_policy_change(seen, made.ended)) {
        const auto later = std::find_if(seen.policies.begin(), seen.policies.end(),
                                        [&](const auto& item) { return item.sent > made.ended; });
        found = {"policy", (later - 1)->sent};
    }
    if (const time_point* at = hangup_at(seen, made)) {
        found = {found.name.empty() ? "hangup" : "hangup+" + found.name, *at};
    }
    if (const stop_record* stop = stop_at(seen, made)) {
        found = {found.name.empty() ? "stop" : "stop+" + found.name, stop->terminated, stop};
    }
    return found.name.empty() ? std::nullopt : std::optional(found);
}

/// The shortest time after which the route of \p made may have timed out.
duration route_timeout(const records& seen, const attempt& made) {
    double factor = 1;
    for (const policy_record& item : seen.policies) {
        factor = item.sent <= made.ended ? std::min(factor, item.timeout_factor) : factor;
    }
    return from_seconds(to_seconds(made.timeout) * factor);
}

/// True if the response was not given, or the edge gave one of its own at which a target worked.
bool lacks_response(const records& seen, const attempt& made, const run* ran) {
    if (made.end == attempt_end::answered) {
        const bool is_own = !made.is_signed && made.status >= 500 && ran != nullptr;
        return is_own && stop_at(seen, made) != nullptr;
    }
    return made.end == attempt_end::fin || made.end == attempt_end::reset ||
           (made.end == attempt_end::behind_closing_response && ran != nullptr);
}

/// Why the rules don't count a request; null if they do.
const char* excuse_of(const records& seen, const attempt& made, const run* ran) {
    const duration age = made.ended - made.sent;
    if (age >= std::min(made.deadline, route_timeout(seen, made)) ||
        (ran != nullptr && ran->end == run_end::deadline)) {
        return "not_counted reason=timeout";
    }
    if (ran == nullptr) {
        const bool is_excused = made.behind > 0 || age <= loss_slack;
        return is_excused ? "not_counted reason=not_passed_on" : nullptr;
    }
    const stop_record* stop = stop_at(seen, made);
    if (stop == nullptr || made.sent > stop->terminated + excused_after_stop) {
        return nullptr;
    }
    const time_point last_sixth = stop->terminated + stop_grace - stop_grace / 6;
    const bool was_at_work = ran->end == run_end::running || ran->ended >= last_sixth;
    return was_at_work ? "not_counted reason=work_at_end_of_grace" : nullptr;
}

/// The earliest moment at which the caller of \p made could have its response, reading without a
/// pause at its own speed what its connection brought before.
time_point earliest_receipt(const records& seen, const attempt& made) {
    time_point at = seen.began;
    for (const attempt& item : seen.attempts) {
        const run* ran = item.connection == made.connection ? main_run(seen, item) : nullptr;
        if (ran != nullptr && ran->end == run_end::whole) {
            const auto bytes = static_cast<double>(ran->answer_bytes + head_bytes);
            at = std::max(at, ran->ended) +
                 from_seconds(item.bytes_per_s > 0 ? bytes / item.bytes_per_s : 0);
        }
        if (&item == &made) {
            break;
        }
    }
    return at;
}

bool is_too_slow(const records& seen, const suspect& item) {
    return item.made->bytes_per_s > 0 && item.work && item.work->stop != nullptr &&
           item.ran != nullptr && item.ran->end == run_end::whole &&
           earliest_receipt(seen, *item.made) > item.work->stop->terminated + stop_grace;
}

/// Whether edges cut requests three times as often beside policies as at other times.
bool are_policies_to_blame(const records& seen, const std::vector<suspect>& suspects) {
    constexpr duration sample = milliseconds(50);
    std::array<double, 2> times_s{};
    for (time_point at = seen.began; at < seen.attempts.back().ended; at += sample) {
        times_s.at(is_policy_change(seen, at) ? 1 : 0) += to_seconds(sample);
    }
    std::array<double, 2> cuts{};
    for (const suspect& item : suspects) {
        if (!item.work || item.work->name == "policy") {
            ++cuts.at(item.work ? 1 : 0);
        }
    }
    return cuts[1] * times_s[0] > policy_rate_factor * cuts[0] * times_s[1];
}

const char* name_of(attempt_end how) {
    constexpr std::array names{
        "pending",   "answered",     "FIN", "reset", "behind_closing_response",
        "abandoned", "not_connected"};
    return names.at(static_cast<std::size_t>(how));
}

const char* name_of(run_end how) {
    constexpr std::array names{"running", "whole", "cut", "deadline"};
    return names.at(static_cast<std::size_t>(how));
}

void write_line(const records& seen, const suspect& item, const std::string& judgement,
                std::ostream& report) {
    const attempt& made = *item.made;
    const auto since = [&seen](time_point at) { return to_seconds(at - seen.began); };
    report << judgement << " id=" << made.id << " kind=" << made.kind << " edge=edge-" << made.edge
           << " connection=" << made.connection << " behind=" << made.behind
           << " sent_s=" << since(made.sent) << " ended_s=" << since(made.ended)
           << " end=" << name_of(made.end) << " received=" << made.received
           << " status=" << made.status;
    if (item.ran == nullptr) {
        report << " target=none";
    } else {
        report << " target=" << item.ran->target << " runs=" << seen.runs.at(made.id).size()
               << " run=" << name_of(item.ran->end) << " run_ended_s="
               << (item.ran->end == run_end::running ? 0 : since(item.ran->ended))
               << " answer=" << item.ran->answer_bytes;
    }
    if (item.work) {
        report << " work=" << item.work->name << " work_s=" << since(item.work->began);
    } else {
        report << " work=none";
    }
    if (item.work && item.work->stop != nullptr) {
        const stop_record& stop = *item.work->stop;
        report << " exit_s=" << (stop.ended == time_point::max() ? 0 : since(stop.ended))
               << " killed=" << stop.was_killed;
    }
    report << '\n';
}

bool has_used_much(const records& seen, const attempt& made) {
    const duration allowed = std::min(made.deadline, route_timeout(seen, made));
    return to_seconds(made.ended - made.sent) >= policy_used_share * to_seconds(allowed);
}

} // namespace

verdict judge(const records& seen, std::ostream& report) {
    verdict found;
    std::vector<suspect> suspects;
    for (const attempt& made : seen.attempts) {
        ++found.attempts;
        found.answered += made.end == attempt_end::answered && made.is_signed ? 1 : 0;
        const run* ran = main_run(seen, made);
        if (!lacks_response(seen, made, ran)) {
            continue;
        }
        const suspect examined{&made, ran, work_at(seen, made)};
        if (const char* excuse = excuse_of(seen, made, ran)) {
            ++found.excused;
            write_line(seen, examined, excuse, report);
        } else {
            suspects.push_back(examined);
        }
    }
    const bool counts_policies = !suspects.empty() && are_policies_to_blame(seen, suspects);
    for (const suspect& item : suspects) {
        const bool is_policy = item.work && item.work->name == "policy";
        if (is_too_slow(seen, item)) {
            ++found.too_slow;
            write_line(seen, item, "too_slow_for_the_grace", report);
        } else if (!item.work ||
                   (is_policy && (!counts_policies || has_used_much(seen, *item.made)))) {
            ++found.unplanned;
            write_line(seen, item, "ended_without_planned_work", report);
        } else {
            ++found.lost;
            write_line(seen, item, "lost", report);
        }
    }
    return found;
}

} // namespace knapweedknot::soak
