#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include "decide/seat_plan.h"

using namespace knapweedknot;

namespace {

seat_plan_input input_of(int number, int releasable = 0) {
    return {instance_id{"i" + std::to_string(number)},
            incarnation_id{static_cast<std::uint64_t>(number)},
            releasable,
            false,
            {},
            ""};
}

/// Lets the instances plan in random order until none of them changes the record. Surplus seats are
/// always releasable, as after the expiry of their leases.
void run_to_convergence(seat_record& record, std::vector<seat_plan_input> inputs,
                        std::mt19937& random) {
    for (int round = 0; round < 200; ++round) {
        std::shuffle(inputs.begin(), inputs.end(), random);
        bool changed = false;
        for (seat_plan_input& input : inputs) {
            input.releasable = surplus_seats(record, input.incarnation);
            if (const auto planned = plan_seats(record, input)) {
                record = *planned;
                changed = true;
                BOOST_REQUIRE(free_seats(record) >= 0);
            }
        }
        if (!changed) {
            return;
        }
    }
    BOOST_FAIL("the seat plan does not converge within 200 rounds");
}

} // namespace

BOOST_AUTO_TEST_CASE(seats_converge_to_an_even_distribution) {
    std::mt19937 random(7);
    for (const int count : {1, 2, 3, 32, 44}) {
        seat_record record{128, {}};
        std::vector<seat_plan_input> inputs;
        for (int i = 1; i <= count; ++i) {
            inputs.push_back(input_of(i));
            run_to_convergence(record, inputs, random);
        }
        BOOST_TEST(free_seats(record) == 0);
        for (const seat_holder& holder : record.holders) {
            BOOST_TEST(holder.seats >= 128 / count);
            BOOST_TEST(holder.seats <= 128 / count + 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_inherits_the_seats_of_its_predecessor) {
    const seat_record record{10,
                             {{instance_id{"i1"}, incarnation_id{1}, 5, ""},
                              {instance_id{"i2"}, incarnation_id{2}, 5, ""}}};
    seat_plan_input input = input_of(1);
    input.incarnation = incarnation_id{11};
    const auto planned = plan_seats(record, input);
    BOOST_REQUIRE(planned.has_value());
    BOOST_TEST((find_holder(*planned, incarnation_id{1}) == nullptr));
    BOOST_TEST(find_holder(*planned, incarnation_id{11})->seats == 5);
}

BOOST_AUTO_TEST_CASE(leased_seats_are_not_released) {
    const seat_record record{10,
                             {{instance_id{"i1"}, incarnation_id{1}, 10, ""},
                              {instance_id{"i2"}, incarnation_id{2}, 0, ""}}};
    BOOST_TEST(surplus_seats(record, incarnation_id{1}) == 5);
    BOOST_TEST(!plan_seats(record, input_of(1, 0)).has_value());
    BOOST_TEST(find_holder(*plan_seats(record, input_of(1, 5)), incarnation_id{1})->seats == 5);
}

BOOST_AUTO_TEST_CASE(an_overcommitted_or_malformed_record_is_rejected) {
    const seat_record record{10, {{instance_id{"i1"}, incarnation_id{1}, 10, ""}}};
    BOOST_TEST((decode_seats(encode_seats(record)) == record));
    BOOST_TEST(!decode_seats(encode_seats({9, record.holders})).has_value());
    BOOST_TEST(!decode_seats("{").has_value());
}
