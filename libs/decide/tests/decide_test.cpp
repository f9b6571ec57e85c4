#define BOOST_TEST_MODULE decide
#include <boost/test/unit_test.hpp>

#include <map>

#include "decide/placement.h"

using namespace knapweedknot;

BOOST_AUTO_TEST_CASE(slots_are_balanced_and_move_only_when_their_instance_leaves) {
    std::vector<instance_id> instances;
    instances.reserve(44);
    for (int i = 0; i < 44; ++i) {
        instances.push_back(instance_id{"instance-" + std::to_string(i)});
    }
    std::vector<instance_id> remaining(instances.begin(), instances.end() - 1);
    std::map<instance_id, int> load;
    for (std::uint32_t slot = 0; slot < 4400; ++slot) {
        const instance_id first = rank_instances(slot_id{slot}, instances).front();
        ++load[first];
        if (first != instances.back()) {
            BOOST_TEST((rank_instances(slot_id{slot}, remaining).front() == first));
        }
    }
    for (const auto& [instance, slots] : load) {
        BOOST_TEST(slots > 50);
        BOOST_TEST(slots < 150);
    }
}
