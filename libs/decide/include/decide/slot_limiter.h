#pragma once

#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// The borrower's side of loans: one slot at the instance that brokers it.
///
/// Every seat of the fleet is worth 1/N of each account's rate and burst. Seat holders lend their
/// seats' share of the slot for a short time. With a share f on loan, the slot keeps one token
/// bucket for each account with rate f*r and burst f*b. Over all pools and grants together this
/// bounds what is admitted in any window of length T by r*T + b, because
///
/// - the shares on loan never add up to more than 1 (decide/lease_table.h);
/// - tokens and outstanding grants of a bucket never exceed f*b, so a share that ends takes its
///   part of the burst with it;
/// - a share that begins brings no tokens;
/// - grants that outlive a loan fit into the burst that is left when the loan has ended.
///
/// All functions are pure but for their first argument. Not thread safe.

namespace knapweedknot {

/// Limit of a client account over all instances.
struct rate_limit {
    double rate_per_s{0};
    double burst{0};
    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Tokens that another instance may spend until they expire.
struct outstanding_grant {
    incarnation_id holder;
    double tokens{0};
    time_point expires;
};

/// Token bucket of one account.
struct token_bucket {
    rate_limit limit;
    double tokens{0};
    time_point refilled;
    std::vector<outstanding_grant> grants;
};

/// Seats whose share of the slot a lender has lent.
struct slot_loan {
    int seats{0};
    time_point until;
};

/// One slot at its broker.
struct broker_slot {
    /// Seats of the fleet.
    int total_seats{1};
    std::unordered_map<incarnation_id, slot_loan> loans;
    /// Sum of the seats on loan.
    int seats_on_loan{0};
    /// When seats_on_loan last changed.
    time_point share_since;
    std::unordered_map<account_id, token_bucket> buckets;
};

/// Brings the slot to \p now: ends lapsed loans in order, refills and clips every bucket.
/// \pre now is not before the last call
void advance(broker_slot& slot, time_point now);

/// Replaces the loan of \p lender; zero seats end it.
void set_loan(broker_slot& slot, incarnation_id lender, slot_loan loan, time_point now);

/// Share of every account's limit that the slot has, from 0 to 1.
[[nodiscard]] double share_of(const broker_slot& slot) noexcept;

/// Takes one token of \p account. False when there is none.
[[nodiscard]] bool take_token(broker_slot& slot, const account_id& account, const rate_limit& limit,
                              time_point now);

/// Grants up to \p wanted whole tokens to \p holder, which must spend them before \p expires.
/// Returns how many were granted.
[[nodiscard]] int grant_tokens(broker_slot& slot, const account_id& account,
                               const rate_limit& limit, incarnation_id holder, int wanted,
                               time_point now, time_point expires);

/// Settles all grants of \p holder: \p unspent tokens come back, the others were spent. Only for
/// a holder that has stopped spending from them.
void settle_grants(broker_slot& slot, const account_id& account, incarnation_id holder,
                   double unspent, time_point now);

} // namespace knapweedknot
