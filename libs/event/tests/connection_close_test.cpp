#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "one_caller_server.h"

using namespace knapweedknot;
using harness::get_request;
using harness::one_caller_server;
using harness::one_caller_server_address;
using harness::raw_socket;

/// \file
/// What a caller gets when the server ends its connection: one test for each state in which the
/// answers and the caller's bytes can be at that moment.

namespace {

// A caller that takes its answers slowly.
constexpr int small_receive_buffer = 4096;
constexpr std::size_t slow_read_bytes = 4096;
constexpr duration slow_read_interval = milliseconds(5);
constexpr std::size_t long_answer_bytes = std::size_t{400} * 1024;
// More than the kernel's buffers hold.
constexpr std::size_t huge_answer_bytes = std::size_t{16} * 1024 * 1024;

http_server_limits short_limits() {
    http_server_limits limits;
    limits.idle_timeout = milliseconds(100);
    limits.linger_timeout = milliseconds(200);
    return limits;
}

std::string long_answer() {
    return std::string(long_answer_bytes, 'x');
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_close)

// Guards against answers that are cut since the idle timeout ran while the caller took them (LOST).
BOOST_AUTO_TEST_CASE(the_idle_timeout_does_not_cut_an_answer_that_the_caller_is_taking) {
    one_caller_server fixture(short_limits(), small_receive_buffer);
    fixture.caller.send(get_request("/1"));
    fixture.wait_for_requests(1);
    fixture.respond(0, long_answer());
    fixture.read_slowly_until(slow_read_bytes, slow_read_interval,
                              [&] { return fixture.received.size() > long_answer_bytes / 2; });
    fixture.caller.send(get_request("/2"));
    fixture.read_slowly_until(slow_read_bytes, slow_read_interval, [&] {
        return fixture.received.size() > long_answer_bytes || fixture.caller.is_reset();
    });
    BOOST_TEST(fixture.received.size() > long_answer_bytes);
    BOOST_TEST(!fixture.caller.is_reset());
    fixture.wait_for_requests(2);
    fixture.respond(1, "two");
    fixture.run_until([&] {
        fixture.received += fixture.caller.read_available();
        return fixture.received.ends_with("two");
    });
}

// Guards against callers that never take their answers and keep connections and memory for good.
BOOST_AUTO_TEST_CASE(a_caller_that_takes_no_byte_of_its_answer_is_given_up) {
    http_server_limits limits = short_limits();
    limits.write_stall_timeout = milliseconds(300);
    one_caller_server fixture(limits, small_receive_buffer);
    fixture.caller.send(get_request("/1", "a"));
    fixture.wait_for_requests(1);
    fixture.respond(0, long_answer());
    fixture.run_for(limits.idle_timeout * 2);
    BOOST_TEST(fixture.ends.empty());
    fixture.run_until([&] { return !fixture.ends.empty(); });
    BOOST_TEST(to_string(fixture.ends.front().reason) == "write_stalled");
    BOOST_TEST(fixture.ends.front().undelivered == std::vector<std::string>{"a"});
}

// Guards against a reset, which can drop answers in transit, for a request that crosses the close
// of an idle connection (LOST).
BOOST_AUTO_TEST_CASE(a_request_that_crosses_the_close_of_an_idle_connection_resets_nothing) {
    one_caller_server fixture(short_limits());
    fixture.run_until([&] { return fixture.caller.is_closed_by_peer(); });
    fixture.caller.send(get_request("/1"));
    fixture.run_for(milliseconds(50));
    BOOST_TEST(!fixture.caller.is_reset());
    BOOST_TEST(fixture.requests.empty());
}

// Guards against a planned stop that closes a connection as idle although a request stands in the
// kernel's buffer (LOST).
BOOST_AUTO_TEST_CASE(a_connection_with_an_unread_request_is_not_closed_as_idle) {
    one_caller_server fixture;
    fixture.server.close_after_responses();
    fixture.caller.send(get_request("/1"));
    fixture.server.close_idle_connections();
    fixture.wait_for_requests(1);
    fixture.respond(0, "one");
    fixture.read_to_end();
    BOOST_TEST(fixture.received.ends_with("one"));
}

// Guards against a last answer that is cut while its caller takes it, as the time to linger counted
// from when the answer was queued (LOST).
BOOST_AUTO_TEST_CASE(a_closing_connection_lingers_while_its_caller_takes_the_last_answer) {
    one_caller_server fixture(short_limits(), small_receive_buffer);
    fixture.caller.send(get_request("/1"));
    fixture.wait_for_requests(1);
    fixture.server.close_after_responses();
    fixture.respond(0, long_answer());
    fixture.read_slowly_until(slow_read_bytes, slow_read_interval, [&] {
        return fixture.received.size() > long_answer_bytes * 3 / 4 || fixture.caller.is_reset();
    });
    fixture.caller.send(get_request("/2"));
    fixture.read_slowly_until(slow_read_bytes, slow_read_interval,
                              [&] { return fixture.caller.is_closed_by_peer(); });
    BOOST_TEST(fixture.received.size() > long_answer_bytes);
    BOOST_TEST(!fixture.caller.is_reset());
    BOOST_TEST(fixture.requests.size() == 1U);
}

// Guards against a last answer that is cut since its caller takes nothing for a moment, as hosts on
// a lossy link do (LOST).
BOOST_AUTO_TEST_CASE(a_closing_connection_waits_for_a_caller_that_pauses) {
    const http_server_limits limits = short_limits();
    one_caller_server fixture(limits, small_receive_buffer);
    fixture.caller.send(get_request("/1"));
    fixture.wait_for_requests(1);
    fixture.server.close_after_responses();
    fixture.respond(0, std::string(huge_answer_bytes, 'x'));
    fixture.run_for(limits.linger_timeout * 3);
    BOOST_TEST(fixture.ends.empty());
    fixture.read_to_end();
    BOOST_TEST(fixture.received.size() > huge_answer_bytes);
}

// Guards against requests that are broken off since the body of another one, sent behind them,
// stops arriving (LOST).
BOOST_AUTO_TEST_CASE(a_body_that_stops_arriving_does_not_end_the_requests_before_it) {
    http_server_limits limits = short_limits();
    limits.header_timeout = limits.idle_timeout;
    one_caller_server fixture(limits);
    fixture.caller.send(get_request("/1") +
                        "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
    fixture.wait_for_requests(1);
    fixture.run_for(limits.idle_timeout * 2);
    fixture.respond(0, "one");
    fixture.read_to_end();
    BOOST_TEST(fixture.count("HTTP/1.1 200") == 1U);
    BOOST_TEST(fixture.count("HTTP/1.1 408") == 1U);
}

// Guards against a request that is dropped without a word since its body arrives slowly, after
// those before it were answered (LOST).
BOOST_AUTO_TEST_CASE(a_body_that_arrives_slowly_is_not_taken_for_an_idle_connection) {
    http_server_limits limits = short_limits();
    limits.header_timeout = seconds(5);
    one_caller_server fixture(limits);
    fixture.caller.send(get_request("/1") +
                        "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
    fixture.wait_for_requests(1);
    fixture.respond(0, "one");
    fixture.run_for(limits.idle_timeout * 3);
    fixture.caller.send("dy");
    fixture.wait_for_requests(2);
    fixture.respond(1, "two");
    fixture.run_until([&] {
        fixture.received += fixture.caller.read_available();
        return fixture.received.ends_with("two");
    });
}

// Guards against connections that the kernel has accepted and a planned stop resets, with the
// requests that they carry (LOST).
BOOST_AUTO_TEST_CASE(connections_that_wait_to_be_accepted_are_served_when_the_server_stops) {
    one_caller_server fixture;
    raw_socket second;
    second.connect(one_caller_server_address);
    second.send(get_request("/1"));
    fixture.server.stop_listening();
    fixture.wait_for_requests(1);
    fixture.respond(0, "one");
    std::string received;
    fixture.run_until([&] {
        received += second.read_available();
        return received.ends_with("one");
    });
}

// Guards against ready answers that are dropped when the caller ends its sending side only (LOST).
BOOST_AUTO_TEST_CASE(a_caller_that_has_only_stopped_sending_gets_its_ready_answers) {
    one_caller_server fixture({}, small_receive_buffer);
    fixture.caller.send(get_request("/1"));
    fixture.wait_for_requests(1);
    fixture.respond(0, std::string(huge_answer_bytes, 'x'));
    fixture.run_for(milliseconds(20));
    fixture.caller.shutdown_sending();
    fixture.run_for(milliseconds(20));
    fixture.read_to_end();
    BOOST_TEST(fixture.received.size() > huge_answer_bytes);
}

// Guards against requests that run, and whose answers a planned stop then cannot deliver in time,
// for a caller that sends on without taking its answers (LOST). It also bounds the memory of such a
// caller.
BOOST_AUTO_TEST_CASE(further_requests_wait_until_the_caller_takes_its_answers) {
    constexpr std::size_t requests_sent = 30;
    constexpr std::size_t answer_bytes = std::size_t{1024} * 1024;
    constexpr int receive_buffer = 64 * 1024;
    one_caller_server fixture({}, receive_buffer);
    std::string requests;
    for (std::size_t i = 0; i < requests_sent; ++i) {
        requests += get_request("/1");
    }
    fixture.caller.send(requests);
    std::size_t answered = 0;
    const timer responder = fixture.events.every(milliseconds(1), [&] {
        while (answered < fixture.requests.size()) {
            fixture.respond(answered++, std::string(answer_bytes, 'x'));
        }
    });
    const std::size_t most_concurrent = http_server_limits{}.max_concurrent_requests;
    fixture.run_until([&] { return answered >= most_concurrent; });
    fixture.run_for(milliseconds(100));
    BOOST_TEST(answered == most_concurrent);
    fixture.run_until([&] {
        fixture.received += fixture.caller.read_available();
        return fixture.received.size() > requests_sent * answer_bytes;
    });
    BOOST_TEST(fixture.count("HTTP/1.1 200") == requests_sent);
}

// Guards against connections that are closed by the idle timeout of an earlier policy while callers
// count on the longer one of the present policy (LOST).
BOOST_AUTO_TEST_CASE(a_longer_idle_timeout_holds_for_open_connections) {
    http_server_limits limits = short_limits();
    one_caller_server fixture(limits);
    limits.idle_timeout = seconds(2);
    fixture.server.set_limits(limits);
    fixture.run_for(milliseconds(300));
    BOOST_TEST(!fixture.caller.is_closed_by_peer());
}

BOOST_AUTO_TEST_SUITE_END()
