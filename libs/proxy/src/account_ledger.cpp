#include "proxy/account_ledger.h"

#include <algorithm>

#include "base/digest.h"

namespace knapweedknot {

namespace {

// Others are told soon once this share of the burst was admitted since they last heard.
constexpr double urgent_share = 0.1;
// For this long after a start, what others and the process before admitted may still count.
constexpr duration unknown_history = seconds(5);
// Part of the burst that a young process begins with.
constexpr double first_share = 0.15;
// Counts are reported for this long after their last change, so that a lost report is made up for.
constexpr duration reporting_time = seconds(7);

} // namespace

/// The bucket of an account that was not seen here yet. What was admitted before this process
/// started is not known at first, so a young process begins with little.
shared_bucket account_ledger::make_bucket(std::uint64_t account, const rate_limit& limit,
                                          time_point now) const {
    shared_bucket bucket = make_shared_bucket(limit, now);
    if (const auto told = this->peer_tokens.find(account); told != this->peer_tokens.end()) {
        bucket.tokens = std::min(bucket.tokens, told->second);
    }
    if (now - this->started < unknown_history) {
        bucket.tokens = std::min(bucket.tokens, std::max(1.0, limit.burst * first_share));
    }
    return bucket;
}

account_ledger::verdict account_ledger::admit(const traffic_account& account, double share,
                                              duration longest_wait, time_point now) {
    verdict given;
    if (account.rate_per_s <= 0) {
        given.admitted = true;
        return given;
    }
    const rate_limit limit{account.rate_per_s, account.burst};
    const std::uint64_t id = hash64(account.id.value);
    const auto [place, is_new] = this->entries.try_emplace(id);
    entry& known = place->second;
    if (is_new) {
        known.bucket = this->make_bucket(id, limit, now);
    }
    advance(known.bucket, limit, share, now);
    const auto wait = take_future_token(known.bucket, this->times, longest_wait);
    given.tokens = known.bucket.tokens;
    if (!wait) {
        given.retry_after = time_to_token(known.bucket, this->times);
        return given;
    }
    given.admitted = true;
    given.wait = *wait;
    ++known.admitted;
    known.last_admitted = now;
    const double unreported = known.admitted - known.reported;
    if (unreported >= std::max(2.0, account.burst * urgent_share)) {
        given.urgent = true;
        known.reported = known.admitted;
    }
    return given;
}

std::unordered_map<std::uint64_t, account_use> account_ledger::report(time_point now) const {
    std::unordered_map<std::uint64_t, account_use> uses;
    for (const auto& [id, known] : this->entries) {
        if (known.admitted > 0 && now - known.last_admitted < reporting_time) {
            uses[id] = {known.admitted, known.bucket.tokens};
        }
    }
    return uses;
}

void account_ledger::note_peer(const fleet_report& report, const fleet_report* before,
                               bool is_younger, time_point now) {
    for (const auto& [id, use] : report.accounts) {
        this->peer_tokens[id] = use.tokens;
        const auto known = this->entries.find(id);
        if (known == this->entries.end()) {
            continue;
        }
        std::uint32_t earlier = 0;
        if (before != nullptr) {
            const auto told = before->accounts.find(id);
            earlier = told == before->accounts.end() ? 0 : told->second.admitted;
        } else if (!is_younger) {
            // What an older peer admitted before we heard of it is not known by time.
            earlier = use.admitted;
        }
        if (use.admitted > earlier) {
            note_peer_tokens(known->second.bucket, use.admitted - earlier, this->times, now);
        }
    }
}

} // namespace knapweedknot
