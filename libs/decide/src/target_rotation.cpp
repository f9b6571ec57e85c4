#include "decide/target_rotation.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

#include "decide/rendezvous.h"

namespace knapweedknot {

namespace {

// Terms of the cost of a choice, as a share of a target's slots.
constexpr double connection_bonus = 0.25;
constexpr double warm_up_penalty = 0.25;
// Cost of a request that gets no answer, in the same unit.
constexpr double retryable_failure_cost = 1.0;
constexpr double final_failure_cost = 3.0;
// The idle bonus of a half-open target may grow to this multiple, to outweigh its failure
// probability.
constexpr double max_half_open_idle_factor = 3;
// Prior probability that a target does not answer: long after its last success, right after it, and
// while it is half-open; and the time constant of the growth from the second to the first.
constexpr double stale_failure_probability = 0.06;
constexpr double fresh_failure_probability = 0.01;
constexpr double half_open_failure_probability = 0.4;
constexpr duration staleness_time_constant = milliseconds(3000);
// Mean overdue suspicion of one request that runs at a healthy target.
constexpr double expected_overdue_suspicion = 0.7;
// Time between the first requests of two instances to a half-open target. Within it, the later one
// learns from a report that the earlier one has a request there.
constexpr duration trial_interval = milliseconds(400);
// Smaller suspicions of ejected targets count as equal.
constexpr double negligible_suspicion = 1.0;
// Random jitter keeps instances that see the same loads from choosing the same target.
constexpr double max_cost_jitter = 0.1;

/// Running requests that are evidence about the target.
int recent_running(const fleet_target_state& fleet_state) {
    return std::max(0, fleet_state.running - fleet_state.running_before_ejection);
}

double total_suspicion(const target_candidate& candidate) {
    return candidate.fleet_state.overdue_suspicion / (1 + recent_running(candidate.fleet_state)) +
           candidate.fleet_state.failure_suspicion;
}

bool is_ejected(const local_target_state& target, time_point now) {
    return now < target.ejected_until;
}

/// Whether an ejected target may be tried with a retryable request.
bool may_try_early(const target_candidate& candidate, const rotation_policy& policy,
                   attempt_kind attempt, time_point now) {
    return policy.early_trial && attempt == attempt_kind::retryable && candidate.registered &&
           candidate.placement == target_placement::assigned &&
           now >= candidate.local_state->last_ejection + *policy.early_trial;
}

bool has_free_slot(const target_candidate& candidate, const rotation_policy& policy,
                   attempt_kind attempt, time_point now) {
    const local_target_state& local_state = *candidate.local_state;
    if (candidate.fleet_state.running >= candidate.slots) {
        return false;
    }
    if (!local_state.half_open) {
        return true;
    }
    // An ejected target that the floor has brought back is tried by any instance.
    const bool is_own_turn = is_ejected(local_state, now) ||
                             now >= local_state.ejected_until + candidate.trial_delay ||
                             may_try_early(candidate, policy, attempt, now);
    return is_own_turn && recent_running(candidate.fleet_state) == 0;
}

/// Prior probability that a target which was ejected does not answer.
double recovering_prior(const local_target_state& target, const rotation_policy& policy) {
    const bool was_ejected = target.last_ejection != time_point();
    return policy.early_trial && was_ejected
               ? half_open_failure_probability * std::exp2(-target.successes_since_ejection)
               : 0;
}

const placement_cost& cost_of(target_placement placement, const placement_costs& costs) {
    switch (placement) {
    case target_placement::assigned:
        return costs.assigned;
    case target_placement::same_failure_domain:
        return costs.same_failure_domain;
    case target_placement::other:
        break;
    }
    return costs.other;
}

double cost_of(const target_candidate& candidate, const rotation_policy& policy,
               attempt_kind attempt, time_point now) {
    const placement_cost& place = cost_of(candidate.placement, policy.placement);
    const double load =
        static_cast<double>(candidate.fleet_state.running) / static_cast<double>(candidate.slots);
    const double max_idle = candidate.local_state->half_open ? max_half_open_idle_factor : 1;
    const double idle = std::min(max_idle, to_seconds(now - candidate.local_state->last_used) /
                                               to_seconds(place.full_bonus_idle_time));
    const double failure_cost =
        attempt == attempt_kind::final ? final_failure_cost : retryable_failure_cost;
    return load + failure_cost * failure_probability(candidate, policy, now) -
           (candidate.connected ? connection_bonus : 0) - place.max_idle_bonus * idle + place.base +
           (candidate.warming_up ? warm_up_penalty : 0) + candidate.memory_cost;
}

} // namespace

double decayed_failure_suspicion(const local_target_state& target, const rotation_policy& policy,
                                 time_point now) noexcept {
    const double elapsed = to_seconds(now - target.failure_suspicion_at);
    return target.failure_suspicion * std::exp2(-elapsed / to_seconds(policy.failure_half_life));
}

void record_failure(local_target_state& target, double suspicion, const rotation_policy& policy,
                    time_point now) noexcept {
    target.failure_suspicion = decayed_failure_suspicion(target, policy, now) + suspicion;
    target.failure_suspicion_at = now;
}

void record_success(local_target_state& target, time_point sent, const rotation_policy& policy,
                    time_point now) noexcept {
    target.failure_suspicion =
        decayed_failure_suspicion(target, policy, now) * success_suspicion_factor;
    target.failure_suspicion_at = now;
    target.last_success = now;
    if (!predates_ejection(target, sent)) {
        target.half_open = false;
        ++target.successes_since_ejection;
        if (policy.early_trial) {
            target.ejected_until = std::min(target.ejected_until, now);
        }
    }
}

bool predates_ejection(const local_target_state& target, time_point sent) noexcept {
    return sent < target.last_ejection;
}

bool eject_if_suspect(local_target_state& target, const fleet_target_state& fleet_state,
                      const rotation_policy& policy, time_point now) noexcept {
    if (is_ejected(target, now)) {
        return false;
    }
    const double overdue_suspicion_limit =
        policy.overdue_suspicion_limit +
        policy.overdue_suspicion_limit_per_request * recent_running(fleet_state);
    if (fleet_state.overdue_suspicion <= overdue_suspicion_limit &&
        fleet_state.failure_suspicion <= policy.failure_suspicion_limit) {
        return false;
    }
    if (now - target.last_ejection > policy.ejection_reset_time) {
        target.ejections = 0;
    }
    const double factor = std::exp2(target.ejections);
    const duration length = std::min<duration>(
        policy.max_ejection_time, from_seconds(to_seconds(policy.ejection_time) * factor));
    ++target.ejections;
    target.last_ejection = now;
    target.ejected_until = now + length;
    target.half_open = true;
    target.successes_since_ejection = 0;
    return true;
}

bool adopt_ejection(local_target_state& target, time_point until, const rotation_policy& policy,
                    time_point now) noexcept {
    if (until <= now || target.ejected_until >= until) {
        return false;
    }
    const bool has_recovered =
        !target.half_open && target.last_success > until - policy.ejection_time;
    if (policy.early_trial && has_recovered) {
        return false;
    }
    const bool newly_ejected = !is_ejected(target, now);
    target.ejected_until = until;
    target.half_open = true;
    target.successes_since_ejection = 0;
    if (newly_ejected) {
        target.last_ejection = now;
    }
    return newly_ejected;
}

duration trial_delay(std::uint64_t target, incarnation_id self,
                     const std::vector<incarnation_id>& serving_peers) {
    const rendezvous_rank own_weight = rendezvous_weight(self, target);
    const auto earlier =
        std::count_if(serving_peers.begin(), serving_peers.end(), [&](incarnation_id peer) {
            return rendezvous_weight(peer, target) < own_weight;
        });
    return earlier * trial_interval;
}

std::vector<std::size_t> in_rotation(const std::vector<target_candidate>& candidates,
                                     const rotation_policy& policy, time_point now) {
    std::vector<std::size_t> rotation;
    std::vector<std::size_t> ejected;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].registered) {
            (is_ejected(*candidates[i].local_state, now) ? ejected : rotation).push_back(i);
        }
    }
    const auto registered = static_cast<double>(rotation.size() + ejected.size());
    const auto floor = static_cast<std::size_t>(std::ceil(registered * policy.floor_share));
    const auto rank = [&candidates](std::size_t index) {
        const double suspicion = total_suspicion(candidates[index]);
        return std::tuple(std::max(0.0, suspicion - negligible_suspicion),
                          candidates[index].local_state->last_ejection);
    };
    std::sort(ejected.begin(), ejected.end(),
              [&rank](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
    for (std::size_t i = 0; i < ejected.size() && rotation.size() < floor; ++i) {
        rotation.push_back(ejected[i]);
    }
    return rotation;
}

double failure_probability(const target_candidate& candidate, const rotation_policy& policy,
                           time_point now) {
    const local_target_state& local_state = *candidate.local_state;
    const double staleness = 1 - std::exp(-to_seconds(now - local_state.last_success) /
                                          to_seconds(staleness_time_constant));
    const double usual_prior = fresh_failure_probability +
                               (stale_failure_probability - fresh_failure_probability) * staleness;
    const double prior = local_state.half_open
                             ? half_open_failure_probability
                             : std::max(usual_prior, recovering_prior(local_state, policy));
    const fleet_target_state& fleet_state = candidate.fleet_state;
    const double log_evidence = fleet_state.overdue_suspicion -
                                expected_overdue_suspicion * recent_running(fleet_state) +
                                fleet_state.failure_suspicion;
    const double odds = prior / (1 - prior) * std::exp(std::clamp(log_evidence, -3.0, 12.0));
    return odds / (1 + odds);
}

std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         const rotation_policy& policy, attempt_kind attempt,
                                         std::minstd_rand& random, time_point now) {
    std::uniform_real_distribution<double> cost_jitter(0, max_cost_jitter);
    std::optional<std::size_t> best;
    double min_cost = 0;
    std::vector<std::size_t> eligible = in_rotation(candidates, policy, now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (is_ejected(*candidates[i].local_state, now) &&
            may_try_early(candidates[i], policy, attempt, now) &&
            std::find(eligible.begin(), eligible.end(), i) == eligible.end()) {
            eligible.push_back(i);
        }
    }
    for (const std::size_t index : eligible) {
        const target_candidate& candidate = candidates[index];
        if (candidate.excluded || !has_free_slot(candidate, policy, attempt, now)) {
            continue;
        }
        const double cost = cost_of(candidate, policy, attempt, now) + cost_jitter(random);
        if (!best || cost < min_cost) {
            best = index;
            min_cost = cost;
        }
    }
    return best;
}

} // namespace knapweedknot
