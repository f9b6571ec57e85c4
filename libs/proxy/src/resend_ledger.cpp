#include "proxy/resend_ledger.h"

#include <cmath>

#include "base/digest.h"

namespace knapweedknot {

namespace {

// Part of the allowance that is used; the rest covers resends that peers have not told of yet.
constexpr double used_allowance = 0.6;
// Fingerprints that are remembered at most.
constexpr std::size_t max_crashes = 256;

} // namespace

resend_ledger::entry& resend_ledger::entry_of(std::uint64_t service, time_point now) {
    const auto [place, is_new] = this->entries.try_emplace(service);
    if (is_new) {
        place->second.bucket =
            make_shared_bucket({0, this->policy.allowance * used_allowance}, now);
        place->second.rate_since = now;
    }
    return place->second;
}

void resend_ledger::add_requests(entry& counted, double count, time_point now) const {
    const double window = to_seconds(this->policy.window);
    const double passed = to_seconds(now - counted.rate_since);
    counted.request_rate = counted.request_rate * std::exp(-passed / window) + count / window;
    counted.rate_since = now;
}

void resend_ledger::note_request(const service_id& service, time_point now) {
    entry& counted = this->entry_of(hash64(service.value), now);
    ++counted.counted.requests;
    this->add_requests(counted, 1, now);
}

bool resend_ledger::take(const service_id& service, time_point now) {
    entry& counted = this->entry_of(hash64(service.value), now);
    this->add_requests(counted, 0, now);
    const rate_limit limit{counted.request_rate * this->policy.share,
                           this->policy.allowance * used_allowance};
    advance(counted.bucket, limit, 1, now);
    if (!take_token(counted.bucket, this->times)) {
        return false;
    }
    ++counted.counted.resends;
    return true;
}

void resend_ledger::note_crash(std::uint64_t fingerprint, time_point now) {
    if (this->own_crashes.size() >= max_crashes) {
        std::erase_if(this->own_crashes, [&](const auto& item) {
            return now - item.second.last > this->policy.crash_memory;
        });
    }
    crash_record& record = this->own_crashes[fingerprint];
    if (now - record.last > this->policy.crash_memory) {
        record.deaths = 0;
    }
    ++record.deaths;
    record.last = now;
}

void resend_ledger::note_survived(std::uint64_t fingerprint) {
    this->own_crashes.erase(fingerprint);
}

bool resend_ledger::is_quarantined(std::uint64_t fingerprint, time_point now) const {
    std::uint32_t deaths = 0;
    if (const auto own = this->own_crashes.find(fingerprint);
        own != this->own_crashes.end() && now - own->second.last <= this->policy.crash_memory) {
        deaths += own->second.deaths;
    }
    for (const auto& [peer, crashes] : this->peer_crashes) {
        if (const auto told = crashes.find(fingerprint); told != crashes.end()) {
            deaths += told->second;
        }
    }
    return deaths >= this->policy.crashes_to_quarantine;
}

void resend_ledger::report(fleet_report& report, time_point now) const {
    for (const auto& [service, counted] : this->entries) {
        report.services[service] = counted.counted;
    }
    for (const auto& [fingerprint, record] : this->own_crashes) {
        if (now - record.last <= this->policy.crash_memory) {
            report.crashes[fingerprint] = record.deaths;
        }
    }
}

void resend_ledger::note_peer(incarnation_id peer, const fleet_report& report,
                              const fleet_report* before, time_point now) {
    for (const auto& [service, use] : report.services) {
        service_use earlier = use;
        if (before != nullptr) {
            const auto told = before->services.find(service);
            earlier = told == before->services.end() ? service_use{} : told->second;
        }
        entry& counted = this->entry_of(service, now);
        this->add_requests(counted, use.requests - earlier.requests, now);
        if (use.resends > earlier.resends) {
            note_peer_tokens(counted.bucket, use.resends - earlier.resends, this->times, now);
        }
    }
    this->peer_crashes[peer] = report.crashes;
}

void resend_ledger::forget_peer(incarnation_id peer) {
    this->peer_crashes.erase(peer);
}

} // namespace knapweedknot
