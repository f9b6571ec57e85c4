#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>

#include "edge_fixture.h"
#include "raw_socket.h"

using namespace knapweedknot;
using namespace knapweedknot::harness;

/// \file
/// What callers get of their answers when an edge process ends.

namespace {

constexpr std::size_t answer_bytes = 1'400'000;
constexpr int small_receive_buffer = 4096;
// The answer takes over 4 s, longer than an edge accepts requests in a planned stop.
constexpr std::size_t read_bytes = 3500;
constexpr duration read_interval = milliseconds(10);
// How long an edge accepts requests after a SIGTERM.
constexpr duration accepting_time = seconds(3);

std::string request_text(const std::string& path, const std::string& id) {
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\nX-Request-Id: " + id +
           "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(edge_close)

// Guards against a process that ends while the kernel still holds an answer, and so resets a caller
// that takes it slowly and has sent a further request (LOST).
BOOST_AUTO_TEST_CASE(a_graceful_stop_ends_only_when_a_slow_caller_has_its_answer) {
    edge_fleet fleet(84);
    fleet.bounds["stop_grace_s"] = 20;
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    target.request_handler = [&](const auto& request) {
        target.answer(*request, 200, std::string(answer_bytes, 'x'));
    };
    fleet.start();
    raw_socket caller;
    caller.set_receive_buffer(small_receive_buffer);
    caller.connect(fleet.callers_address(0));
    caller.send(request_text("/safe/1", "one"));
    std::string received;
    const timer reader =
        fleet.events.every(read_interval, [&] { received += caller.read_available(read_bytes); });
    BOOST_REQUIRE(fleet.run_until([&] { return received.size() > answer_bytes / 20; }));
    fleet.daemons.at(0).signal(SIGTERM);
    // The caller goes on to use its connection.
    const timer sender = fleet.events.every(milliseconds(300), [&] {
        if (!caller.is_reset()) {
            caller.send(request_text("/safe/2", "two"));
        }
    });
    fleet.run_for(accepting_time + milliseconds(200));
    BOOST_TEST(received.size() < answer_bytes);
    fleet.run_until([&] { return caller.is_closed_by_peer(); }, seconds(16));
    BOOST_TEST(received.size() > answer_bytes);
    BOOST_TEST(!caller.is_reset());
    BOOST_TEST(fleet.total_requests("/safe/2") == 0);
    caller.close();
    BOOST_TEST(fleet.run_until([&] { return fleet.daemons.at(0).has_ended(); }));
    BOOST_TEST(fleet.log_of(0).find("event=response_lost") == std::string::npos);
}

// Guards against a planned stop that goes on after all callers have left.
BOOST_AUTO_TEST_CASE(a_graceful_stop_ends_at_once_when_its_callers_have_closed) {
    edge_fleet fleet(85);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    fleet.add_target("i-1");
    fleet.start();
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1", "key-1").status == 200);
    fleet.daemons.at(0).signal(SIGTERM);
    constexpr duration slack = milliseconds(800);
    BOOST_TEST(
        fleet.run_until([&] { return fleet.daemons.at(0).has_ended(); }, accepting_time + slack));
}

BOOST_AUTO_TEST_SUITE_END()
