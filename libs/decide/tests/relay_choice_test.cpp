#include <boost/test/unit_test.hpp>

#include <string>

#include "decide/relay_choice.h"

using namespace knapweedknot;

namespace {

relay_candidate candidate(std::uint64_t number, const std::string& domain, double capacity) {
    return {incarnation_id{number}, instance_id{"n" + std::to_string(number)},
            failure_domain_id{domain}, capacity};
}

/// Instances 1 to 3 in domain a, 4 to 6 in domain b; the capacity falls with the number.
std::vector<relay_candidate> fleet_of_two_domains() {
    std::vector<relay_candidate> fleet;
    for (std::uint64_t number = 1; number <= 6; ++number) {
        fleet.push_back(
            candidate(number, number <= 3 ? "a" : "b", 100 - static_cast<double>(number)));
    }
    return fleet;
}

relay_choice choose_as(std::uint64_t number, std::vector<relay_candidate> fleet,
                       bool can_relay = true) {
    const auto own = std::find_if(fleet.begin(), fleet.end(), [number](const auto& item) {
        return item.incarnation.value == number;
    });
    relay_candidate self = *own;
    self.can_relay = can_relay;
    fleet.erase(own);
    return choose_relays(std::move(fleet), self);
}

} // namespace

// Guards against store calls that grow with the fleet: exactly one instance reads the store, one a
// domain asks beyond its domain, and the others ask within it.
BOOST_AUTO_TEST_CASE(one_instance_reads_the_store_for_all) {
    const auto fleet = fleet_of_two_domains();
    BOOST_TEST(choose_as(1, fleet).relays.empty());
    BOOST_TEST(choose_as(4, fleet).relays.front().value == 1U);
    BOOST_TEST(choose_as(4, fleet).is_domain_relay);
    for (const std::uint64_t number : {2, 3}) {
        BOOST_TEST(choose_as(number, fleet).relays.front().value == 1U);
    }
    for (const std::uint64_t number : {5, 6}) {
        BOOST_TEST(choose_as(number, fleet).relays.front().value == 4U);
        BOOST_TEST(!choose_as(number, fleet).is_domain_relay);
    }
}

// Guards against an instance that the store turns away and that goes on to rely on itself.
BOOST_AUTO_TEST_CASE(an_instance_without_the_store_asks_another_one) {
    const auto fleet = fleet_of_two_domains();
    BOOST_TEST(choose_as(1, fleet, false).relays.front().value == 2U);
    auto own = candidate(1, "a", 1);
    BOOST_TEST(choose_relays({}, own).relays.empty());
    own.can_relay = false;
    BOOST_TEST(choose_relays({candidate(9, "b", 50)}, own).relays.size() == 1U);
}

// Guards against instances that wait for each other (CONFIG): in every state of one to four
// instances, the store answering each of them or not, whoever is asked passes the question on to an
// instance that reads the store itself.
BOOST_AUTO_TEST_CASE(every_question_ends_at_an_instance_that_reads_the_store) {
    constexpr std::uint64_t largest = 4;
    for (std::uint64_t size = 1; size <= largest; ++size) {
        for (std::uint64_t state = 0; state < (1U << size); ++state) {
            std::vector<relay_candidate> fleet;
            for (std::uint64_t number = 1; number <= size; ++number) {
                fleet.push_back(candidate(number, number % 2 == 0 ? "a" : "b", 100));
                fleet.back().can_relay = (state >> (number - 1) & 1) != 0;
            }
            for (std::uint64_t number = 1; number <= size; ++number) {
                std::uint64_t asked = number;
                std::uint64_t steps = 0;
                for (; steps <= size; ++steps) {
                    const auto choice = choose_as(asked, fleet, fleet[asked - 1].can_relay);
                    if (choice.relays.empty()) {
                        break;
                    }
                    asked = choice.relays.front().value;
                }
                BOOST_TEST(steps <= size, "state " << state << " of " << size);
            }
        }
    }
}

// Guards against an outage that is noticed to be over only late, or by all instances at once: one
// of each failure domain finds out, whatever it and the others have seen last.
BOOST_AUTO_TEST_CASE(one_instance_of_each_domain_finds_out_whether_the_store_answers_again) {
    auto fleet = fleet_of_two_domains();
    for (const bool own_can_relay : {false, true}) {
        for (auto& item : fleet) {
            item.can_relay = !item.can_relay;
            int found = 0;
            for (std::uint64_t number = 1; number <= fleet.size(); ++number) {
                found += choose_as(number, fleet, own_can_relay).is_domain_best ? 1 : 0;
            }
            BOOST_TEST(found == 2);
            BOOST_TEST(choose_as(1, fleet, own_can_relay).is_domain_best);
            BOOST_TEST(choose_as(4, fleet, own_can_relay).is_domain_best);
        }
    }
}
