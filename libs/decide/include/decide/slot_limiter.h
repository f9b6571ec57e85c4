#pragma once

#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// The rate limiter of one slot, run by the instance that brokers the slot.
///
/// A slot is a hash bucket of client accounts. Each of the N seats of the fleet stands for 1/N of
/// every account's rate and burst. Seat holders issue short quota leases (called loans in settings)
/// on their seats' share of a slot to the slot's broker. With leases on a share f, the broker keeps
/// one token bucket per account with rate f*r and burst f*b. Over all buckets and grants together,
/// at most r*T + b requests are admitted in any window of length T, because
///
/// - the leased shares of a slot never add up to more than 1 (decide/lease_table.h);
/// - tokens and outstanding grants of a bucket never exceed f*b, so an expiring lease removes its
///   part of the burst;
/// - a new lease adds no tokens;
/// - grants that outlive a lease fit into the burst that remains after the lease has expired.
///
/// Functions modify only their first argument. Not thread safe.

namespace knapweedknot {

/// Rate limit of a client account over the whole fleet.
struct rate_limit {
    double rate_per_s{0};
    double burst{0};
    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Tokens granted to another instance, which may spend them until they expire.
struct outstanding_grant {
    incarnation_id holder;
    double tokens{0};
    time_point expires;
};

/// Token bucket of one client account.
struct token_bucket {
    rate_limit limit;
    double tokens{0};
    time_point refilled_at;
    std::vector<outstanding_grant> grants;
};

/// Lease on the share of the slot that belongs to the seats of one issuer.
struct quota_lease {
    int seats{0};
    time_point expires;
};

/// Leases and token buckets of one slot.
struct slot_limiter {
    /// Number of seats in the fleet.
    int total_seats{1};
    /// By issuer.
    std::unordered_map<incarnation_id, quota_lease> leases;
    /// Sum of the seats of all leases.
    int leased_seats{0};
    /// When leased_seats last changed.
    time_point share_changed_at;
    std::unordered_map<account_id, token_bucket> buckets;
};

/// Removes the leases that expired by \p now, in order of expiry; each removal refills every bucket
/// and clips it to the remaining share.
/// \pre now is not before the previous call's
void advance(slot_limiter& limiter, time_point now);

/// Replaces the lease of \p issuer. Zero seats remove it.
void set_lease(slot_limiter& limiter, incarnation_id issuer, quota_lease lease, time_point now);

/// Leased share of every account's limit, from 0 to 1.
[[nodiscard]] double limit_share(const slot_limiter& limiter) noexcept;

/// Takes one token of \p account. Returns false when no token is available.
[[nodiscard]] bool take_token(slot_limiter& limiter, const account_id& account,
                              const rate_limit& limit, time_point now);

/// Grants up to \p wanted whole tokens to \p holder, which must spend them before \p expires.
/// Returns the number granted.
/// \pre expires is after now
[[nodiscard]] int grant_tokens(slot_limiter& limiter, const account_id& account,
                               const rate_limit& limit, incarnation_id holder, int wanted,
                               time_point now, time_point expires);

/// Releases all grants of \p holder: \p unspent tokens return to the bucket, the rest counts as
/// spent.
/// \pre the holder no longer spends tokens of these grants
void release_grants(slot_limiter& limiter, const account_id& account, incarnation_id holder,
                    double unspent, time_point now);

} // namespace knapweedknot
