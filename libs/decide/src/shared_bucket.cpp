#include "decide/shared_bucket.h"

#include <algorithm>
#include <cmath>

namespace knapweedknot {

namespace {

/// Tokens kept back for those that other instances have probably taken but not yet reported. The
/// reserve is capped because no instance could use the last tokens of a small burst otherwise.
double peer_reserve(const shared_bucket& bucket, const shared_bucket_times& times) noexcept {
    constexpr double max_burst_fraction = 0.5;
    return std::min(bucket.peer_rate * to_seconds(times.report_delay),
                    bucket.limit.burst * max_burst_fraction);
}

void decay_peer_rate(shared_bucket& bucket, duration window, time_point now) noexcept {
    const double elapsed_s = to_seconds(now - bucket.peer_rate_updated_at);
    bucket.peer_rate *= std::exp(-elapsed_s / to_seconds(window));
    bucket.peer_rate_updated_at = now;
}

} // namespace

shared_bucket make_shared_bucket(const rate_limit& limit, time_point now) noexcept {
    shared_bucket bucket;
    bucket.limit = limit;
    bucket.tokens = std::max(1.0, limit.burst);
    bucket.refilled_at = now;
    bucket.peer_rate_updated_at = now;
    return bucket;
}

void advance(shared_bucket& bucket, const rate_limit& limit, double share,
             time_point now) noexcept {
    const double refill =
        to_seconds(now - bucket.refilled_at) * std::min(bucket.limit.rate_per_s, limit.rate_per_s);
    if (bucket.tokens < 0 && limit.rate_per_s < bucket.limit.rate_per_s) {
        bucket.tokens *= limit.rate_per_s / bucket.limit.rate_per_s;
    }
    bucket.limit = limit;
    bucket.refilled_at = now;
    bucket.share = share;
    bucket.withheld_refill = share < 1 ? bucket.withheld_refill + refill * (1 - share) : 0;
    // With a burst below one token no request would ever be admitted.
    bucket.tokens = std::min(std::max(1.0, limit.burst), bucket.tokens + refill * share);
}

bool take_token(shared_bucket& bucket, const shared_bucket_times& times) noexcept {
    if (bucket.tokens < 1 + peer_reserve(bucket, times) && bucket.tokens < bucket.limit.burst) {
        return false;
    }
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::optional<duration> reserve_token(shared_bucket& bucket, const shared_bucket_times& times,
                                      duration max_wait) noexcept {
    if (take_token(bucket, times)) {
        return duration::zero();
    }
    const duration wait = time_to_token(bucket, times);
    if (wait > max_wait) {
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return wait;
}

duration time_to_token(const shared_bucket& bucket, const shared_bucket_times& times) noexcept {
    const double missing = 1 + peer_reserve(bucket, times) - bucket.tokens;
    if (missing <= 0) {
        return duration::zero();
    }
    constexpr duration max_time = seconds(60);
    const double refill_per_s = bucket.limit.rate_per_s * bucket.share;
    if (refill_per_s <= 0) {
        return max_time;
    }
    return std::min<duration>(max_time, from_seconds(missing / refill_per_s));
}

void subtract_peer_tokens(shared_bucket& bucket, double count, const shared_bucket_times& times,
                          time_point now) noexcept {
    decay_peer_rate(bucket, times.rate_window, now);
    bucket.peer_rate += count / to_seconds(times.rate_window);
    bucket.tokens -= count;
}

void subtract_late_peer_tokens(shared_bucket& bucket, double count,
                               const shared_bucket_times& times, time_point now) noexcept {
    const double from_withheld = std::min(bucket.withheld_refill, count);
    bucket.withheld_refill -= from_withheld;
    subtract_peer_tokens(bucket, count - from_withheld, times, now);
}

} // namespace knapweedknot
