#include <boost/test/unit_test.hpp>

#include "decide/lease_table.h"

using namespace knapweedknot;

namespace {

const incarnation_id first{1};
const incarnation_id second{2};
const loan_times times{milliseconds(1000), 0.01};
const time_point start{seconds(1000)};

loan_book one_slot() {
    loan_book book;
    book.slots.resize(1);
    return book;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_share_goes_to_another_borrower_only_after_the_loan_has_ended) {
    loan_book book = one_slot();
    BOOST_TEST(lend(book, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST(lend(book, second, {second}, 1, times, start + milliseconds(1009)).empty());
    BOOST_TEST(lend(book, second, {second}, 2, times, start + milliseconds(1010)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_acknowledged_recall_frees_the_share_at_once) {
    loan_book book = one_slot();
    BOOST_TEST(lend(book, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST(acknowledge(book, first, 1, start) == 0U);
    BOOST_TEST(lend(book, first, {second}, 2, times, start).empty());
    BOOST_TEST(acknowledge(book, first, 1, start) == 0U);
    BOOST_TEST(lend(book, second, {second}, 1, times, start).empty());
    BOOST_TEST(acknowledge(book, first, 2, start) == 1U);
    BOOST_TEST(lend(book, second, {second}, 2, times, start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_recall_that_was_taken_back_does_not_free_the_share) {
    loan_book book = one_slot();
    BOOST_TEST(lend(book, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST(lend(book, first, {second}, 2, times, start).empty());
    BOOST_TEST(lend(book, first, {first}, 3, times, start).size() == 1U);
    BOOST_TEST(acknowledge(book, first, 2, start) == 0U);
    BOOST_TEST(lend(book, second, {second}, 1, times, start).empty());
}

BOOST_AUTO_TEST_CASE(the_lender_outwaits_a_borrower_whose_clock_runs_slow) {
    loan_book book = one_slot();
    BOOST_TEST(lend(book, first, {first}, 1, times, start).size() == 1U);
    BOOST_TEST((last_end(book, start) == start + milliseconds(1010)));
}
