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
class account_ledger {
public:
    /// \param started when this process began to admit
    account_ledger(const shared_bucket_times& times, time_point started)
        : times(times), started(started) {}

    /// What became of a request for admission.
    struct verdict {
        bool admitted{false};
        /// Time after which an admitted request may be sent.
        duration wait{duration::zero()};
        /// When there will be a token, if it was not admitted.
        duration retry_after{duration::zero()};
        /// True when the other instances should hear of it soon.
        bool urgent{false};
        /// Tokens that were left, as this instance believes.
        double tokens{0};
    };
    /// \param share part of the refill that this instance may count on
    /// \param longest_wait how long the request may wait for its token
    [[nodiscard]] verdict admit(const traffic_account& account, double share, duration longest_wait,
                                time_point now);

    /// What this instance has admitted of accounts that it served lately, for its report.
    [[nodiscard]] std::unordered_map<std::uint64_t, account_use> report(time_point now) const;
    /// Takes what a peer has admitted since its report \p before.
    /// \param is_younger true when the peer started after this instance
    void note_peer(const fleet_report& report, const fleet_report* before, bool is_younger,
                   time_point now);

private:
    struct entry {
        shared_bucket bucket;
        std::uint32_t admitted{0};
        std::uint32_t reported{0};
        time_point last_admitted;
    };

    [[nodiscard]] shared_bucket make_bucket(std::uint64_t account, const rate_limit& limit,
                                            time_point now) const;

    shared_bucket_times times;
    time_point started;
    std::unordered_map<std::uint64_t, entry> entries;
    /// Lowest tokens that peers report, for accounts that were not seen here yet.
    std::unordered_map<std::uint64_t, double> peer_tokens;
};

} // namespace knapweedknot
