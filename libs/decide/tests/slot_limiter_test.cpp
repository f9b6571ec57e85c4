#include <boost/test/unit_test.hpp>

#include "decide/slot_limiter.h"

using namespace knapweedknot;

namespace {

const account_id shop{"shop"};
const rate_limit limit{10, 10};
const incarnation_id first{1};
const incarnation_id second{2};
const time_point start{seconds(1000)};
const time_point far = start + seconds(1000);

slot_limiter limiter_with(int seats, time_point until) {
    slot_limiter limiter;
    limiter.total_seats = 2;
    limiter.share_changed_at = start;
    set_lease(limiter, first, {seats, until}, start);
    return limiter;
}

int take_all_tokens(slot_limiter& limiter, time_point now) {
    int taken = 0;
    while (take_token(limiter, shop, limit, now)) {
        ++taken;
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_full_share_admits_the_full_rate_and_burst) {
    slot_limiter limiter = limiter_with(2, far);
    BOOST_TEST(take_all_tokens(limiter, start) == 0);
    BOOST_TEST(take_all_tokens(limiter, start + seconds(10)) == 10);
    BOOST_TEST(take_all_tokens(limiter, start + seconds(10) + milliseconds(500)) == 5);
}

BOOST_AUTO_TEST_CASE(half_a_share_admits_half_the_rate_and_burst) {
    slot_limiter limiter = limiter_with(1, far);
    BOOST_TEST(take_all_tokens(limiter, start + seconds(10)) == 5);
    BOOST_TEST(take_all_tokens(limiter, start + seconds(10) + milliseconds(400)) == 2);
}

BOOST_AUTO_TEST_CASE(an_expired_lease_removes_its_part_of_the_burst) {
    slot_limiter limiter = limiter_with(1, start + seconds(20));
    set_lease(limiter, second, {1, far}, start);
    BOOST_TEST(take_token(limiter, shop, limit, start + seconds(10)));
    BOOST_TEST(take_all_tokens(limiter, start + seconds(20)) == 5);
}

BOOST_AUTO_TEST_CASE(a_new_lease_adds_no_tokens) {
    slot_limiter limiter = limiter_with(1, far);
    BOOST_TEST(take_all_tokens(limiter, start + seconds(10)) == 5);
    set_lease(limiter, second, {1, far}, start + seconds(10));
    BOOST_TEST(take_all_tokens(limiter, start + seconds(10)) == 0);
}

BOOST_AUTO_TEST_CASE(grants_count_until_they_are_released_or_expire) {
    slot_limiter limiter = limiter_with(2, far);
    const time_point full = start + seconds(10);
    const time_point expires = full + milliseconds(400);
    BOOST_TEST(grant_tokens(limiter, shop, limit, second, 8, full, expires) == 8);
    BOOST_TEST(take_all_tokens(limiter, full + milliseconds(300)) == 2);
    release_grants(limiter, shop, second, 3, full + milliseconds(300));
    BOOST_TEST(take_all_tokens(limiter, full + milliseconds(300)) == 3);
}

BOOST_AUTO_TEST_CASE(grants_that_outlive_a_lease_fit_into_the_remaining_burst) {
    // Guards against double admission: a broker grants its burst just before its leases expire, and
    // the buckets of the next broker fill up before the grants are spent.
    slot_limiter limiter = limiter_with(2, start + seconds(10) + milliseconds(100));
    const time_point now = start + seconds(10);
    BOOST_TEST(grant_tokens(limiter, shop, limit, second, 10, now, now + milliseconds(400)) == 0);
    BOOST_TEST(grant_tokens(limiter, shop, limit, second, 10, now, now + milliseconds(100)) == 10);
}
