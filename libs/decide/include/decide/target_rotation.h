#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Outlier ejection of a service's targets, and the choice of a target for a request.
///
/// Both use what all instances report about a target: how many requests run there and for how
/// long, and which have failed. The ages of running requests matter because a target can hang while
/// its health check passes: it holds every request that it gets and never returns an error.
///
/// Each function modifies nothing but its first argument (choose_target() only the random number
/// generator). Not thread safe.

namespace knapweedknot {

/// How much a target in a certain place is preferred, in the unit of the load: a target's slots.
struct placement_cost {
    /// Added to the cost of a choice.
    double base{0};
    /// Largest bonus for a target that has been idle for a while. It keeps the target's state
    /// current, probes targets that have just joined, and spreads little traffic over at least the
    /// floor share of the targets.
    double max_idle_bonus{0};
    /// Idle time from which the bonus is the largest.
    duration full_bonus_idle_time{milliseconds(1500)};
};

/// Where a target is, relative to the failure domain in which the request should find its target.
enum class target_placement : std::uint8_t {
    /// In that domain, and assigned to this instance (decide/target_assignment.h).
    assigned,
    /// In that domain, not assigned to this instance.
    same_failure_domain,
    /// In another one, even if assigned.
    other,
};

/// Costs by placement.
struct placement_costs {
    placement_cost assigned;
    placement_cost same_failure_domain;
    placement_cost other;
};

/// A small preference for the own failure domain. Targets are not assigned.
inline constexpr placement_costs domain_preference_costs{{-0.25, 0.8}, {-0.25, 0.8}, {0, 0.8}};
/// Keeps requests on the assigned targets while these have free slots, then in the failure domain
/// while it has. Idle targets are probed by the instance to which they are assigned, and at long
/// intervals by the others of the failure domain: the assigned one may not know the target.
inline constexpr placement_costs overflow_costs{{-1, 0.8}, {0, 1.6}, {1, 0}};

/// Thresholds of the ejection of targets, and the costs of a choice.
struct rotation_policy {
    /// Minimum share of the registered targets that stays in rotation, even if they are suspect.
    double floor_share{0.7};
    /// A target is ejected when its overdue suspicion exceeds this limit plus the limit per request
    /// for each running request. Each running request contributes about 1 at a healthy target.
    double overdue_suspicion_limit{3.5};
    double overdue_suspicion_limit_per_request{2.0};
    /// A target is ejected when its failure suspicion exceeds this limit.
    double failure_suspicion_limit{4.0};
    /// Length of the first ejection; doubles with each further one up to the maximum. A recovered
    /// target is idle until its ejection ends, so the maximum bounds how long it stays unused.
    duration ejection_time{milliseconds(5000)};
    duration max_ejection_time{milliseconds(5000)};
    /// Time since the start of the last ejection after which the length starts over.
    duration ejection_reset_time{milliseconds(15000)};
    /// Half-life of the failure suspicion.
    duration failure_half_life{milliseconds(2500)};
    placement_costs placement{domain_preference_costs};
    /// Time after an ejection from which the instance to which the target is assigned may try it
    /// with a retryable request. A success ends the ejection.
    std::optional<duration> early_trial;
};

/// Failure suspicion that one event adds to a target.
inline constexpr double connect_failure_suspicion = 4.5;
inline constexpr double exchange_failure_suspicion = 2.5;
inline constexpr double error_response_suspicion = 1.5;
/// A successful response multiplies the failure suspicion by this factor.
inline constexpr double success_suspicion_factor = 0.5;

/// What one instance knows about a target.
struct local_target_state {
    /// Suspicion from this instance's own failures as of \p failure_suspicion_at; decays over time.
    double failure_suspicion{0};
    time_point failure_suspicion_at;
    /// Out of rotation until then.
    time_point ejected_until;
    /// Ejections since the length last started over.
    int ejections{0};
    /// Start of the last ejection.
    time_point last_ejection;
    /// Successful responses to requests that were sent after the last ejection.
    int successes_since_ejection{0};
    /// Set by an ejection and cleared by the first successful response. A half-open target gets one
    /// request at a time.
    bool half_open{false};
    /// Time of the last successful response; the epoch before the first.
    time_point last_success;
    /// When this instance last sent a request to the target; the epoch before the first.
    time_point last_used;
};

/// Adds \p suspicion for a failure.
void record_failure(local_target_state& target, double suspicion, const rotation_policy& policy,
                    time_point now) noexcept;
/// Records a successful response to a request that was sent at \p sent.
void record_success(local_target_state& target, time_point sent, const rotation_policy& policy,
                    time_point now) noexcept;
/// True when a request that was sent at \p sent tells nothing about the target's present health,
/// because the target has been ejected since. If it hangs, it hung before the ejection.
[[nodiscard]] bool predates_ejection(const local_target_state& target, time_point sent) noexcept;
/// Failure suspicion from this instance's own failures, decayed to \p now.
[[nodiscard]] double decayed_failure_suspicion(const local_target_state& target,
                                               const rotation_policy& policy,
                                               time_point now) noexcept;

/// What all instances together know about a target.
struct fleet_target_state {
    /// Requests in flight to the target.
    int running{0};
    /// Sum over the running requests that do not predate the last ejection of -ln(probability that
    /// a healthy target has not yet answered), as in an accrual failure detector.
    double overdue_suspicion{0};
    /// Suspicion from failed requests.
    double failure_suspicion{0};
    /// Running requests that predate the last ejection: they occupy slots, but are no evidence.
    int running_before_ejection{0};
};

/// Ejects \p target if a suspicion exceeds its limit. True if this call ejected it.
bool eject_if_suspect(local_target_state& target, const fleet_target_state& fleet_state,
                      const rotation_policy& policy, time_point now) noexcept;
/// Applies an ejection by another instance that lasts until \p until. True if the target was in
/// rotation before. With early trials, a success since the start of that ejection overrules it.
bool adopt_ejection(local_target_state& target, time_point until, const rotation_policy& policy,
                    time_point now) noexcept;

/// Delay between the end of an ejection and the first request of this instance to the target.
/// Serving instances take turns in an order that depends on the target, so that a target which
/// still hangs holds one request, not one from each instance.
///
/// \param target hash of the target's id
[[nodiscard]] duration trial_delay(std::uint64_t target, incarnation_id self,
                                   const std::vector<incarnation_id>& serving_peers);

/// A target as a candidate for the next request.
struct target_candidate {
    local_target_state* local_state{nullptr};
    fleet_target_state fleet_state;
    int slots{1};
    /// False when the target has left or is leaving: it gets no requests and does not count for
    /// the floor.
    bool registered{true};
    /// True when this request must not go there, for example because an earlier attempt did.
    bool excluded{false};
    /// True when an idle connection to the target is open.
    bool connected{false};
    target_placement placement{target_placement::other};
    /// True while the target has just started and is slow.
    bool warming_up{false};
    /// A half-open target gets no request from this instance for this long after its ejection.
    duration trial_delay{duration::zero()};
    /// Term of the cost for the large bodies that the target holds (decide/target_memory.h).
    double memory_cost{0};
};

/// Indices of the candidates in rotation: all that are not ejected, and, while these are fewer than
/// the floor, the least suspect of the ejected ones, those that were ejected first before the
/// others.
[[nodiscard]] std::vector<std::size_t> in_rotation(const std::vector<target_candidate>& candidates,
                                                   const rotation_policy& policy, time_point now);

/// Probability that \p candidate would not answer a request sent now. Grows with its suspicion and
/// with the time since its last successful response.
/// After an ejection it falls with each success, if \p policy has early trials: a target that fails
/// a part of its requests also answers some.
[[nodiscard]] double failure_probability(const target_candidate& candidate,
                                         const rotation_policy& policy, time_point now);

/// Whether a request can be sent again if this attempt fails.
enum class attempt_kind { retryable, final };

/// Index of the candidate in rotation that should get the next request: the one with a free slot
/// and the lowest cost, which combines load and failure probability with small bonuses for an open
/// connection and for the target's placement. Nothing when no candidate has a free slot.
[[nodiscard]] std::optional<std::size_t>
choose_target(const std::vector<target_candidate>& candidates, const rotation_policy& policy,
              attempt_kind attempt, std::minstd_rand& random, time_point now);

} // namespace knapweedknot
