#include <boost/test/unit_test.hpp>

#include <string>

#include "one_caller_server.h"

using namespace knapweedknot;
using harness::get_request;
using draining_server = harness::one_caller_server;

/// \file
/// What each connection gets when its server starts to close connections for a planned stop: one
/// test for each state in which a connection can be at that moment.

BOOST_AUTO_TEST_SUITE(connection_drain)

// Guards against callers that keep a connection open without using it and hold up a planned stop.
BOOST_AUTO_TEST_CASE(a_connection_that_was_only_opened_is_closed_as_idle) {
    draining_server fixture;
    fixture.server.close_after_responses();
    fixture.run_for(milliseconds(20));
    BOOST_TEST(fixture.server.open_connections() == 1U);
    fixture.server.close_idle_connections();
    fixture.read_to_end();
    BOOST_TEST(fixture.received.empty());
}

// Guards against a request on a kept connection that is cut off since the connection was idle when
// the stop began (LOST).
BOOST_AUTO_TEST_CASE(a_request_on_a_connection_that_was_idle_is_answered) {
    draining_server fixture;
    fixture.server.close_after_responses();
    fixture.caller.send(get_request("/1"));
    fixture.wait_for_requests(1);
    fixture.server.close_idle_connections();
    fixture.respond(0, "one");
    fixture.read_to_end();
    BOOST_TEST(fixture.count("Connection: close") == 1U);
    BOOST_TEST(fixture.received.ends_with("one"));
}

// Guards against a request that is cut off since only its head, or a part of its body, had arrived
// when the stop began (LOST).
BOOST_AUTO_TEST_CASE(a_request_that_is_being_received_is_read_to_its_end_and_answered) {
    const std::string request = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    for (const std::size_t first_part : {std::size_t{9}, request.size() - 2}) {
        draining_server fixture;
        fixture.caller.send(request.substr(0, first_part));
        fixture.run_for(milliseconds(20));
        fixture.server.close_after_responses();
        fixture.server.close_idle_connections();
        fixture.caller.send(request.substr(first_part));
        fixture.wait_for_requests(1);
        BOOST_TEST(body_text(fixture.requests.front()->body()) == "body");
        fixture.respond(0, "one");
        fixture.read_to_end();
        BOOST_TEST(fixture.count("Connection: close") == 1U);
    }
}

// Guards against requests that are passed on late in a planned stop and broken off at its end
// (LOST): a caller that sends each request before the answer to the one before it was never told to
// leave.
BOOST_AUTO_TEST_CASE(requests_sent_behind_a_running_one_are_not_handled) {
    draining_server fixture;
    fixture.caller.send(get_request("/1"));
    fixture.wait_for_requests(1);
    fixture.server.close_after_responses();
    fixture.caller.send(get_request("/2"));
    fixture.run_for(milliseconds(50));
    BOOST_TEST(fixture.requests.size() == 1U);
    fixture.respond(0, "one");
    fixture.read_to_end();
    BOOST_TEST(fixture.requests.size() == 1U);
    BOOST_TEST(fixture.count("HTTP/1.1 200") == 1U);
    BOOST_TEST(fixture.count("Connection: close") == 1U);
}

// The same failure (LOST), for a request that was read before the stop but waited for its turn.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_running_one_is_not_handled) {
    draining_server fixture;
    fixture.caller.send(get_request("/1") +
                        "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    fixture.wait_for_requests(1);
    fixture.run_for(milliseconds(20));
    fixture.server.close_after_responses();
    fixture.respond(0, "one");
    fixture.read_to_end();
    BOOST_TEST(fixture.requests.size() == 1U);
    BOOST_TEST(fixture.count("Connection: close") == 1U);
}

// The same failure (LOST), for a request of which a part was received: neither its header timeout
// nor the idle timeout may break off the request that runs.
BOOST_AUTO_TEST_CASE(a_part_of_a_request_behind_a_running_one_is_discarded) {
    http_server_limits limits;
    limits.header_timeout = milliseconds(30);
    limits.idle_timeout = milliseconds(30);
    for (const std::string part :
         {"GET /2 HTT", "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"}) {
        draining_server fixture;
        fixture.server.set_limits(limits);
        fixture.caller.send(get_request("/1") + part);
        fixture.wait_for_requests(1);
        fixture.server.close_after_responses();
        fixture.run_for(milliseconds(100));
        fixture.respond(0, "one");
        fixture.read_to_end();
        BOOST_TEST(fixture.count("HTTP/1.1 ") == 1U);
        BOOST_TEST(fixture.received.ends_with("one"));
    }
}

// Guards against answers that are ready but wait for an earlier one, and are lost when the
// connection is closed (LOST).
BOOST_AUTO_TEST_CASE(answers_queued_behind_a_running_request_are_delivered) {
    draining_server fixture;
    fixture.caller.send(get_request("/1") + get_request("/2") + get_request("/3"));
    fixture.wait_for_requests(3);
    fixture.respond(1, "two");
    fixture.server.close_after_responses();
    fixture.respond(2, "three");
    fixture.run_for(milliseconds(20));
    fixture.server.close_idle_connections();
    fixture.respond(0, "one");
    fixture.read_to_end();
    BOOST_TEST(fixture.count("HTTP/1.1 200") == 3U);
    BOOST_TEST(fixture.count("Connection: close") == 1U);
    BOOST_TEST(fixture.received.ends_with("three"));
}

BOOST_AUTO_TEST_SUITE_END()
