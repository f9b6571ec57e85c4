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

broker_slot slot_with(int seats, time_point until) {
    broker_slot slot;
    slot.total_seats = 2;
    slot.share_since = start;
    set_loan(slot, first, {seats, until}, start);
    return slot;
}

int drain(broker_slot& slot, time_point now) {
    int taken = 0;
    while (take_token(slot, shop, limit, now)) {
        ++taken;
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_full_share_gives_the_whole_burst_and_rate) {
    broker_slot slot = slot_with(2, far);
    BOOST_TEST(drain(slot, start) == 0);
    BOOST_TEST(drain(slot, start + seconds(10)) == 10);
    BOOST_TEST(drain(slot, start + seconds(10) + milliseconds(500)) == 5);
}

BOOST_AUTO_TEST_CASE(half_a_share_gives_half) {
    broker_slot slot = slot_with(1, far);
    BOOST_TEST(drain(slot, start + seconds(10)) == 5);
    BOOST_TEST(drain(slot, start + seconds(10) + milliseconds(400)) == 2);
}

BOOST_AUTO_TEST_CASE(a_loan_that_ends_takes_its_part_of_the_burst) {
    broker_slot slot = slot_with(1, start + seconds(20));
    set_loan(slot, second, {1, far}, start);
    BOOST_TEST(take_token(slot, shop, limit, start + seconds(10)));
    BOOST_TEST(drain(slot, start + seconds(20)) == 5);
}

BOOST_AUTO_TEST_CASE(a_share_that_begins_brings_no_tokens) {
    broker_slot slot = slot_with(1, far);
    BOOST_TEST(drain(slot, start + seconds(10)) == 5);
    set_loan(slot, second, {1, far}, start + seconds(10));
    BOOST_TEST(drain(slot, start + seconds(10)) == 0);
}

BOOST_AUTO_TEST_CASE(grants_count_until_they_are_settled_or_expire) {
    broker_slot slot = slot_with(2, far);
    const time_point full = start + seconds(10);
    const time_point expires = full + milliseconds(400);
    BOOST_TEST(grant_tokens(slot, shop, limit, second, 8, full, expires) == 8);
    BOOST_TEST(drain(slot, full + milliseconds(300)) == 2);
    settle_grants(slot, shop, second, 3, full + milliseconds(300));
    BOOST_TEST(drain(slot, full + milliseconds(300)) == 3);
}

BOOST_AUTO_TEST_CASE(grants_that_outlive_a_loan_fit_into_what_is_left) {
    // The old pool grants its burst just before its loans end; the new pool would fill meanwhile.
    broker_slot slot = slot_with(2, start + seconds(10) + milliseconds(100));
    const time_point now = start + seconds(10);
    BOOST_TEST(grant_tokens(slot, shop, limit, second, 10, now, now + milliseconds(400)) == 0);
    BOOST_TEST(grant_tokens(slot, shop, limit, second, 10, now, now + milliseconds(100)) == 10);
}
