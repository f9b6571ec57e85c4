#include <boost/test/unit_test.hpp>

#include "decide/freshness.h"

using namespace knapweedknot;

namespace {

constexpr int total_seats = 4;
const freshness_times times{milliseconds(2000), milliseconds(1000)};
const time_point start{seconds(1000)};

bool fresh_with(const std::vector<config_confirmation>& confirmations, std::uint64_t number,
                duration elapsed = duration::zero()) {
    return is_fresh(confirmations, config_number{number}, std::nullopt, total_seats, times,
                    start + elapsed);
}

} // namespace

BOOST_AUTO_TEST_CASE(more_than_half_of_the_seats_must_confirm) {
    const config_confirmation self{1, config_number{7}, true, start};
    const config_confirmation peer{1, config_number{7}, true, start};
    const config_confirmation other{1, config_number{7}, true, start};
    BOOST_TEST(!fresh_with({self, peer}, 7));
    BOOST_TEST(fresh_with({self, peer, other}, 7));
    BOOST_TEST(!fresh_with({self, peer, other}, 7, milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(a_peer_with_a_newer_or_pending_number_does_not_confirm) {
    const config_confirmation self{2, config_number{7}, true, start};
    BOOST_TEST(!fresh_with({self, {2, config_number{8}, true, start}}, 7));
    BOOST_TEST(!fresh_with({self, {2, config_number{7}, false, start}}, 7));
    BOOST_TEST(fresh_with({self, {2, config_number{6}, true, start}}, 7));
}

BOOST_AUTO_TEST_CASE(a_recent_read_of_the_store_is_sufficient) {
    BOOST_TEST(is_fresh({}, config_number{7}, start, total_seats, times, start + seconds(1)));
    BOOST_TEST(!is_fresh({}, config_number{7}, start, total_seats, times, start + seconds(2)));
}

BOOST_AUTO_TEST_CASE(confirmation_ends_one_grace_period_after_the_acknowledgement) {
    pending_announcements pending;
    record_announcement(pending, "a", config_number{8}, start);
    BOOST_TEST(can_confirm(pending, config_number{7}, times, start + milliseconds(999)));
    BOOST_TEST(!can_confirm(pending, config_number{7}, times, start + milliseconds(1000)));
    BOOST_TEST(can_confirm(pending, config_number{8}, times, start + seconds(9)));
}

BOOST_AUTO_TEST_CASE(withdrawing_one_announcement_leaves_another_pending) {
    pending_announcements pending;
    record_announcement(pending, "a", config_number{8}, start);
    record_announcement(pending, "b", config_number{8}, start + milliseconds(500));
    pending.erase("b");
    BOOST_TEST(!can_confirm(pending, config_number{7}, times, start + milliseconds(1000)));
    pending.erase("a");
    BOOST_TEST(can_confirm(pending, config_number{7}, times, start + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(an_announcement_is_removed_once_adopted_or_no_longer_writable) {
    pending_announcements pending;
    record_announcement(pending, "a", config_number{8}, start);
    record_announcement(pending, "b", config_number{9}, start + seconds(1));
    resolve_announcements(pending, config_number{8});
    BOOST_TEST(pending.size() == 1U);
    expire_announcements(pending, start);
    BOOST_TEST(pending.size() == 1U);
    expire_announcements(pending, start + seconds(1));
    BOOST_TEST(pending.empty());
}
