#include <boost/test/unit_test.hpp>

#include "decide/lease_table.h"

using namespace knapweedknot;

namespace {

const incarnation_id first{1};
const incarnation_id second{2};
const lease_times times{milliseconds(1000), 0.01};
const time_point start{seconds(1000)};

lease_table one_slot() {
    lease_table table;
    table.slots.resize(1);
    return table;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_share_is_leased_to_another_broker_only_after_the_lease_has_expired) {
    lease_table table = one_slot();
    BOOST_TEST(issue_leases(table, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST(issue_leases(table, second, {second}, 1, times, start + milliseconds(1009)).empty());
    BOOST_TEST(issue_leases(table, second, {second}, 2, times, start + milliseconds(1010)).size() ==
               1U);
}

BOOST_AUTO_TEST_CASE(an_acknowledged_revocation_frees_the_share_at_once) {
    lease_table table = one_slot();
    BOOST_TEST(issue_leases(table, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST(record_acknowledgement(table, first, 1, start) == 0U);
    BOOST_TEST(issue_leases(table, first, {second}, 2, times, start).empty());
    BOOST_TEST(record_acknowledgement(table, first, 1, start) == 0U);
    BOOST_TEST(issue_leases(table, second, {second}, 1, times, start).empty());
    BOOST_TEST(record_acknowledgement(table, first, 2, start) == 1U);
    BOOST_TEST(issue_leases(table, second, {second}, 2, times, start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_cancelled_revocation_does_not_free_the_share) {
    lease_table table = one_slot();
    BOOST_TEST(issue_leases(table, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST(issue_leases(table, first, {second}, 2, times, start).empty());
    BOOST_TEST(issue_leases(table, first, {first}, 3, times, start).size() == 1U);
    BOOST_TEST(record_acknowledgement(table, first, 2, start) == 0U);
    BOOST_TEST(issue_leases(table, second, {second}, 1, times, start).empty());
}

BOOST_AUTO_TEST_CASE(the_issuer_allows_for_a_broker_whose_clock_runs_slow) {
    lease_table table = one_slot();
    BOOST_TEST(issue_leases(table, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST((latest_expiry(table, start) == start + milliseconds(1010)));
}
