#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/shared_bucket.h"
#include "fleet/fleet_reports.h"

/// \file
/// The budget of all instances together for sending a request to a second target, and the memory
/// of requests after which targets crash.

namespace knapweedknot {

/// The budget, as the deployment states it.
struct retry_policy {
    /// Resends allowed for each request.
    double share{0.2};
    /// Resends allowed beyond that in any window.
    double allowance{20};
    duration window{seconds(10)};
    /// Broken connections after which a request is not run for a while.
    std::uint32_t crashes_to_quarantine{3};
    /// Time after the last broken connection in which they count.
    duration crash_window{seconds(20)};
};

/// Counts requests and resends by service. Not thread safe.
class retry_limiter {
public:
    explicit retry_limiter(const retry_policy& policy) : policy(policy) {}

    void set_policy(const retry_policy& changed) noexcept { this->policy = changed; }
    void record_request(const service_id& service, time_point now);
    /// Takes one resend from the budget. False when none is left.
    [[nodiscard]] bool take_retry(const service_id& service, time_point now);

    /// Notes that a target's connection broke while it ran the request \p fingerprint.
    void record_crash(std::uint64_t fingerprint, time_point now);
    /// Notes that a target ran the request \p fingerprint and lives.
    void clear_crashes(std::uint64_t fingerprint);
    /// True when the request has broken too many connections, here and elsewhere.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, time_point now) const;

    /// Adds what this instance has counted to its report.
    void add_to_report(fleet_report& report, time_point now) const;
    /// Takes what a peer has counted since its report \p before.
    void apply_peer_report(incarnation_id peer, const fleet_report& report,
                           const fleet_report* before, time_point now);
    void remove_peer(incarnation_id peer);

private:
    struct service_state {
        shared_bucket bucket;
        /// Requests per second over all instances, averaged over the window.
        double request_rate{0};
        time_point rate_updated_at;
        service_use usage;
    };

    struct crash_record {
        std::uint32_t crashes{0};
        time_point last;
    };

    service_state& state_of(std::uint64_t service, time_point now);
    void add_to_request_rate(service_state& state, double count, time_point now) const;

    retry_policy policy;
    shared_bucket_times times;
    std::unordered_map<std::uint64_t, service_state> states;
    std::unordered_map<std::uint64_t, crash_record> local_crashes;
    std::unordered_map<incarnation_id, std::unordered_map<std::uint64_t, std::uint32_t>>
        peer_crashes;
};

} // namespace knapweedknot
