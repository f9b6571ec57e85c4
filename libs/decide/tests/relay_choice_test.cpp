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
    const relay_candidate self = *own;
    fleet.erase(own);
    return choose_relays(std::move(fleet), self, can_relay);
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
    const auto own = candidate(1, "a", 1);
    BOOST_TEST(choose_relays({}, own, true).relays.empty());
    BOOST_TEST(choose_relays({candidate(9, "b", 50)}, own, false).relays.size() == 1U);
}
