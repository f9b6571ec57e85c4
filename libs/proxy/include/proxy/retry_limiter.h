#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/crash_suspects.h"
#include "decide/shared_bucket.h"
#include "fleet/report_exchange.h"

/// \file
/// Fleet-wide retry budget, and quarantine of requests that crash targets.

namespace knapweedknot {

/// Limits on retries and on requests that crash targets.
struct retry_policy {
    /// Retries allowed per request.
    double share{0.2};
    /// Retries allowed in addition to that in any window.
    double allowance{20};
    duration window{seconds(10)};
    /// Number of crashes after which a request that is responsible for them is quarantined.
    std::uint32_t crashes_to_quarantine{3};
    crash_policy crashes;
};

/// Enforces the retry budget of each service over all instances, and quarantines requests that
/// crash targets (see decide/crash_suspects.h). Hedged sends also count as retries. Not thread
/// safe.
class retry_limiter {
public:
    explicit retry_limiter(const retry_policy& policy) : policy(policy) {}

    void set_policy(const retry_policy& changed) noexcept { this->policy = changed; }
    void record_request(const service_id& service, time_point now);
    /// Takes one retry from the budget of \p service. Returns false when the budget is exhausted.
    [[nodiscard]] bool take_retry(const service_id& service, time_point now);

    /// Records how the connection to \p target ended on which the request \p fingerprint was sent.
    void record_end(std::uint64_t fingerprint, const target_id& target, const exchange_end& end,
                    time_point now);
    /// Records that \p target accepts no connections although it is in service.
    void record_unreachable(const target_id& target, time_point now);
    /// Ends the suspicion against \p fingerprint, on all instances that hear of it, after a target
    /// has run it without a crash.
    void clear_crashes(std::uint64_t fingerprint, time_point now);
    /// True when the request is responsible for too many crashes, counted over all instances.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, time_point now) const;

    /// Adds the local counts to the report of this instance.
    void add_to_report(instance_report& report, time_point now) const;
    /// Applies the counts that a peer has added since its report \p before; null for its first
    /// report.
    void apply_peer_report(incarnation_id peer, const instance_report& report,
                           const instance_report* before, time_point now);
    /// Discards the crash counts of a peer.
    void remove_peer(incarnation_id peer);

private:
    struct service_state {
        shared_bucket bucket;
        /// Requests per second over all instances, as an exponential moving average over the
        /// window.
        double request_rate{0};
        time_point rate_updated_at;
        service_usage usage;
    };

    service_state& state_of(std::uint64_t service, time_point now);
    void add_to_request_rate(service_state& state, double count, time_point now) const;
    [[nodiscard]] crash_counts sum_peer_crashes() const;
    /// Replaces the crashes that a peer has reported.
    void apply_peer_crashes(crash_counts& known, const crash_counts& reported, time_point now);
    /// Removes all crashes of \p fingerprint. Returns whether there were any.
    bool forget_suspect(std::uint64_t fingerprint);

    retry_policy policy;
    shared_bucket_times times;
    std::unordered_map<std::uint64_t, service_state> states;
    crash_log local_crashes;
    std::unordered_map<incarnation_id, crash_counts> peer_crashes;
    /// When suspects were answered, by fingerprint.
    std::unordered_map<std::uint64_t, time_point> answered_at;
};

} // namespace knapweedknot
