#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>

#include "event/http_server.h"
#include "raw_socket.h"
#include "run_loop.h"

using namespace knapweedknot;
using harness::raw_socket;

/// \file
/// What each connection gets when its server starts to close connections for a planned stop: one
/// test for each state in which a connection can be at that moment.

namespace {

const endpoint server_address{"127.0.0.1", 18978};
constexpr duration wait_timeout = seconds(5);

std::string get_request(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// A server whose requests the test answers, and one connection to it. GET requests of the
/// connection run concurrently.
struct draining_server {
    loop events;
    std::deque<std::shared_ptr<incoming_request>> requests;
    http_server server{events, http_server_limits{},
                       [this](auto request) { this->requests.push_back(std::move(request)); }};
    raw_socket caller;
    std::string received;

    draining_server() {
        BOOST_REQUIRE(this->server.listen(server_address).has_value());
        this->server.may_run_concurrently = [](const http_request& request) {
            return request.method == "GET";
        };
        this->caller.connect(server_address);
        this->run_until([this] { return this->server.open_connections() == 1; });
    }
    template <typename Condition>
    void run_until(Condition condition) {
        BOOST_REQUIRE(harness::run_until(this->events, condition, wait_timeout));
    }
    void run_for(duration time) { harness::run_for(this->events, time); }
    void wait_for_requests(std::size_t count) {
        this->run_until([&] { return this->requests.size() == count; });
    }
    void respond(std::size_t index, std::string_view text) {
        http_response response;
        response.status = 200;
        response.body = make_body(text);
        this->requests.at(index)->respond(std::move(response));
    }
    /// Reads until the server has closed the connection.
    void read_to_end() {
        this->run_until([this] {
            this->received += this->caller.read_available();
            return this->caller.is_closed_by_peer();
        });
    }
    [[nodiscard]] std::size_t count(std::string_view text) const {
        std::size_t found = 0;
        for (auto at = this->received.find(text); at != std::string::npos;
             at = this->received.find(text, at + text.size())) {
            ++found;
        }
        return found;
    }
};

} // namespace

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
