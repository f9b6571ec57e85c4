#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "config/traffic_policy.h"
#include "decide/shared_bucket.h"
#include "fleet/report_exchange.h"

/// \file
/// Rate limiting of client accounts across all instances.

namespace knapweedknot {

/// Admits requests within the rate and burst of their client account. Each instance admits from a
/// local copy of the account's token bucket and corrects it by the reports of its peers. Not thread
/// safe.
class account_rate_limiter {
public:
    /// \param started when this process began to admit requests
    account_rate_limiter(const shared_bucket_times& times, time_point started)
        : times(times), started(started) {}

    /// Result of an admission check.
    struct decision {
        bool admitted{false};
        /// Delay before an admitted request may be sent.
        duration wait{duration::zero()};
        /// Time until a token is available, if the request was not admitted.
        duration retry_after{duration::zero()};
        /// True when peers should get a report before the regular interval ends.
        bool report_early{false};
        /// Tokens left in the local copy of the bucket.
        double tokens{0};
    };
    /// State of the other serving instances, from their reports.
    struct peer_summary {
        /// Share of the refill, from 0 to 1, that this instance may use.
        double refill_share{1};
        /// Greatest age of a peer's latest report.
        duration oldest_report_age{duration::zero()};
    };
    /// Checks whether \p account may send a request now, and takes a token if so.
    /// \param max_wait longest time that the request may wait for its token
    [[nodiscard]] decision admit(const traffic_account& account, const peer_summary& peers,
                                 duration max_wait, time_point now);

    /// Usage of each recently active account on this instance, or of every account if \p kind is
    /// introduction.
    [[nodiscard]] std::unordered_map<std::uint64_t, account_usage> report(report_kind kind,
                                                                          time_point now) const;
    /// Subtracts the requests that a peer has admitted since its report \p before.
    /// \param is_new true when the peer started so recently that its total count applies
    void apply_peer_report(const instance_report& report, const instance_report* before,
                           bool is_new, time_point now);

private:
    struct account_state {
        shared_bucket bucket;
        time_point created;
        /// True while the bucket level is an estimate made without current reports.
        /// admitted_before_estimate is the value of admitted when that began.
        bool is_estimate{false};
        std::uint32_t admitted_before_estimate{0};
        /// Requests admitted since the process started, and the part of them that an early report
        /// was requested for.
        std::uint32_t admitted{0};
        std::uint32_t reported{0};
        time_point last_admitted;
    };

    /// Admissions of one account that a peer's report adds.
    struct peer_admissions {
        /// Admissions not yet subtracted from the bucket.
        double count{0};
        /// True when the peer's report was overdue, so that its refill share was withheld.
        bool was_overdue{false};
        /// True when the peer is serving. Only then is its bucket level reliable.
        bool is_serving{false};
    };

    /// Bucket level of an account as a peer reported it.
    struct reported_level {
        double tokens{0};
        time_point reported_at;
    };

    [[nodiscard]] account_state make_account_state(std::uint64_t account, const rate_limit& limit,
                                                   const peer_summary& peers, time_point now) const;
    static void mark_stale_level(account_state& state, const peer_summary& peers);
    void apply_peer_usage(account_state& state, const account_usage& usage,
                          const peer_admissions& admissions, time_point now);

    shared_bucket_times times;
    time_point started;
    std::unordered_map<std::uint64_t, account_state> states;
    /// Latest levels from serving peers. They initialise accounts that are new on this instance.
    std::unordered_map<std::uint64_t, reported_level> reported_levels;
};

} // namespace knapweedknot
