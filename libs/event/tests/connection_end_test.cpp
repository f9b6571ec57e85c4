#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "one_caller_server.h"

using namespace knapweedknot;
using harness::get_request;
using harness::one_caller_server;

/// \file
/// What is reported of each way in which a caller's connection ends.

namespace {

const std::vector<std::string> none;

void check_end(const one_caller_server& fixture, connection_end_reason reason,
               connection_end_manner manner) {
    BOOST_REQUIRE(fixture.ends.size() == 1U);
    BOOST_TEST(to_string(fixture.ends.front().reason) == to_string(reason));
    BOOST_TEST(to_string(fixture.ends.front().manner) == to_string(manner));
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_ends)

// Guards against lost requests of which the logs do not tell why their connection ended.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_reported_with_its_unanswered_requests) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a") + get_request("/2", "b"));
    fixture.wait_for_requests(2);
    fixture.caller.close();
    fixture.run_until([&] { return !fixture.ends.empty(); });
    check_end(fixture, connection_end_reason::caller_closed,
              connection_end_manner::closed_by_caller);
    BOOST_TEST(fixture.ends.front().unanswered == (std::vector<std::string>{"a", "b"}));
    BOOST_TEST(fixture.ends.front().undelivered == none);
}

// Guards against a crash of the process when what ends for a caller that has left releases another
// request of that caller.
BOOST_AUTO_TEST_CASE(a_request_may_end_while_others_of_its_connection_are_cancelled) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a") + get_request("/2", "b"));
    fixture.wait_for_requests(2);
    std::vector<std::string> told;
    fixture.requests[0]->on_caller_disconnect([&] {
        told.emplace_back("a");
        fixture.requests.clear();
    });
    fixture.requests[1]->on_caller_disconnect([&told] { told.emplace_back("b"); });
    fixture.caller.close();
    fixture.run_until([&] { return !fixture.ends.empty(); });
    BOOST_TEST(told == (std::vector<std::string>{"a", "b"}));
    BOOST_TEST(fixture.server.running_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(a_reset_by_the_caller_is_reported) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a"));
    fixture.wait_for_requests(1);
    fixture.caller.reset();
    fixture.run_until([&] { return !fixture.ends.empty(); });
    check_end(fixture, connection_end_reason::connection_failed, connection_end_manner::failed);
    BOOST_TEST(fixture.ends.front().unanswered == std::vector<std::string>{"a"});
}

BOOST_AUTO_TEST_CASE(a_connection_that_a_response_closes_is_reported_as_delivered) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a"));
    fixture.wait_for_requests(1);
    fixture.server.close_after_responses();
    fixture.respond(0, "one");
    fixture.read_to_end();
    fixture.caller.close();
    fixture.run_until([&] { return !fixture.ends.empty(); });
    check_end(fixture, connection_end_reason::final_response,
              connection_end_manner::closed_by_caller);
    BOOST_TEST(fixture.ends.front().unanswered == none);
    BOOST_TEST(fixture.ends.front().undelivered == none);
}

BOOST_AUTO_TEST_CASE(a_caller_that_does_not_close_after_the_last_response_is_reported) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a"));
    fixture.wait_for_requests(1);
    fixture.server.close_after_responses();
    fixture.respond(0, "one");
    fixture.run_until([&] { return !fixture.ends.empty(); });
    check_end(fixture, connection_end_reason::final_response, connection_end_manner::timed_out);
    BOOST_TEST(fixture.ends.front().undelivered == none);
}

BOOST_AUTO_TEST_CASE(a_request_that_the_handler_drops_is_reported) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a"));
    fixture.wait_for_requests(1);
    fixture.requests.clear();
    check_end(fixture, connection_end_reason::request_dropped,
              connection_end_manner::closed_by_server);
    BOOST_TEST(fixture.ends.front().unanswered == std::vector<std::string>{"a"});
}

// Guards against answers that are lost in the kernel's buffer without a sign in the logs (LOST).
BOOST_AUTO_TEST_CASE(responses_that_the_caller_has_not_received_are_reported) {
    one_caller_server fixture;
    fixture.caller.send(get_request("/1", "a") + get_request("/2", "b"));
    fixture.wait_for_requests(2);
    fixture.respond(0, "one");
    fixture.respond(1, std::string(std::size_t{16} * 1024 * 1024, 'x'));
    fixture.run_for(milliseconds(50));
    fixture.caller.reset();
    fixture.run_until([&] { return !fixture.ends.empty(); });
    check_end(fixture, connection_end_reason::connection_failed, connection_end_manner::failed);
    BOOST_TEST(fixture.ends.front().undelivered == std::vector<std::string>{"b"});
    BOOST_TEST(fixture.ends.front().unsent_bytes > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
