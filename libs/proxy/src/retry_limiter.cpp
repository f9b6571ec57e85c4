#include "proxy/retry_limiter.h"

#include <cmath>
#include <utility>

#include "base/digest.h"

namespace knapweedknot {

namespace {

// Usable share of the allowance; the rest covers retries that peers have not reported yet.
constexpr double usable_allowance_share = 0.6;
// Crash count by which an instance reports that a suspect was answered.
constexpr std::uint32_t answered_mark = 0;
// Time for which that is reported; covers the longest interval between two reports.
constexpr duration answered_report_time = seconds(5);

} // namespace

retry_limiter::service_state& retry_limiter::state_of(std::uint64_t service, time_point now) {
    const auto [place, is_new] = this->states.try_emplace(service);
    if (is_new) {
        place->second.bucket =
            make_shared_bucket({0, this->policy.allowance * usable_allowance_share}, now);
        place->second.rate_updated_at = now;
    }
    return place->second;
}

void retry_limiter::add_to_request_rate(service_state& state, double count, time_point now) const {
    const double window = to_seconds(this->policy.window);
    const double passed = to_seconds(now - state.rate_updated_at);
    state.request_rate = state.request_rate * std::exp(-passed / window) + count / window;
    state.rate_updated_at = now;
}

void retry_limiter::record_request(const service_id& service, time_point now) {
    service_state& state = this->state_of(hash64(service.value), now);
    ++state.usage.requests;
    this->add_to_request_rate(state, 1, now);
}

bool retry_limiter::take_retry(const service_id& service, time_point now) {
    service_state& state = this->state_of(hash64(service.value), now);
    this->add_to_request_rate(state, 0, now);
    const rate_limit limit{state.request_rate * this->policy.share,
                           this->policy.allowance * usable_allowance_share};
    advance(state.bucket, limit, 1, now);
    if (!take_token(state.bucket, this->times)) {
        return false;
    }
    ++state.usage.retries;
    return true;
}

void retry_limiter::record_end(std::uint64_t fingerprint, const target_id& target,
                               const exchange_end& end, time_point now) {
    knapweedknot::record_end(this->local_crashes, fingerprint, target,
                             find_cause(end, this->policy.crashes), this->policy.crashes, now);
}

void retry_limiter::record_unreachable(const target_id& target, time_point now) {
    knapweedknot::record_unreachable(this->local_crashes, target, this->policy.crashes, now);
}

void retry_limiter::clear_crashes(std::uint64_t fingerprint, time_point now) {
    std::erase_if(this->answered_at,
                  [&](const auto& item) { return now - item.second > answered_report_time; });
    if (this->forget_suspect(fingerprint)) {
        this->answered_at[fingerprint] = now;
    }
}

bool retry_limiter::forget_suspect(std::uint64_t fingerprint) {
    std::size_t removed = this->local_crashes.latest.count(fingerprint);
    acquit(this->local_crashes, fingerprint);
    for (auto& [peer, crashes] : this->peer_crashes) {
        removed += crashes.erase(fingerprint);
    }
    return removed > 0;
}

/// Crashes that peers report, for the suspects of this instance and of theirs.
crash_counts retry_limiter::sum_peer_crashes() const {
    crash_counts total;
    for (const auto& [peer, crashes] : this->peer_crashes) {
        for (const auto& [fingerprint, count] : crashes) {
            total[fingerprint] += count;
        }
    }
    return total;
}

bool retry_limiter::is_quarantined(std::uint64_t fingerprint, time_point now) const {
    std::uint32_t reported = 0;
    for (const auto& [peer, crashes] : this->peer_crashes) {
        if (const auto found = crashes.find(fingerprint); found != crashes.end()) {
            reported += found->second;
        }
    }
    const std::uint32_t limit = this->policy.crashes_to_quarantine;
    const std::uint32_t seen =
        count_crashes(this->local_crashes, fingerprint, this->policy.crashes, now);
    if (seen == 0 || reported + seen < limit) {
        return reported + seen >= limit;
    }
    return reported + count_attributed_crashes(this->local_crashes, fingerprint,
                                               this->sum_peer_crashes(), this->policy.crashes,
                                               now) >=
           limit;
}

void retry_limiter::add_to_report(instance_report& report, time_point now) const {
    for (const auto& [service, state] : this->states) {
        report.services[service] = state.usage;
    }
    for (const auto& [fingerprint, answered] : this->answered_at) {
        if (now - answered <= answered_report_time) {
            report.crashes[fingerprint] = answered_mark;
        }
    }
    const crash_counts elsewhere = this->sum_peer_crashes();
    for (const auto& [fingerprint, latest] : this->local_crashes.latest) {
        const std::uint32_t count = count_attributed_crashes(this->local_crashes, fingerprint,
                                                             elsewhere, this->policy.crashes, now);
        if (count > 0) {
            report.crashes[fingerprint] = count;
        }
    }
}

void retry_limiter::apply_peer_report(incarnation_id peer, const instance_report& report,
                                      const instance_report* before, time_point now) {
    for (const auto& [service, usage] : report.services) {
        service_usage previous = usage;
        if (before != nullptr) {
            const auto reported = before->services.find(service);
            previous = reported == before->services.end() ? service_usage{} : reported->second;
        }
        service_state& state = this->state_of(service, now);
        this->add_to_request_rate(state, usage.requests - previous.requests, now);
        if (usage.retries > previous.retries) {
            subtract_peer_tokens(state.bucket, usage.retries - previous.retries, this->times, now);
        }
    }
    this->apply_peer_crashes(this->peer_crashes[peer], report.crashes, now);
}

void retry_limiter::apply_peer_crashes(crash_counts& known, const crash_counts& reported,
                                       time_point now) {
    const crash_counts before = std::exchange(known, {});
    for (const auto& [fingerprint, count] : reported) {
        if (count == answered_mark) {
            this->forget_suspect(fingerprint);
            continue;
        }
        known[fingerprint] = count;
        const auto previous = before.find(fingerprint);
        if (previous == before.end() || previous->second < count) {
            renew_suspect(this->local_crashes, fingerprint, this->policy.crashes, now);
        }
    }
}

void retry_limiter::remove_peer(incarnation_id peer) {
    this->peer_crashes.erase(peer);
}

} // namespace knapweedknot
