#include "log_reader/request_explanation.h"

#include <algorithm>
#include <array>
#include <set>

namespace knapweedknot {

namespace {

using name_set = std::set<std::string, std::less<>>;

// Events of a target that can explain the outcome of a request sent to it.
constexpr std::array<std::string_view, 4> related_target_events{
    "target_taken_out", "target_vanished", "target_gone", "target_misdirected"};
// Events of an instance that can explain the outcome of a request it handled.
constexpr std::array<std::string_view, 7> related_instance_events{
    "store_lost",       "store_regained", "policy_adopted",  "evacuation_ordered",
    "evacuation_ended", "drain_started",  "instance_started"};
// A related event lies at most this long before the first or after the last event of the request.
constexpr std::chrono::milliseconds related_before{10'000};
constexpr std::chrono::milliseconds related_after{3'000};
// Log keys under which the events of a request name targets.
constexpr std::array<std::string_view, 3> target_keys{"target", "from", "to"};
// Values of the log key "outcome".
constexpr std::string_view stale_outcome = "configuration_stale";
constexpr std::string_view rate_outcome = "rate_exceeded";
constexpr std::string_view served_outcome = "served";

template <typename List>
bool contains(const List& list, std::string_view item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool is_final_event(const log_line& line) {
    return line.event == "request_served" || line.event == "request_failed" ||
           line.event == "request_refused" || line.event == "caller_gone";
}

bool names_target(const log_line& line, const name_set& targets) {
    return contains(related_target_events, line.event) && targets.contains(line.field("target"));
}

bool names_instance(const log_line& line, const name_set& instances) {
    return contains(related_instance_events, line.event) && instances.contains(line.origin);
}

const log_line* find_last(const std::vector<log_line>& lines, std::string_view event,
                          std::string_view target) {
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [&](const log_line& line) {
        return line.event == event && (target.empty() || line.field("target") == target);
    });
    return found == lines.rend() ? nullptr : &*found;
}

std::string quote(std::string_view text) {
    return '"' + std::string(text) + '"';
}

/// Describes what the logs show about the last target of the request.
std::string describe_target(const std::vector<log_line>& lines, std::string_view target) {
    if (target.empty()) {
        return " It was sent to no target.";
    }
    const std::string name = " Target " + std::string(target);
    if (const log_line* ejection = find_last(lines, "target_taken_out", target);
        ejection != nullptr) {
        return name + " was taken out: " + std::string(ejection->field("running")) +
               " running, silence " + std::string(ejection->field("silence")) + ", failures " +
               std::string(ejection->field("failures")) + ".";
    }
    if (find_last(lines, "target_vanished", target) != nullptr ||
        find_last(lines, "target_gone", target) != nullptr) {
        return name + " left the platform's list without a report: it has crashed or its "
                      "connection was lost.";
    }
    return name + " has no related event in these logs; check the target itself.";
}

std::string describe_attempts(const std::vector<log_line>& lines, const log_line& final_event) {
    std::string text = " Attempts: " + std::string(final_event.field("attempts")) + ".";
    if (const log_line* failed = find_last(lines, "attempt_failed", ""); failed != nullptr) {
        text += " Last failed attempt: " + std::string(failed->field("problem")) +
                ", sent: " + std::string(failed->field("sent")) + ".";
    }
    return text;
}

std::string describe_outcome(const std::vector<log_line>& lines, const log_line& final_event) {
    const std::string_view outcome = final_event.field("outcome");
    if (final_event.event == "caller_gone") {
        const log_line* ejection = find_last(lines, "target_taken_out", "");
        return "The caller closed its connection before there was an answer." +
               (ejection == nullptr ? "" : describe_target(lines, ejection->field("target")));
    }
    if (outcome == served_outcome) {
        return "Served after " + std::string(final_event.field("total_ms")) + " ms." +
               describe_attempts(lines, final_event);
    }
    if (outcome == rate_outcome) {
        return "Refused: the account exceeded its fleet-wide rate limit (" +
               std::string(final_event.field("detail")) + "), by policy " +
               std::string(final_event.field("policy")) + ".";
    }
    if (outcome == stale_outcome) {
        return "Refused: the instance could not prove that its policy is the newest (" +
               std::string(final_event.field("detail")) + "; age of the last confirmation " +
               std::string(final_event.field("proof_age_ms")) + " ms). See store_lost above.";
    }
    if (final_event.event == "request_refused") {
        return "Refused before it was sent: " + std::string(outcome) + ", " +
               quote(final_event.field("detail")) + ", by policy " +
               std::string(final_event.field("policy")) + ".";
    }
    return "Failed after " + std::string(final_event.field("total_ms")) +
           " ms: " + std::string(outcome) + ", " + quote(final_event.field("detail")) + "." +
           describe_attempts(lines, final_event) +
           describe_target(lines, final_event.field("target"));
}

/// Describes the end of the connection on which the response was lost; empty if none was.
std::string describe_lost_response(const std::vector<log_line>& lines, std::string_view id) {
    const auto lost = std::find_if(lines.begin(), lines.end(), [id](const log_line& line) {
        return line.event == "response_lost" && line.field("id") == id;
    });
    if (lost == lines.end()) {
        return {};
    }
    return " The caller did not get a whole response: its connection ended with reason " +
           std::string(lost->field("reason")) + ", manner " + std::string(lost->field("manner")) +
           ".";
}

/// Targets and instances that the events of one request name, and the time span of these events.
struct request_scope {
    name_set targets;
    name_set instances;
    std::chrono::milliseconds first{std::chrono::milliseconds::max()};
    std::chrono::milliseconds last{std::chrono::milliseconds::min()};
};

request_scope find_scope(const std::vector<log_line>& log, std::string_view id) {
    request_scope scope;
    for (const log_line& line : log) {
        if (line.field("id") != id) {
            continue;
        }
        scope.instances.insert(line.origin);
        scope.first = std::min(scope.first, line.unix_time);
        scope.last = std::max(scope.last, line.unix_time);
        for (const std::string_view key : target_keys) {
            if (const std::string_view target = line.field(key); !target.empty()) {
                scope.targets.emplace(target);
            }
        }
    }
    return scope;
}

/// Whether \p line is an event of a target or an instance in \p scope that can explain the outcome.
bool is_related(const request_scope& scope, const log_line& line) {
    const bool is_in_window = line.unix_time >= scope.first - related_before &&
                              line.unix_time <= scope.last + related_after;
    return is_in_window &&
           (names_target(line, scope.targets) || names_instance(line, scope.instances));
}

} // namespace

request_explanation explain_request(const std::vector<log_line>& log, std::string_view id) {
    request_explanation explanation;
    const request_scope scope = find_scope(log, id);
    if (scope.instances.empty()) {
        explanation.cause =
            "No instance logged this request: it did not arrive completely, its lines were "
            "dropped (see lines_left_out), or a log is missing.";
        return explanation;
    }
    std::copy_if(
        log.begin(), log.end(), std::back_inserter(explanation.lines),
        [&](const log_line& line) { return line.field("id") == id || is_related(scope, line); });
    std::stable_sort(
        explanation.lines.begin(), explanation.lines.end(),
        [](const log_line& a, const log_line& b) { return a.unix_time < b.unix_time; });
    const auto final_event = std::find_if(
        explanation.lines.rbegin(), explanation.lines.rend(),
        [id](const log_line& line) { return line.field("id") == id && is_final_event(line); });
    explanation.cause =
        final_event != explanation.lines.rend()
            ? describe_outcome(explanation.lines, *final_event)
            : "The logs show no end: the instance was killed or hung, or the caller "
              "disconnected unnoticed.";
    explanation.cause += describe_lost_response(explanation.lines, id);
    return explanation;
}

} // namespace knapweedknot
