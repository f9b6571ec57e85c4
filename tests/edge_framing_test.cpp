#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

#include "edge_fixture.h"
#include "raw_socket.h"

using namespace knapweedknot;
using namespace knapweedknot::harness;

namespace {

/// A request that must not run when it stands behind or inside a faulty one.
const std::string hidden = "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
                           "X-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n";

std::string outer(const std::string& fields, const std::string& body) {
    return "POST /once/outer HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
           "X-Request-Id: outer\r\n" +
           fields + "\r\n" + body;
}

std::size_t count(std::string_view text, std::string_view part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

/// Sends \p bytes on a connection of its own and returns what was received until its end.
std::string exchange(edge_fleet& fleet, const std::string& bytes) {
    raw_socket caller;
    caller.connect(fleet.callers_address(0));
    caller.send(bytes);
    std::string received;
    BOOST_TEST(fleet.run_until(
        [&] {
            received += caller.read_available();
            return caller.is_closed_by_peer();
        },
        seconds(3)));
    return received;
}

void expect_rejected(edge_fleet& fleet, const std::string& bytes, const std::string& status) {
    const std::string received = exchange(fleet, bytes);
    BOOST_TEST(received.starts_with("HTTP/1.1 " + status + ' '), bytes << "\ngot: " << received);
    BOOST_TEST(count(received, "HTTP/1.1 ") == 1U, bytes << "\ngot: " << received);
    BOOST_TEST(received.find("Connection: close\r\n") != std::string::npos, bytes);
    BOOST_TEST(fleet.total_requests("/once/hidden") == 0, bytes);
    BOOST_TEST(fleet.total_requests("/once/outer") == 0, bytes);
}

} // namespace

// Guards against a body without an end that two readers agree on, which ran as a request that no
// caller sent (UNASKED), and against other callers losing their connections by it.
BOOST_AUTO_TEST_CASE(nothing_behind_a_request_with_two_readings_runs_at_a_target) {
    edge_fleet fleet(86);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    target.request_handler = [&target](const auto& request) {
        if (request->uri() == "/safe/slow") {
            target.unanswered.push_back(request);
        } else {
            target.answer(*request);
        }
    };
    raw_socket other;
    other.connect(fleet.callers_address(0));
    other.send("GET /safe/slow HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
               "X-Request-Id: slow\r\n\r\n");
    BOOST_REQUIRE(fleet.run_until([&] { return !target.unanswered.empty(); }));

    for (const char* coding : {"gzip", "identity", "chunked, identity", "chunked, chunked"}) {
        const std::string fields = "Transfer-Encoding: " + std::string(coding) + "\r\n";
        expect_rejected(fleet, outer(fields, hidden), "400");
        expect_rejected(fleet, outer(fields, "0\r\n\r\n" + hidden), "400");
    }
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    expect_rejected(fleet, outer("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n" + hidden),
                    "501");
    expect_rejected(fleet, outer(chunked + "Content-Length: 5\r\n", "0\r\n\r\n" + hidden), "400");
    expect_rejected(fleet, outer("Content-Length: 0\r\nContent-Length: 5\r\n", hidden), "400");
    expect_rejected(fleet, outer(chunked, "0x\r\n\r\n" + hidden), "400");
    expect_rejected(fleet, outer(chunked, "0;a=\"\n\"\r\n\r\n" + hidden), "400");
    expect_rejected(fleet, outer("Host: h.example\r\n", hidden), "400");
    expect_rejected(fleet, outer("X: a\r\n Content-Length: 5\r\n", hidden), "400");

    target.answer(*target.unanswered.front(), 200, "slow");
    std::string received;
    BOOST_TEST(fleet.run_until([&] {
        received += other.read_available();
        return received.ends_with("slow");
    }));
    BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
}

// Guards against trailers that reach a target as headers, unseen by who checked the head.
BOOST_AUTO_TEST_CASE(a_target_gets_no_trailers_and_a_length_instead_of_chunks) {
    edge_fleet fleet(87);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    raw_socket caller;
    caller.connect(fleet.callers_address(0));
    caller.send(outer("Transfer-Encoding: chunked\r\nConnection: X-One\r\n"
                      "Connection: close,\tX-Two\r\nX-One: 1\r\nX-Two: 2\r\n",
                      "5\r\nhello\r\n0\r\nX-Trailer: t\r\nX-Tenant: other\r\n\r\n"));
    BOOST_REQUIRE(fleet.run_until([&] { return target.last_request != nullptr; }));
    const incoming_request& seen = *target.last_request;
    BOOST_TEST(seen.header("X-Trailer").empty());
    BOOST_TEST(seen.header("X-Tenant") == "shop");
    BOOST_TEST(seen.header("Transfer-Encoding").empty());
    BOOST_TEST(seen.header("Content-Length") == "5");
    BOOST_TEST(body_text(seen.body()) == "hello");
    BOOST_TEST(seen.header("X-One").empty());
    BOOST_TEST(seen.header("X-Two").empty());
}
