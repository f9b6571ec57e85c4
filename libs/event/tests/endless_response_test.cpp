#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "event/http_client.h"

using namespace knapweedknot;

namespace {

const endpoint server_address{"127.0.0.1", 18972};
constexpr std::size_t kibibyte = 1024;
// The server gives up after this, so that a client without a limit does not fill the memory.
constexpr std::size_t most_sent = 48 * kibibyte * kibibyte;
// Bytes that may lie in the socket buffers of both sides when the client closes.
constexpr std::size_t socket_buffers = 8 * kibibyte * kibibyte;

struct endless_exchange {
    std::optional<http_outcome> outcome;
    /// Bytes that the server could send until the client closed the connection.
    std::size_t sent{0};
    duration passed{duration::zero()};
};

/// Sends a request to a server that responds with \p start and then repeats \p piece until the
/// client closes the connection.
endless_exchange exchange_with_endless(const std::string& start, const std::string& piece,
                                       const http_client_limits& limits) {
    http_request request;
    request.headers = {{"X-Request-Id", "own"}};
    loop events;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(server_address.port);
    inet_pton(AF_INET, server_address.ip.c_str(), &name.sin_addr);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
    listen(listener, 1);
    endless_exchange exchange;
    const time_point began = boot_clock::now();
    constexpr duration request_timeout = seconds(4);
    send_once(events, server_address, request, request_timeout, limits, [&](http_outcome result) {
        exchange.outcome = std::move(result);
        exchange.passed = boot_clock::now() - began;
        events.stop();
    });
    int accepted = -1;
    std::string unsent = start;
    const timer step = events.every(milliseconds(1), [&] {
        if (accepted < 0) {
            accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            return;
        }
        while (exchange.sent < most_sent) {
            while (unsent.size() < 64 * kibibyte) {
                unsent += piece;
            }
            const ssize_t written = send(accepted, unsent.data(), unsent.size(), MSG_NOSIGNAL);
            if (written <= 0) {
                return;
            }
            exchange.sent += static_cast<std::size_t>(written);
            unsent.erase(0, static_cast<std::size_t>(written));
        }
    });
    events.run();
    close(accepted);
    close(listener);
    return exchange;
}

/// Expects a failure after about \p bytes, long before the timeout of the request.
void expect_failure_within(const endless_exchange& exchange, std::size_t bytes) {
    BOOST_REQUIRE(exchange.outcome.has_value());
    BOOST_TEST(!exchange.outcome->has_value());
    BOOST_TEST(exchange.sent < bytes + socket_buffers);
    BOOST_TEST((exchange.passed < seconds(2)));
}

http_client_limits small_limits() {
    http_client_limits limits;
    limits.max_header_bytes = 16 * kibibyte;
    limits.max_body_bytes = 1024 * kibibyte;
    limits.accept_close_delimited = true;
    return limits;
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// The tests below guard against a target that sends without end until its caller closes the
// connection: the instance must do that once a limit is passed, and must not store the rest.

BOOST_AUTO_TEST_CASE(bytes_without_end_that_are_no_response_end_the_exchange) {
    expect_failure_within(exchange_with_endless("", "no response at all", small_limits()), 0);
    expect_failure_within(exchange_with_endless("", std::string(100, '\0'), small_limits()), 0);
    expect_failure_within(exchange_with_endless("", "\r\n", small_limits()), 0);
}

BOOST_AUTO_TEST_CASE(a_head_without_end_ends_the_exchange) {
    const http_client_limits limits = small_limits();
    expect_failure_within(exchange_with_endless("HTTP/1.1 200 ", "O", limits),
                          limits.max_header_bytes);
    expect_failure_within(exchange_with_endless(ok, "Name: value\r\n", limits),
                          limits.max_header_bytes);
    expect_failure_within(exchange_with_endless(ok + "Name: ", "v", limits),
                          limits.max_header_bytes);
}

BOOST_AUTO_TEST_CASE(a_body_without_end_ends_the_exchange) {
    const http_client_limits limits = small_limits();
    expect_failure_within(exchange_with_endless(ok + "\r\n", "body", limits),
                          limits.max_body_bytes);
    expect_failure_within(exchange_with_endless(chunked, "4\r\nbody\r\n", limits),
                          limits.max_body_bytes);
}

BOOST_AUTO_TEST_CASE(a_chunk_header_or_trailer_without_end_ends_the_exchange) {
    const http_client_limits limits = small_limits();
    expect_failure_within(exchange_with_endless(chunked, "0", limits), limits.max_header_bytes);
    expect_failure_within(exchange_with_endless(chunked + "4;x=", "y", limits),
                          limits.max_header_bytes);
    expect_failure_within(exchange_with_endless(chunked + "0\r\n", "Name: value\r\n", limits),
                          limits.max_header_bytes);
    expect_failure_within(exchange_with_endless(chunked + "0\r\nName: ", "v", limits),
                          limits.max_header_bytes);
}

BOOST_AUTO_TEST_CASE(interim_responses_without_end_end_the_exchange) {
    const http_client_limits limits = small_limits();
    expect_failure_within(exchange_with_endless("", "HTTP/1.1 100 Continue\r\n\r\n", limits),
                          limits.max_header_bytes);
}

BOOST_AUTO_TEST_CASE(responses_to_other_requests_without_end_end_the_exchange) {
    http_client_limits limits = small_limits();
    limits.echoed_header = "X-Request-Id";
    expect_failure_within(
        exchange_with_endless("", ok + "X-Request-Id: other\r\nContent-Length: 0\r\n\r\n", limits),
        limits.max_body_bytes);
}
