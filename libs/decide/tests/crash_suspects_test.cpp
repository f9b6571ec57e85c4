#include <boost/test/unit_test.hpp>

#include "decide/crash_suspects.h"

using namespace knapweedknot;

namespace {

constexpr std::uint64_t deadly = 1;
constexpr std::uint64_t innocent = 2;
constexpr std::uint64_t other = 3;
const crash_policy policy;
const time_point start{seconds(1000)};
const target_id first{"i-1"};
const target_id second{"i-2"};
const target_id third{"i-3"};
const target_id fourth{"i-4"};

void crash(crash_log& log, const target_id& target, const std::vector<std::uint64_t>& requests,
           time_point now) {
    for (const std::uint64_t request : requests) {
        record_end(log, request, target, end_cause::crash, policy, now);
    }
}

std::uint32_t attributed(const crash_log& log, std::uint64_t fingerprint, time_point now,
                         const crash_counts& elsewhere = {}) {
    return count_attributed_crashes(log, fingerprint, elsewhere, policy, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_suspects)

// Guards against a deadly request that is passed on again because the ends of kept connections do
// not count as crashes.
BOOST_AUTO_TEST_CASE(an_end_on_a_kept_connection_in_use_is_a_crash) {
    BOOST_TEST(
        (find_cause({true, milliseconds(200), milliseconds(2)}, policy) == end_cause::crash));
    BOOST_TEST((find_cause({true, seconds(5), milliseconds(300)}, policy) == end_cause::crash));
    BOOST_TEST((find_cause({true, duration::zero(), milliseconds(2)}, policy) == end_cause::crash));
}

// Guards against innocent requests under suspicion because a target has closed an idle connection
// or was stopped in a planned way.
BOOST_AUTO_TEST_CASE(idle_closes_and_planned_stops_are_no_crashes) {
    BOOST_TEST((find_cause({true, seconds(5), milliseconds(2)}, policy) ==
                end_cause::crash_or_idle_close));
    BOOST_TEST(
        (find_cause({false, duration::zero(), seconds(1)}, policy) == end_cause::planned_stop));
    crash_log log;
    for (const target_id& target : {first, second, third, fourth}) {
        record_end(log, innocent, target, end_cause::crash_or_idle_close, policy, start);
        record_end(log, innocent, target, end_cause::planned_stop, policy, start);
    }
    BOOST_TEST(count_crashes(log, innocent, policy, start) == 0);
    BOOST_TEST(attributed(log, innocent, start) == 0);
}

// Guards against a deadly request that is never counted because it meets only connections that
// were idle for long.
BOOST_AUTO_TEST_CASE(an_unclear_end_is_a_crash_once_the_target_proves_to_be_down) {
    crash_log log;
    record_end(log, deadly, first, end_cause::crash_or_idle_close, policy, start);
    record_unreachable(log, first, policy, start + milliseconds(300));
    BOOST_TEST(attributed(log, deadly, start) == 1);
    record_end(log, deadly, second, end_cause::crash_or_idle_close, policy, start);
    record_end(log, other, second, end_cause::crash, policy, start + milliseconds(1));
    BOOST_TEST(attributed(log, deadly, start) == 2);
    record_end(log, deadly, third, end_cause::crash_or_idle_close, policy, start);
    record_unreachable(log, third, policy, start + seconds(2));
    BOOST_TEST(attributed(log, deadly, start) == 2);
}

// Guards against one crash that counts several times, because copies of a request ran there.
BOOST_AUTO_TEST_CASE(ends_at_one_target_at_the_same_moment_are_one_crash) {
    crash_log log;
    crash(log, first, {deadly, deadly}, start);
    crash(log, first, {deadly}, start + milliseconds(100));
    BOOST_TEST(attributed(log, deadly, start) == 1);
    crash(log, first, {deadly}, start + seconds(5));
    crash(log, second, {deadly}, start + seconds(5));
    BOOST_TEST(attributed(log, deadly, start + seconds(5)) == 3);
}

// Guards against innocent requests that are refused because they were often beside a deadly one.
BOOST_AUTO_TEST_CASE(a_request_beside_a_stronger_suspect_is_not_responsible) {
    crash_log log;
    crash(log, first, {innocent, deadly}, start);
    crash(log, second, {deadly, other}, start);
    BOOST_TEST(attributed(log, deadly, start) == 2);
    BOOST_TEST(attributed(log, innocent, start) == 0);
    crash(log, third, {innocent, deadly}, start);
    crash(log, fourth, {innocent, deadly}, start);
    BOOST_TEST(attributed(log, deadly, start) == 4);
    BOOST_TEST(attributed(log, innocent, start) == 0);
}

// The same when the stronger suspicion comes from other instances.
BOOST_AUTO_TEST_CASE(crashes_elsewhere_make_a_suspect_stronger) {
    crash_log log;
    crash(log, first, {innocent, deadly}, start);
    BOOST_TEST(attributed(log, innocent, start) == 1);
    BOOST_TEST(attributed(log, innocent, start, {{deadly, 1}}) == 0);
    BOOST_TEST(attributed(log, deadly, start, {{deadly, 1}}) == 1);
}

BOOST_AUTO_TEST_CASE(an_answer_ends_the_suspicion_and_leaves_that_of_others) {
    crash_log log;
    for (const target_id& target : {first, second, third}) {
        crash(log, target, {innocent, deadly}, start);
    }
    acquit(log, innocent);
    BOOST_TEST(count_crashes(log, innocent, policy, start) == 0);
    BOOST_TEST(attributed(log, deadly, start) == 3);
}

BOOST_AUTO_TEST_CASE(suspicion_ends_a_window_after_the_latest_crash) {
    crash_log log;
    crash(log, first, {deadly}, start);
    crash(log, second, {deadly, other}, start + seconds(15));
    const time_point later = start + seconds(30);
    forget_old_crashes(log, policy, later);
    BOOST_TEST(attributed(log, deadly, later) == 2);
    forget_old_crashes(log, policy, later + seconds(10));
    BOOST_TEST(log.crashes.empty());
    BOOST_TEST(log.latest.empty());
}

// Guards against a suspicion that returns with a later crash, although its window had ended.
BOOST_AUTO_TEST_CASE(forgotten_crashes_do_not_count_with_later_ones) {
    const time_point later = start + seconds(30);
    crash_log log;
    crash(log, first, {innocent}, start);
    crash(log, second, {innocent}, later);
    BOOST_TEST(attributed(log, innocent, later) == 1);
    crash_log renewed;
    crash(renewed, first, {innocent}, start);
    renew_suspect(renewed, innocent, policy, later);
    BOOST_TEST(attributed(renewed, innocent, later) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
