#include <boost/test/unit_test.hpp>

#include "decide/freshness.h"

using namespace knapweedknot;

namespace {

constexpr int total_seats = 4;
const freshness_times times{milliseconds(2000), milliseconds(1000)};
const time_point start{seconds(1000)};

bool fresh_with(const std::vector<config_voucher>& vouchers, std::uint64_t number,
                duration later = duration::zero()) {
    return is_fresh(vouchers, config_number{number}, std::nullopt, total_seats, times,
                    start + later);
}

} // namespace

BOOST_AUTO_TEST_CASE(more_than_half_of_the_seats_must_vouch) {
    const config_voucher self{1, config_number{7}, true, start};
    const config_voucher peer{1, config_number{7}, true, start};
    const config_voucher other{1, config_number{7}, true, start};
    BOOST_TEST(!fresh_with({self, peer}, 7));
    BOOST_TEST(fresh_with({self, peer, other}, 7));
    BOOST_TEST(!fresh_with({self, peer, other}, 7, milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(a_peer_with_a_newer_or_pending_number_does_not_vouch) {
    const config_voucher self{2, config_number{7}, true, start};
    BOOST_TEST(!fresh_with({self, {2, config_number{8}, true, start}}, 7));
    BOOST_TEST(!fresh_with({self, {2, config_number{7}, false, start}}, 7));
    BOOST_TEST(fresh_with({self, {2, config_number{6}, true, start}}, 7));
}

BOOST_AUTO_TEST_CASE(a_recent_read_of_the_store_is_enough) {
    BOOST_TEST(is_fresh({}, config_number{7}, start, total_seats, times, start + seconds(1)));
    BOOST_TEST(!is_fresh({}, config_number{7}, start, total_seats, times, start + seconds(2)));
}

BOOST_AUTO_TEST_CASE(an_acknowledgement_ends_the_vouching_after_the_grace) {
    open_announcements open;
    note_announcement(open, "a", config_number{8}, start);
    BOOST_TEST(still_vouches(open, config_number{7}, times, start + milliseconds(999)));
    BOOST_TEST(!still_vouches(open, config_number{7}, times, start + milliseconds(1000)));
    BOOST_TEST(still_vouches(open, config_number{8}, times, start + seconds(9)));
}

BOOST_AUTO_TEST_CASE(withdrawing_one_announcement_leaves_the_hold_of_another) {
    open_announcements open;
    note_announcement(open, "a", config_number{8}, start);
    note_announcement(open, "b", config_number{8}, start + milliseconds(500));
    open.erase("b");
    BOOST_TEST(!still_vouches(open, config_number{7}, times, start + milliseconds(1000)));
    open.erase("a");
    BOOST_TEST(still_vouches(open, config_number{7}, times, start + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(an_announcement_ends_when_it_is_adopted_or_can_no_longer_be_written) {
    open_announcements open;
    note_announcement(open, "a", config_number{8}, start);
    note_announcement(open, "b", config_number{9}, start + seconds(1));
    settle_announcements(open, config_number{8});
    BOOST_TEST(open.size() == 1U);
    expire_announcements(open, start);
    BOOST_TEST(open.size() == 1U);
    expire_announcements(open, start + seconds(1));
    BOOST_TEST(open.empty());
}
