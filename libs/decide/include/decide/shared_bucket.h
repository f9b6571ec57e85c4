#pragma once

#include <optional>

#include "base/clock.h"
#include "decide/slot_limiter.h"

/// \file
/// A token bucket that is replicated on several instances. Each instance takes tokens from its own
/// copy without coordination, and subtracts the tokens that the others report as taken.
///
/// Between two reports the copies may together admit more than the limit allows. A copy then goes
/// negative and admits nothing until the refill has paid off the debt, so the excess does not
/// accumulate. A reserve for the tokens that the others have probably taken since their last
/// reports keeps the excess small.
///
/// Functions modify at most their first argument. Not thread safe.

namespace knapweedknot {

/// One instance's copy of the bucket.
struct shared_bucket {
    rate_limit limit;
    /// Available tokens; negative while more was admitted than the limit allows.
    double tokens{0};
    time_point refilled_at;
    /// Refill left to unreachable instances, in tokens. Tokens that they report later are
    /// subtracted from it first.
    double withheld_refill{0};
    /// Fraction of the refill that goes to this copy.
    double share{1};
    /// Tokens per second that the other instances take, as an exponential moving average.
    double peer_rate{0};
    time_point peer_rate_updated_at;
};

/// Timing of the reports between copies.
struct shared_bucket_times {
    /// Longest time until the other instances learn of an admission.
    duration report_delay{milliseconds(300)};
    /// Time constant of the average over the others' admissions.
    duration rate_window{milliseconds(2000)};
};

/// A full bucket.
[[nodiscard]] shared_bucket make_shared_bucket(const rate_limit& limit, time_point now) noexcept;

/// Refills \p bucket up to \p now and applies \p limit, which may have changed. When the rate is
/// lowered, a debt is scaled down so that paying it off takes as long as before.
/// \param share fraction of the refill that goes to this copy, from 0 to 1: less than 1 while
///        instances that may be admitting requests are unreachable. The rest is withheld for them;
///        withheld tokens are dropped when the share is 1 again.
void advance(shared_bucket& bucket, const rate_limit& limit, double share, time_point now) noexcept;

/// Takes a token. Returns false when none is available beyond the reserve for the other instances.
/// \pre the bucket was advanced to now
[[nodiscard]] bool take_token(shared_bucket& bucket, const shared_bucket_times& times) noexcept;

/// Takes a token that is available now or will be within \p max_wait. Returns the time to wait
/// before spending it; nothing when the wait would be longer.
/// \pre the bucket was advanced to now
[[nodiscard]] std::optional<duration>
reserve_token(shared_bucket& bucket, const shared_bucket_times& times, duration max_wait) noexcept;

/// Time until a token can be taken if no other is taken before; at most 60 s.
[[nodiscard]] duration time_to_token(const shared_bucket& bucket,
                                     const shared_bucket_times& times) noexcept;

/// Subtracts \p count tokens that another instance took.
void subtract_peer_tokens(shared_bucket& bucket, double count, const shared_bucket_times& times,
                          time_point now) noexcept;
/// Subtracts \p count tokens that another instance took while it was unreachable: from the withheld
/// refill first, then from the bucket.
void subtract_late_peer_tokens(shared_bucket& bucket, double count,
                               const shared_bucket_times& times, time_point now) noexcept;

} // namespace knapweedknot
