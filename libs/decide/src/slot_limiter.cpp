#include "decide/slot_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace knapweedknot {

namespace {

// Absorbs rounding when a bucket that was refilled in many steps holds a whole token.
constexpr double rounding = 1e-9;

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

/// Refills up to \p now with a share that was constant since the last refill. Grants that expired
/// on the way count until \p now, which can only lower the result.
void refill(token_bucket& bucket, double share, time_point now) {
    const double seconds_passed = to_seconds(now - bucket.refilled);
    const double room = std::max(0.0, share * bucket.limit.burst - outstanding(bucket));
    const double refilled = bucket.tokens + share * bucket.limit.rate_per_s * seconds_passed;
    bucket.tokens = std::min(refilled, room);
    bucket.refilled = now;
    drop_expired_grants(bucket, now);
}

void refill_all(broker_slot& slot, time_point now) {
    for (auto& [account, bucket] : slot.buckets) {
        refill(bucket, share_of(slot), now);
    }
}

/// Changes the share. A lower share clips the buckets; a higher one brings no tokens.
void change_seats(broker_slot& slot, int seats, time_point now) {
    if (seats == slot.seats_on_loan) {
        return;
    }
    refill_all(slot, now);
    slot.seats_on_loan = seats;
    slot.share_since = now;
    refill_all(slot, now);
}

/// The loan that lapses first, or end.
auto earliest_loan(broker_slot& slot) {
    return std::min_element(
        slot.loans.begin(), slot.loans.end(),
        [](const auto& left, const auto& right) { return left.second.until < right.second.until; });
}

token_bucket& bucket_of(broker_slot& slot, const account_id& account, const rate_limit& limit,
                        time_point now) {
    const auto [place, is_new] = slot.buckets.try_emplace(account);
    token_bucket& bucket = place->second;
    if (is_new) {
        // What the bucket would hold had it started empty when the share last changed.
        bucket.limit = limit;
        bucket.refilled = std::min(slot.share_since, now);
    }
    refill(bucket, share_of(slot), now);
    if (bucket.limit != limit) {
        bucket.limit = limit;
        refill(bucket, share_of(slot), now);
    }
    return bucket;
}

/// Seats whose loans last beyond \p moment.
int seats_beyond(const broker_slot& slot, time_point moment) {
    int seats = 0;
    for (const auto& [lender, loan] : slot.loans) {
        seats += loan.until > moment ? loan.seats : 0;
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

/// Most tokens that may be granted until \p expires so that, whenever a loan ends before, the
/// outstanding grants fit into the burst that is left.
double grantable(const broker_slot& slot, const token_bucket& bucket, time_point expires) {
    double most = bucket.tokens;
    for (const auto& [lender, loan] : slot.loans) {
        if (loan.until >= expires) {
            continue;
        }
        const double share_left =
            static_cast<double>(seats_beyond(slot, loan.until)) / slot.total_seats;
        most = std::min(most, share_left * bucket.limit.burst - granted_beyond(bucket, loan.until));
    }
    return most;
}

} // namespace

void advance(broker_slot& slot, time_point now) {
    while (!slot.loans.empty()) {
        const auto ending = earliest_loan(slot);
        if (ending->second.until > now) {
            break;
        }
        const slot_loan ended = ending->second;
        slot.loans.erase(ending);
        change_seats(slot, slot.seats_on_loan - ended.seats,
                     std::max(ended.until, slot.share_since));
    }
}

void set_loan(broker_slot& slot, incarnation_id lender, slot_loan loan, time_point now) {
    advance(slot, now);
    int seats = slot.seats_on_loan;
    if (const auto present = slot.loans.find(lender); present != slot.loans.end()) {
        seats -= present->second.seats;
        slot.loans.erase(present);
    }
    if (loan.seats > 0 && loan.until > now) {
        slot.loans[lender] = loan;
        seats += loan.seats;
    }
    change_seats(slot, seats, now);
}

double share_of(const broker_slot& slot) noexcept {
    return std::min(1.0, static_cast<double>(slot.seats_on_loan) / slot.total_seats);
}

bool take_token(broker_slot& slot, const account_id& account, const rate_limit& limit,
                time_point now) {
    advance(slot, now);
    token_bucket& bucket = bucket_of(slot, account, limit, now);
    if (bucket.tokens < 1 - rounding) {
        return false;
    }
    bucket.tokens = std::max(0.0, bucket.tokens - 1);
    return true;
}

int grant_tokens(broker_slot& slot, const account_id& account, const rate_limit& limit,
                 incarnation_id holder, int wanted, time_point now, time_point expires) {
    assert(expires > now);
    advance(slot, now);
    token_bucket& bucket = bucket_of(slot, account, limit, now);
    const double most = std::floor(grantable(slot, bucket, expires) + rounding);
    const int granted = std::min(wanted, static_cast<int>(std::max(0.0, most)));
    if (granted > 0) {
        bucket.tokens = std::max(0.0, bucket.tokens - granted);
        bucket.grants.push_back({holder, static_cast<double>(granted), expires});
    }
    return granted;
}

void settle_grants(broker_slot& slot, const account_id& account, incarnation_id holder,
                   double unspent, time_point now) {
    advance(slot, now);
    const auto found = slot.buckets.find(account);
    if (found == slot.buckets.end()) {
        return;
    }
    token_bucket& bucket = found->second;
    refill(bucket, share_of(slot), now);
    double settled = 0;
    for (const outstanding_grant& grant : bucket.grants) {
        settled += grant.holder == holder ? grant.tokens : 0;
    }
    std::erase_if(bucket.grants,
                  [holder](const outstanding_grant& grant) { return grant.holder == holder; });
    bucket.tokens += std::clamp(unspent, 0.0, settled);
}

} // namespace knapweedknot
