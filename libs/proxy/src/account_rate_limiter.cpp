#include "proxy/account_rate_limiter.h"

#include <algorithm>

#include "base/digest.h"

namespace knapweedknot {

namespace {

// An early report is requested each time this share of the burst has been admitted.
constexpr double early_report_share = 0.1;
// For this long after the start, recent admissions by peers and by the previous process of this
// instance may be unknown.
constexpr duration unknown_history_time = seconds(5);
// Initial level of a bucket whose true level is unknown, as a share of the burst.
constexpr double initial_share = 0.15;
// Counts are reported for this long after their last change, so that later reports replace a lost
// one.
constexpr duration reporting_period = seconds(7);
// A greater gap between two reports of a serving peer means that its reports were overdue.
constexpr duration max_report_gap = milliseconds(450);
// If the last reported level is older than this, peers have admitted nothing since.
constexpr duration idle_peer_threshold = milliseconds(3500);

/// Share of the time since the report \p before that lies after \p created. Admissions before
/// \p created are already part of the bucket's initial level.
double fraction_since(time_point created, const instance_report* before, time_point now) {
    if (before == nullptr || before->received_at >= created || before->received_at >= now) {
        return 1;
    }
    return std::min(1.0, to_seconds(now - created) / to_seconds(now - before->received_at));
}

} // namespace

/// Creates the state of an account that is new on this instance. The level starts low while recent
/// admissions by peers or by the previous process may be unknown.
account_rate_limiter::account_state
account_rate_limiter::make_account_state(std::uint64_t account, const rate_limit& limit,
                                         const peer_summary& peers, time_point now) const {
    account_state state;
    state.created = now;
    state.bucket = make_shared_bucket(limit, now);
    double& tokens = state.bucket.tokens;
    const bool is_unknown = now - this->started < unknown_history_time || peers.refill_share < 1;
    if (const auto found = this->reported_levels.find(account);
        found != this->reported_levels.end()) {
        const duration age = now - found->second.reported_at;
        const bool is_settled = age > idle_peer_threshold;
        const double refill = is_settled ? to_seconds(age) * limit.rate_per_s : 0;
        tokens = std::min(tokens, found->second.tokens + refill);
    }
    if (is_unknown) {
        tokens = std::min(tokens, std::max(1.0, limit.burst * initial_share * peers.refill_share));
    }
    return state;
}

/// An instance that has just begun to serve still has old reports, as peers report to it at the
/// short interval only from then on. Until they do, the level is capped at a small share of the
/// burst, and no future tokens are reserved.
void account_rate_limiter::mark_stale_level(account_state& state, const peer_summary& peers) {
    const bool is_stale = peers.oldest_report_age > max_report_gap && peers.refill_share == 1;
    if (is_stale && !state.is_estimate) {
        state.admitted_before_estimate = state.admitted;
        state.bucket.tokens =
            std::min(state.bucket.tokens, std::max(1.0, state.bucket.limit.burst * initial_share));
    }
    state.is_estimate = is_stale;
}

account_rate_limiter::decision account_rate_limiter::admit(const traffic_account& account,
                                                           const peer_summary& peers,
                                                           duration max_wait, time_point now) {
    decision outcome;
    if (account.rate_per_s <= 0) {
        outcome.admitted = true;
        return outcome;
    }
    const rate_limit limit{account.rate_per_s, account.burst};
    const std::uint64_t id = hash64(account.id.value);
    const auto [place, is_new] = this->states.try_emplace(id);
    account_state& state = place->second;
    if (is_new) {
        state = this->make_account_state(id, limit, peers, now);
    }
    advance(state.bucket, limit, peers.refill_share, now);
    mark_stale_level(state, peers);
    shared_bucket_times current = this->times;
    current.report_delay = std::max<duration>(
        current.report_delay, std::min<duration>(peers.oldest_report_age, max_report_gap));
    const auto wait =
        reserve_token(state.bucket, current, state.is_estimate ? duration::zero() : max_wait);
    outcome.tokens = state.bucket.tokens;
    if (!wait) {
        outcome.retry_after = time_to_token(state.bucket, current);
        return outcome;
    }
    outcome.admitted = true;
    outcome.wait = *wait;
    ++state.admitted;
    state.last_admitted = now;
    const double unreported = state.admitted - state.reported;
    if (unreported >= std::max(2.0, account.burst * early_report_share)) {
        outcome.report_early = true;
        state.reported = state.admitted;
    }
    return outcome;
}

std::unordered_map<std::uint64_t, account_usage>
account_rate_limiter::report(report_kind kind, time_point now) const {
    std::unordered_map<std::uint64_t, account_usage> usages;
    for (const auto& [id, state] : this->states) {
        const bool is_recent = now - state.last_admitted < reporting_period;
        if (state.admitted > 0 && (is_recent || kind == report_kind::introduction)) {
            usages[id] = {state.admitted, state.bucket.tokens};
        }
    }
    return usages;
}

void account_rate_limiter::apply_peer_report(const instance_report& report,
                                             const instance_report* before, bool is_new,
                                             time_point now) {
    const bool was_overdue =
        before != nullptr && report.received_at - before->received_at > max_report_gap;
    for (const auto& [id, usage] : report.accounts) {
        std::uint32_t previous = 0;
        if (before != nullptr) {
            const auto reported = before->accounts.find(id);
            previous = reported == before->accounts.end() ? 0 : reported->second.admitted;
        } else if (!is_new) {
            // The first report of an older peer does not tell when its requests were admitted.
            previous = usage.admitted;
        }
        if (usage.admitted == previous && before != nullptr) {
            continue;
        }
        // A peer that is not serving gets reports at the long interval, so its levels are too high.
        if (report.serving) {
            this->reported_levels[id] = {usage.tokens, now};
        }
        if (const auto found = this->states.find(id); found != this->states.end()) {
            const double fraction = fraction_since(found->second.created, before, now);
            const peer_admissions admissions{fraction * (usage.admitted - previous), was_overdue,
                                             report.serving};
            this->apply_peer_usage(found->second, usage, admissions, now);
        }
    }
}

/// Subtracts a peer's new admissions, or adopts the peer's level if the local one is an estimate.
void account_rate_limiter::apply_peer_usage(account_state& state, const account_usage& usage,
                                            const peer_admissions& admissions, time_point now) {
    if (state.is_estimate && admissions.is_serving) {
        state.is_estimate = false;
        state.bucket.tokens = std::min(state.bucket.limit.burst, usage.tokens) -
                              (state.admitted - state.admitted_before_estimate);
        state.bucket.refilled_at = now;
        return;
    }
    if (admissions.count > 0) {
        const auto note = admissions.was_overdue ? subtract_late_peer_tokens : subtract_peer_tokens;
        note(state.bucket, admissions.count, this->times, now);
    }
}

} // namespace knapweedknot
