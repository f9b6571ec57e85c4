#define BOOST_TEST_MODULE peers
#include <boost/test/unit_test.hpp>

#include <numeric>

#include "peers/mesh.h"

using namespace knapweedknot;

namespace {

constexpr std::uint16_t first_port = 18700;

struct node {
    std::unique_ptr<mesh> network;
    int messages{0};
    int heartbeats{0};
    int disconnects{0};
};

endpoint address_of(int number) {
    return {"127.0.0.1", static_cast<std::uint16_t>(first_port + number)};
}

/// Bytes that all nodes have sent.
std::uint64_t bytes_sent(const std::vector<node>& nodes) {
    return std::accumulate(
        nodes.begin(), nodes.end(), std::uint64_t{0},
        [](std::uint64_t sum, const node& one) { return sum + one.network->traffic().sent; });
}

void start(loop& events, node& one, int number) {
    const peer_info self{instance_id{"n" + std::to_string(number)},
                         incarnation_id{static_cast<std::uint64_t>(100 + number)},
                         failure_domain_id{"a"},
                         address_of(number),
                         address_of(number),
                         address_of(number)};
    one.network = std::make_unique<mesh>(
        events, self,
        mesh_handlers{[&one](const auto&, const auto&) { ++one.messages; },
                      [&one](const auto&, const auto&) { ++one.heartbeats; }, [](const auto&) {},
                      [&one](const auto&) { ++one.disconnects; }});
    BOOST_REQUIRE(one.network->listen().has_value());
}

template <typename Condition>
void run_until(loop& events, Condition condition) {
    const time_point limit = boot_clock::now() + seconds(8);
    const timer poll = events.every(milliseconds(5), [&] {
        if (condition() || boot_clock::now() > limit) {
            events.stop();
        }
    });
    events.run();
    BOOST_REQUIRE(condition());
}

} // namespace

// Guards against an incomplete mesh when all instances know only one seed, against messages or
// heartbeats that reach the wrong peer, and against a missed disconnect.
BOOST_AUTO_TEST_CASE(instances_connect_to_each_other_through_one_seed_and_detect_a_disconnect) {
    constexpr int count = 5;
    loop events;
    std::vector<node> nodes(count);
    for (int i = 0; i < count; ++i) {
        start(events, nodes[static_cast<std::size_t>(i)], i);
        nodes[static_cast<std::size_t>(i)].network->add_address(address_of(0), true);
    }
    const auto all_have = [&](std::size_t peers) {
        return std::all_of(nodes.begin(), nodes.end(), [peers](const node& one) {
            return one.network == nullptr || one.network->peers().size() == peers;
        });
    };
    run_until(events, [&] { return all_have(count - 1); });
    nodes[1].network->broadcast(wire::entries_requestT());
    run_until(events, [&] { return nodes[4].messages == 1; });
    BOOST_TEST(nodes[0].messages == 1);
    wire::heartbeat_fields fields;
    fields.mutate_sender(nodes[1].network->self().incarnation.value);
    nodes[1].network->send_heartbeat(nodes[3].network->self().incarnation, fields);
    run_until(events, [&] { return nodes[3].heartbeats == 1; });
    BOOST_TEST(nodes[4].heartbeats == 0);
    nodes[2].network.reset();
    run_until(events, [&] { return all_have(count - 2); });
    BOOST_TEST(nodes[4].disconnects == 1);
}

// Guards against a start whose cost grows with the cube of the fleet: each new link was answered
// with the addresses of all other peers. Twice the instances have four times the links, so the
// bytes of a start may grow fourfold, and a quarter of that again for lists that are longer.
BOOST_AUTO_TEST_CASE(the_bytes_of_a_start_grow_with_the_number_of_links) {
    constexpr double growth_limit = 4 * 1.25;
    const auto start_bytes = [](int count, int first_number) {
        loop events;
        std::vector<node> nodes(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            start(events, nodes[static_cast<std::size_t>(i)], first_number + i);
        }
        for (node& one : nodes) {
            for (int i = 0; i < count; ++i) {
                one.network->add_address(address_of(first_number + i), false);
            }
        }
        run_until(events, [&] {
            return std::all_of(nodes.begin(), nodes.end(), [&](const node& one) {
                return one.network->peers().size() == nodes.size() - 1;
            });
        });
        return static_cast<double>(bytes_sent(nodes));
    };
    const double small = start_bytes(20, 10);
    const double large = start_bytes(40, 30);
    BOOST_TEST_MESSAGE("bytes of a start: " << small << " and " << large);
    BOOST_TEST(large < small * growth_limit);
}
