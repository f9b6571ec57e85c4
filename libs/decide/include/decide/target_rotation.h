#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"

/// \file
/// Which targets of a service may get work, and which one gets the next request, from the evidence
/// of all instances: what runs at each target and for how long, and what has failed there.
///
/// Pattern: a target that answers nothing, while its health check is good, holds every request
/// that it is given. No answer tells of it, so the ages of what still runs have to.
///
/// All functions are pure but for their first argument. Not thread safe.

namespace knapweedknot {

/// Thresholds of the rotation.
struct rotation_policy {
    /// Least share of the registered targets that stays in rotation, whatever the evidence.
    double floor_share{0.7};
    /// Doubt from requests that run longer than usual, above which a target is taken out: this
    /// much, and more for each running request, since each one contributes about 1 by itself.
    double silence_limit{3.5};
    double silence_limit_per_request{2.0};
    /// Doubt from failures above which a target is taken out.
    double failure_limit{4.0};
    /// First time out of rotation; doubled for each repeat up to the longest.
    duration time_out{milliseconds(4000)};
    duration longest_time_out{milliseconds(8000)};
    /// Time without a failure after which earlier times out are forgotten.
    duration good_conduct{milliseconds(15000)};
    /// Half-life of the doubt from failures.
    duration failure_half_life{milliseconds(2500)};
};

/// How strongly one event speaks against a target.
inline constexpr double doubt_of_failed_connection = 4.5;
inline constexpr double doubt_of_broken_exchange = 2.5;
inline constexpr double doubt_of_error_answer = 1.5;
/// A good answer leaves this share of the doubt from failures.
inline constexpr double doubt_left_after_success = 0.5;

/// One instance's judgement of a target.
struct target_evidence {
    /// Doubt from own failures at \p failures_at; it fades.
    double failures{0};
    time_point failures_at;
    /// Out of rotation until then.
    time_point out_until;
    /// Times out without good conduct between them.
    int times_out{0};
    time_point last_out;
    /// True from the end of a time out until the first good answer: one request at a time.
    bool on_trial{false};
    /// When it last gave a good answer; the epoch before the first.
    time_point last_success;
    /// When this instance last gave it a request; the epoch before the first.
    time_point last_used;
};

/// Adds \p doubt from a failure.
void note_failure(target_evidence& target, double doubt, const rotation_policy& policy,
                  time_point now) noexcept;
/// Notes a good answer.
void note_success(target_evidence& target, const rotation_policy& policy, time_point now) noexcept;
/// Doubt from own failures at \p now.
[[nodiscard]] double failure_doubt(const target_evidence& target, const rotation_policy& policy,
                                   time_point now) noexcept;

/// What all instances together know of a target.
struct target_standing {
    /// Requests that run there.
    int running{0};
    /// Sum over the running requests of -ln(probability that a healthy target still runs it).
    double silence{0};
    /// Doubt from failures.
    double failures{0};
};

/// Takes \p target out of rotation if \p standing gives reason to. True when it does so now.
bool judge(target_evidence& target, const target_standing& standing, const rotation_policy& policy,
           time_point now) noexcept;
/// Takes \p target out as another instance has done, until \p until. True when that is news.
bool follow_judgement(target_evidence& target, time_point until, time_point now) noexcept;

/// A target as a candidate for the next request.
struct target_candidate {
    target_evidence* evidence{nullptr};
    target_standing standing;
    int slots{1};
    /// False when it has left or is leaving: it gets no work and does not count for the floor.
    bool registered{true};
    /// True when the request may not go there, for example because it was there before.
    bool excluded{false};
    /// True when an idle connection to it is open.
    bool connected{false};
    /// True when it stands in the failure domain of this instance.
    bool nearby{false};
    /// True while it has just started and is slow.
    bool warming_up{false};
};

/// Positions of the candidates in rotation: all that are not taken out, and those with the least
/// doubt among the others while fewer than the floor are left.
[[nodiscard]] std::vector<std::size_t> in_rotation(const std::vector<target_candidate>& candidates,
                                                   const rotation_policy& policy, time_point now);

/// Probability that \p candidate would not answer a request now. Grows with what runs there for
/// longer than usual, with failures, and with the time since its last good answer.
[[nodiscard]] double risk_of(const target_candidate& candidate, time_point now);

/// What it means for a request not to be answered.
enum class loss { repeatable, final };

/// Position of the candidate in rotation that should get the next request: one with a free slot
/// and the least cost of load and risk, with small preferences for an open connection and for its
/// failure domain. Nothing when none has a free slot.
/// \param if_lost whether the request can be sent once more if it is not answered
[[nodiscard]] std::optional<std::size_t>
choose_target(const std::vector<target_candidate>& candidates, const rotation_policy& policy,
              loss if_lost, std::minstd_rand& random, time_point now);

} // namespace knapweedknot
