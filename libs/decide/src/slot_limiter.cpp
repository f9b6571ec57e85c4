#include "decide/slot_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace knapweedknot {

namespace {

// Absorbs rounding errors of a bucket that was refilled to a whole token in many steps.
constexpr double rounding_tolerance = 1e-9;

double outstanding(const token_bucket& bucket) {
    double sum = 0;
    for (const outstanding_grant& grant : bucket.grants) {
        sum += grant.tokens;
    }
    return sum;
}

void drop_expired_grants(token_bucket& bucket, time_point now) {
    std::erase_if(bucket.grants,
                  [now](const outstanding_grant& grant) { return grant.expires <= now; });
}

/// Refills up to \p now at a share that was constant since the last refill. Grants that expired in
/// between count until \p now, which can only lower the result.
void refill(token_bucket& bucket, double share, time_point now) {
    const double elapsed_s = to_seconds(now - bucket.refilled_at);
    const double max_tokens = std::max(0.0, share * bucket.limit.burst - outstanding(bucket));
    const double refilled = bucket.tokens + share * bucket.limit.rate_per_s * elapsed_s;
    bucket.tokens = std::min(refilled, max_tokens);
    bucket.refilled_at = now;
    drop_expired_grants(bucket, now);
}

void refill_all(slot_limiter& limiter, time_point now) {
    for (auto& [account, bucket] : limiter.buckets) {
        refill(bucket, limit_share(limiter), now);
    }
}

/// Changes the leased share. A lower share clips the buckets; a higher one adds no tokens.
void change_seats(slot_limiter& limiter, int seats, time_point now) {
    if (seats == limiter.leased_seats) {
        return;
    }
    refill_all(limiter, now);
    limiter.leased_seats = seats;
    limiter.share_changed_at = now;
    refill_all(limiter, now);
}

/// Iterator to the lease that expires first, or end.
auto first_expiring_lease(slot_limiter& limiter) {
    return std::min_element(limiter.leases.begin(), limiter.leases.end(),
                            [](const auto& left, const auto& right) {
                                return left.second.expires < right.second.expires;
                            });
}

token_bucket& bucket_of(slot_limiter& limiter, const account_id& account, const rate_limit& limit,
                        time_point now) {
    const auto [entry, is_new] = limiter.buckets.try_emplace(account);
    token_bucket& bucket = entry->second;
    if (is_new) {
        // Fills the bucket as if it had started empty when the share last changed.
        bucket.limit = limit;
        bucket.refilled_at = std::min(limiter.share_changed_at, now);
    }
    refill(bucket, limit_share(limiter), now);
    if (bucket.limit != limit) {
        bucket.limit = limit;
        refill(bucket, limit_share(limiter), now);
    }
    return bucket;
}

/// Seats whose leases expire after \p moment.
int seats_beyond(const slot_limiter& limiter, time_point moment) {
    int seats = 0;
    for (const auto& [issuer, lease] : limiter.leases) {
        seats += lease.expires > moment ? lease.seats : 0;
    }
    return seats;
}

double granted_beyond(const token_bucket& bucket, time_point moment) {
    double sum = 0;
    for (const outstanding_grant& grant : bucket.grants) {
        sum += grant.expires > moment ? grant.tokens : 0;
    }
    return sum;
}

/// Maximum number of tokens that may be granted until \p expires: at each earlier expiry of a lease
/// the outstanding grants must fit into the remaining burst.
double max_grantable(const slot_limiter& limiter, const token_bucket& bucket, time_point expires) {
    double max_tokens = bucket.tokens;
    for (const auto& [issuer, lease] : limiter.leases) {
        if (lease.expires >= expires) {
            continue;
        }
        const double remaining_share =
            static_cast<double>(seats_beyond(limiter, lease.expires)) / limiter.total_seats;
        max_tokens = std::min(max_tokens, remaining_share * bucket.limit.burst -
                                              granted_beyond(bucket, lease.expires));
    }
    return max_tokens;
}

} // namespace

void advance(slot_limiter& limiter, time_point now) {
    while (!limiter.leases.empty()) {
        const auto expiring = first_expiring_lease(limiter);
        if (expiring->second.expires > now) {
            break;
        }
        const quota_lease expired = expiring->second;
        limiter.leases.erase(expiring);
        change_seats(limiter, limiter.leased_seats - expired.seats,
                     std::max(expired.expires, limiter.share_changed_at));
    }
}

void set_lease(slot_limiter& limiter, incarnation_id issuer, quota_lease lease, time_point now) {
    advance(limiter, now);
    int seats = limiter.leased_seats;
    if (const auto existing = limiter.leases.find(issuer); existing != limiter.leases.end()) {
        seats -= existing->second.seats;
        limiter.leases.erase(existing);
    }
    if (lease.seats > 0 && lease.expires > now) {
        limiter.leases[issuer] = lease;
        seats += lease.seats;
    }
    change_seats(limiter, seats, now);
}

double limit_share(const slot_limiter& limiter) noexcept {
    return std::min(1.0, static_cast<double>(limiter.leased_seats) / limiter.total_seats);
}

bool take_token(slot_limiter& limiter, const account_id& account, const rate_limit& limit,
                time_point now) {
    advance(limiter, now);
    token_bucket& bucket = bucket_of(limiter, account, limit, now);
    if (bucket.tokens < 1 - rounding_tolerance) {
        return false;
    }
    bucket.tokens = std::max(0.0, bucket.tokens - 1);
    return true;
}

int grant_tokens(slot_limiter& limiter, const account_id& account, const rate_limit& limit,
                 incarnation_id holder, int wanted, time_point now, time_point expires) {
    assert(expires > now);
    advance(limiter, now);
    token_bucket& bucket = bucket_of(limiter, account, limit, now);
    const double max_tokens =
        std::floor(max_grantable(limiter, bucket, expires) + rounding_tolerance);
    const int granted = std::min(wanted, static_cast<int>(std::max(0.0, max_tokens)));
    if (granted > 0) {
        bucket.tokens = std::max(0.0, bucket.tokens - granted);
        bucket.grants.push_back({holder, static_cast<double>(granted), expires});
    }
    return granted;
}

void release_grants(slot_limiter& limiter, const account_id& account, incarnation_id holder,
                    double unspent, time_point now) {
    advance(limiter, now);
    const auto found = limiter.buckets.find(account);
    if (found == limiter.buckets.end()) {
        return;
    }
    token_bucket& bucket = found->second;
    refill(bucket, limit_share(limiter), now);
    double released = 0;
    for (const outstanding_grant& grant : bucket.grants) {
        released += grant.holder == holder ? grant.tokens : 0;
    }
    std::erase_if(bucket.grants,
                  [holder](const outstanding_grant& grant) { return grant.holder == holder; });
    bucket.tokens += std::clamp(unspent, 0.0, released);
}

} // namespace knapweedknot
