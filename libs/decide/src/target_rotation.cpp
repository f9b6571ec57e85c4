#include "decide/target_rotation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedknot {

namespace {

// Preferences of the choice, in parts of a target's capacity.
constexpr double worth_of_connection = 0.25;
constexpr double worth_of_nearness = 0.25;
constexpr double cost_of_warm_up = 0.25;
// What a request that is not answered costs, in parts of a target's capacity.
constexpr double cost_of_repeatable_loss = 1.0;
constexpr double cost_of_final_loss = 3.0;
// A target that has had no request for a while gets one soon: it stays known, one that has joined
// becomes known, and little traffic still reaches the floor of targets.
constexpr double worth_of_long_rest = 0.8;
constexpr duration long_rest = milliseconds(1500);
// The rest of a target on trial counts up to this many times as much, to outweigh its risk.
constexpr double longest_rest_on_trial = 3;
// Probability that a target has turned bad when nothing has been heard of it for long, and how
// fast it grows after a good answer.
constexpr double risk_unheard = 0.06;
constexpr double risk_just_heard = 0.01;
constexpr double risk_on_trial = 0.4;
constexpr duration risk_growth = milliseconds(3000);
// What a request that runs at a healthy target adds to the silence by itself, on average.
constexpr double usual_silence = 0.7;
// Keeps instances that see the same loads from choosing the same target.
constexpr double random_spread = 0.1;

double doubt_of(const target_candidate& candidate) {
    return candidate.standing.silence / (1 + candidate.standing.running) +
           candidate.standing.failures;
}

bool is_out(const target_evidence& target, time_point now) {
    return now < target.out_until;
}

bool has_room(const target_candidate& candidate, time_point now) {
    const bool on_trial = candidate.evidence->on_trial && !is_out(*candidate.evidence, now);
    const int limit = on_trial ? 1 : candidate.slots;
    return candidate.standing.running < limit;
}

double cost_of(const target_candidate& candidate, loss if_lost, time_point now) {
    const double load =
        static_cast<double>(candidate.standing.running) / static_cast<double>(candidate.slots);
    const double limit = candidate.evidence->on_trial ? longest_rest_on_trial : 1;
    const double rest =
        std::min(limit, to_seconds(now - candidate.evidence->last_used) / to_seconds(long_rest));
    const double cost_of_loss =
        if_lost == loss::final ? cost_of_final_loss : cost_of_repeatable_loss;
    return load + cost_of_loss * risk_of(candidate, now) -
           (candidate.connected ? worth_of_connection : 0) -
           (candidate.nearby ? worth_of_nearness : 0) - worth_of_long_rest * rest +
           (candidate.warming_up ? cost_of_warm_up : 0);
}

} // namespace

double failure_doubt(const target_evidence& target, const rotation_policy& policy,
                     time_point now) noexcept {
    const double passed = to_seconds(now - target.failures_at);
    return target.failures * std::exp2(-passed / to_seconds(policy.failure_half_life));
}

void note_failure(target_evidence& target, double doubt, const rotation_policy& policy,
                  time_point now) noexcept {
    target.failures = failure_doubt(target, policy, now) + doubt;
    target.failures_at = now;
}

void note_success(target_evidence& target, const rotation_policy& policy, time_point now) noexcept {
    target.failures = failure_doubt(target, policy, now) * doubt_left_after_success;
    target.failures_at = now;
    target.last_success = now;
    target.on_trial = false;
}

bool judge(target_evidence& target, const target_standing& standing, const rotation_policy& policy,
           time_point now) noexcept {
    if (is_out(target, now)) {
        return false;
    }
    const double silence_limit =
        policy.silence_limit + policy.silence_limit_per_request * standing.running;
    if (standing.silence <= silence_limit && standing.failures <= policy.failure_limit) {
        return false;
    }
    if (now - target.last_out > policy.good_conduct) {
        target.times_out = 0;
    }
    const double factor = std::exp2(target.times_out);
    const duration length = std::min<duration>(policy.longest_time_out,
                                               from_seconds(to_seconds(policy.time_out) * factor));
    ++target.times_out;
    target.last_out = now;
    target.out_until = now + length;
    target.on_trial = true;
    return true;
}

bool follow_judgement(target_evidence& target, time_point until, time_point now) noexcept {
    if (until <= now || target.out_until >= until) {
        return false;
    }
    const bool is_news = !is_out(target, now);
    target.out_until = until;
    target.last_out = now;
    target.on_trial = true;
    return is_news;
}

std::vector<std::size_t> in_rotation(const std::vector<target_candidate>& candidates,
                                     const rotation_policy& policy, time_point now) {
    std::vector<std::size_t> rotation;
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].registered) {
            (is_out(*candidates[i].evidence, now) ? out : rotation).push_back(i);
        }
    }
    const auto registered = static_cast<double>(rotation.size() + out.size());
    const auto floor = static_cast<std::size_t>(std::ceil(registered * policy.floor_share));
    std::sort(out.begin(), out.end(), [&candidates](std::size_t a, std::size_t b) {
        return doubt_of(candidates[a]) < doubt_of(candidates[b]);
    });
    for (std::size_t i = 0; i < out.size() && rotation.size() < floor; ++i) {
        rotation.push_back(out[i]);
    }
    return rotation;
}

double risk_of(const target_candidate& candidate, time_point now) {
    const target_evidence& evidence = *candidate.evidence;
    const double unheard =
        1 - std::exp(-to_seconds(now - evidence.last_success) / to_seconds(risk_growth));
    const double before = evidence.on_trial
                              ? risk_on_trial
                              : risk_just_heard + (risk_unheard - risk_just_heard) * unheard;
    const target_standing& standing = candidate.standing;
    const double evidence_against =
        standing.silence - usual_silence * standing.running + standing.failures;
    const double odds = before / (1 - before) * std::exp(std::clamp(evidence_against, -3.0, 12.0));
    return odds / (1 + odds);
}

std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         const rotation_policy& policy, loss if_lost,
                                         std::minstd_rand& random, time_point now) {
    std::uniform_real_distribution<double> spread(0, random_spread);
    std::optional<std::size_t> best;
    double least = 0;
    for (const std::size_t place : in_rotation(candidates, policy, now)) {
        const target_candidate& candidate = candidates[place];
        if (candidate.excluded || !has_room(candidate, now)) {
            continue;
        }
        const double cost = cost_of(candidate, if_lost, now) + spread(random);
        if (!best || cost < least) {
            best = place;
            least = cost;
        }
    }
    return best;
}

} // namespace knapweedknot
