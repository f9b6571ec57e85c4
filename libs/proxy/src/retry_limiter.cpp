#include "proxy/retry_limiter.h"

#include <cmath>

#include "base/digest.h"

namespace knapweedknot {

namespace {

// Usable share of the allowance; the rest covers retries that peers have not reported yet.
constexpr double usable_allowance_share = 0.6;
// Number of fingerprints at which expired crash records are removed.
constexpr std::size_t max_crash_records = 256;

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

void retry_limiter::record_crash(std::uint64_t fingerprint, time_point now) {
    if (this->local_crashes.size() >= max_crash_records) {
        std::erase_if(this->local_crashes, [&](const auto& item) {
            return now - item.second.last > this->policy.crash_window;
        });
    }
    crash_record& record = this->local_crashes[fingerprint];
    if (now - record.last > this->policy.crash_window) {
        record.crashes = 0;
    }
    ++record.crashes;
    record.last = now;
}

void retry_limiter::clear_crashes(std::uint64_t fingerprint) {
    this->local_crashes.erase(fingerprint);
}

bool retry_limiter::is_quarantined(std::uint64_t fingerprint, time_point now) const {
    std::uint32_t crash_count = 0;
    if (const auto own = this->local_crashes.find(fingerprint);
        own != this->local_crashes.end() && now - own->second.last <= this->policy.crash_window) {
        crash_count += own->second.crashes;
    }
    for (const auto& [peer, crashes] : this->peer_crashes) {
        if (const auto reported = crashes.find(fingerprint); reported != crashes.end()) {
            crash_count += reported->second;
        }
    }
    return crash_count >= this->policy.crashes_to_quarantine;
}

void retry_limiter::add_to_report(instance_report& report, time_point now) const {
    for (const auto& [service, state] : this->states) {
        report.services[service] = state.usage;
    }
    for (const auto& [fingerprint, record] : this->local_crashes) {
        if (now - record.last <= this->policy.crash_window) {
            report.crashes[fingerprint] = record.crashes;
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
    this->peer_crashes[peer] = report.crashes;
}

void retry_limiter::remove_peer(incarnation_id peer) {
    this->peer_crashes.erase(peer);
}

} // namespace knapweedknot
