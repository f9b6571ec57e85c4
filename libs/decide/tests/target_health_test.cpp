#include <boost/test/unit_test.hpp>

#include "decide/fair_queue.h"
#include "decide/retry_budget.h"
#include "decide/target_health.h"

using namespace knapweedknot;

namespace {

const time_point start{seconds(1000)};
const health_policy policy;

} // namespace

BOOST_AUTO_TEST_CASE(repeated_failures_eject_for_longer_each_time) {
    target_health target;
    time_point now = start;
    for (const int expected_ms : {2000, 4000, 8000}) {
        BOOST_TEST(!record_failure(target, policy, now));
        BOOST_TEST(!record_failure(target, policy, now));
        BOOST_TEST(record_failure(target, policy, now));
        BOOST_TEST(to_milliseconds(target.ejected_until - now) == expected_ms);
        now = target.ejected_until;
    }
}

BOOST_AUTO_TEST_CASE(a_response_between_failures_keeps_the_target_in_rotation) {
    target_health target;
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(!record_failure(target, policy, start));
        BOOST_TEST(!record_failure(target, policy, start));
        record_response(target, milliseconds(5), start);
    }
}

BOOST_AUTO_TEST_CASE(a_target_slower_than_the_others_is_ejected) {
    target_health target;
    for (int i = 0; i < 5; ++i) {
        record_response(target, milliseconds(50), start);
    }
    BOOST_TEST(!eject_if_slow(target, {45, 40, 55}, policy, start));
    BOOST_TEST(eject_if_slow(target, {5, 6, 4}, policy, start));
}

BOOST_AUTO_TEST_CASE(the_floor_keeps_targets_in_rotation_whose_ejection_ends_first) {
    target_health healthy;
    target_health soon;
    target_health late;
    soon.ejected_until = start + seconds(1);
    late.ejected_until = start + seconds(2);
    const std::vector<const target_health*> targets{&late, &soon, &healthy};
    BOOST_TEST((in_rotation(targets, 1, start) == std::vector<std::size_t>{2}));
    BOOST_TEST((in_rotation(targets, 2, start) == std::vector<std::size_t>{2, 1}));
    BOOST_TEST(in_rotation(targets, 9, start).size() == 3U);
}

BOOST_AUTO_TEST_CASE(waiting_accounts_are_served_in_turn) {
    fair_queue<int> queue;
    for (int i = 0; i < 3; ++i) {
        queue.push(account_id{"large"}, i);
    }
    queue.push(account_id{"small"}, 9);
    std::vector<int> order;
    while (const auto item = queue.pop()) {
        order.push_back(*item);
    }
    BOOST_TEST((order == std::vector<int>{0, 9, 1, 2}));
}

BOOST_AUTO_TEST_CASE(a_full_queue_accepts_an_account_below_its_even_share) {
    fair_queue<int> queue;
    for (int i = 0; i < 10; ++i) {
        queue.push(account_id{"large"}, i);
    }
    BOOST_TEST(!may_enqueue(queue, account_id{"large"}, 10));
    BOOST_TEST(may_enqueue(queue, account_id{"small"}, 10));
}

BOOST_AUTO_TEST_CASE(retries_are_a_share_of_attempts) {
    retry_budget budget;
    BOOST_TEST(take_retry(budget));
    BOOST_TEST(!take_retry(budget));
    for (int i = 0; i < 11; ++i) {
        record_attempt(budget, 0.1);
    }
    BOOST_TEST(take_retry(budget));
}
