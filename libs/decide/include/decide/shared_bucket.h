#pragma once

#include <optional>

#include "base/clock.h"
#include "decide/slot_limiter.h"

/// \file
/// A token bucket that several instances draw from without asking each other: each one keeps its
/// own copy, takes tokens from it at once, and subtracts what the others report to have taken.
/// Between two reports the copies may together admit more than the bucket holds; the debt is paid
/// back before anything more is admitted, so the excess never accumulates. A reserve for what the
/// others are expected to have taken since their last report keeps the excess small.
///
/// All functions are pure but for their first argument. Not thread safe.

namespace knapweedknot {

/// One instance's copy.
struct shared_bucket {
    rate_limit limit;
    /// Tokens left; negative while more has been admitted than the limit allows.
    double tokens{0};
    time_point refilled;
    /// Refill left to instances that cannot be heard. What they report later is taken from here.
    double withheld{0};
    /// Part of the refill that this copy counts on.
    double share{1};
    /// Tokens per second that the other instances have lately taken.
    double peer_rate{0};
    time_point peer_rate_since;
};

/// How copies are kept together.
struct shared_bucket_times {
    /// Time until the others hear of an admission, at most.
    duration report_delay{milliseconds(300)};
    /// Time constant of the average over the others' admissions.
    duration rate_window{milliseconds(2000)};
};

/// A full bucket.
[[nodiscard]] shared_bucket make_shared_bucket(const rate_limit& limit, time_point now) noexcept;

/// Brings \p bucket to \p now and takes \p limit, which may have changed. A debt takes as long to
/// pay back under a lower rate as it did before.
/// \param share part of the refill that this copy may count on, from 0 to 1: less than 1 while
///        instances that may go on admitting cannot be heard. The rest is withheld for them, until
///        the share is 1 again.
void advance(shared_bucket& bucket, const rate_limit& limit, double share, time_point now) noexcept;

/// Takes a token. False when there is none beyond the reserve for the other instances.
/// \pre the bucket was advanced to now
[[nodiscard]] bool take_token(shared_bucket& bucket, const shared_bucket_times& times) noexcept;

/// Takes a token that will be there within \p longest_wait. Returns the time after which it may be
/// spent; nothing when it would take longer.
/// \pre the bucket was advanced to now
[[nodiscard]] std::optional<duration> take_future_token(shared_bucket& bucket,
                                                        const shared_bucket_times& times,
                                                        duration longest_wait) noexcept;

/// Time until a token can be taken, if nobody takes one before.
[[nodiscard]] duration time_to_token(const shared_bucket& bucket,
                                     const shared_bucket_times& times) noexcept;

/// Subtracts \p count tokens that another instance took.
void note_peer_tokens(shared_bucket& bucket, double count, const shared_bucket_times& times,
                      time_point now) noexcept;
/// Subtracts \p count tokens that an instance took while it could not be heard: from what was
/// withheld for that first.
void note_unheard_tokens(shared_bucket& bucket, double count, const shared_bucket_times& times,
                         time_point now) noexcept;

} // namespace knapweedknot
