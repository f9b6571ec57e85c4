#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "config/traffic_policy.h"
#include "decide/shared_bucket.h"
#include "fleet/fleet_reports.h"

/// \file
/// Admission of client accounts within their rates over all instances.

namespace knapweedknot {

/// Admits requests. Not thread safe.
class account_rate_limiter {
public:
    /// \param started when this process began to admit
    account_rate_limiter(const shared_bucket_times& times, time_point started)
        : times(times), started(started) {}

    /// What became of a request for admission.
    struct decision {
        bool admitted{false};
        /// Time after which an admitted request may be sent.
        duration wait{duration::zero()};
        /// When there will be a token, if it was not admitted.
        duration retry_after{duration::zero()};
        /// True when the other instances should hear of it soon.
        bool report_early{false};
        /// Tokens that were left, as this instance believes.
        double tokens{0};
    };
    /// What is known of the other serving instances.
    struct peer_summary {
        /// Part of the refill that this instance may count on.
        double refill_share{1};
        /// Age of the oldest of their newest reports.
        duration oldest_report_age{duration::zero()};
    };
    /// \param max_wait how long the request may wait for its token
    [[nodiscard]] decision admit(const traffic_account& account, const peer_summary& peers,
                                 duration max_wait, time_point now);

    /// What this instance has admitted of accounts that it served lately, or ever if \p kind is an
    /// introduction.
    [[nodiscard]] std::unordered_map<std::uint64_t, account_use> report(report_kind kind,
                                                                        time_point now) const;
    /// Takes what a peer has admitted since its report \p before.
    /// \param is_new true when all that the peer has admitted since its start is recent
    void apply_peer_report(const fleet_report& report, const fleet_report* before, bool is_new,
                           time_point now);

private:
    struct account_state {
        shared_bucket bucket;
        time_point created;
        /// True while the level is a guess, and what was admitted before it became one.
        bool is_estimate{false};
        std::uint32_t admitted_before_estimate{0};
        /// Requests admitted since the process started, and how many of them the others know of.
        std::uint32_t admitted{0};
        std::uint32_t reported{0};
        time_point last_admitted;
    };

    /// What a report newly says of an account.
    struct peer_admissions {
        /// Admissions that are not in the bucket yet.
        double count{0};
        /// Whether the peer could not be heard meanwhile.
        bool was_overdue{false};
        /// Whether the peer serves, so that its level can be relied on.
        bool is_serving{false};
    };

    /// Tokens that a peer believed to be left.
    struct reported_level {
        double tokens{0};
        time_point reported_at;
    };

    [[nodiscard]] account_state make_account_state(std::uint64_t account, const rate_limit& limit,
                                                   const peer_summary& peers, time_point now) const;
    static void mark_stale_level(account_state& state, const peer_summary& peers);
    void apply_peer_usage(account_state& state, const account_use& usage,
                          const peer_admissions& admissions, time_point now);

    shared_bucket_times times;
    time_point started;
    std::unordered_map<std::uint64_t, account_state> states;
    /// What serving peers told last, for accounts that were not seen here yet.
    std::unordered_map<std::uint64_t, reported_level> reported_levels;
};

} // namespace knapweedknot
