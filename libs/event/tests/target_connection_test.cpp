#include <boost/test/unit_test.hpp>

#include <optional>

#include "event/http_client.h"
#include "event/http_pool.h"
#include "raw_target.h"
#include "run_loop.h"

using namespace knapweedknot;

// The ends of connections to targets; docs/design/target-connections.md lists them all.

namespace {

const endpoint target_address{"127.0.0.1", 18940};
constexpr duration long_timeout = seconds(5);
constexpr duration soon = milliseconds(1000);
const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string whole_answer = ok_head + "Content-Length: 2\r\n\r\nok";

http_request make_post(std::size_t body_bytes = 4) {
    http_request request;
    request.method = "POST";
    request.uri = "/x";
    request.body = make_body(std::string(body_bytes, 'b'));
    return request;
}

// More than the buffers of two sockets hold.
constexpr std::size_t long_body = std::size_t{24} * 1024 * 1024;

/// A target of raw bytes and a pool of connections to it.
struct target_fixture {
    loop events;
    harness::raw_target target{target_address};
    http_client_limits limits;
    std::optional<http_pool> pool;
    std::optional<http_outcome> outcome;

    target_fixture() {
        this->limits.accept_close_delimited = true;
        this->limits.echoed_header = "X-Request-Id";
        this->pool.emplace(this->events, target_address, this->limits);
    }
    void send(const http_request& request, duration timeout = long_timeout) {
        this->outcome.reset();
        this->pool->send(request, timeout,
                         [this](auto result) { this->outcome = std::move(result); });
    }
    template <typename Condition>
    [[nodiscard]] bool run_until(Condition condition, duration limit = long_timeout) {
        return harness::run_until(this->events, condition, limit);
    }
    void accept() {
        const int wanted = this->target.accepted_connections + 1;
        BOOST_REQUIRE(this->run_until(
            [&] { return this->target.accept() || this->target.accepted_connections == wanted; }));
    }
    /// Runs until the target has bytes of the request; returns them.
    std::string read_request() {
        std::string received;
        BOOST_REQUIRE(this->run_until([&] {
            received += this->target.connection.read_available();
            return !received.empty();
        }));
        return received;
    }
    void await_outcome(duration limit = soon) {
        BOOST_REQUIRE(this->run_until([this] { return this->outcome.has_value(); }, limit));
    }
    /// Leaves a kept connection that has carried one request.
    void make_kept_connection(const std::string& answer = whole_answer) {
        this->send(make_post());
        this->accept();
        this->read_request();
        this->target.connection.send(answer);
        this->await_outcome();
        BOOST_REQUIRE(this->outcome->has_value());
    }
    /// Expects that the next request is answered on a connection of its own.
    void expect_new_connection() {
        const int before = this->target.accepted_connections;
        this->send(make_post());
        this->accept();
        this->read_request();
        this->target.connection.send(whole_answer);
        this->await_outcome();
        BOOST_TEST(this->outcome->has_value());
        BOOST_TEST(this->target.accepted_connections == before + 1);
    }
    void expect_failure(error_kind kind, send_progress progress) {
        this->await_outcome();
        BOOST_REQUIRE(!this->outcome->has_value());
        BOOST_TEST((this->outcome->error().problem.kind == kind),
                   this->outcome->error().problem.detail);
        BOOST_TEST((this->outcome->error().progress == progress));
    }
    void expect_answer(std::string_view text) {
        this->await_outcome();
        BOOST_REQUIRE(this->outcome->has_value());
        BOOST_TEST(body_text((*this->outcome)->body.get()) == text);
    }
};

} // namespace

// Guards against LOST: an answer to an earlier request that ends with its connection left the
// request waiting for its deadline, though no answer could come any more.
BOOST_FIXTURE_TEST_CASE(a_late_answer_that_ends_with_its_connection_ends_the_request,
                        target_fixture) {
    http_request request = make_post();
    request.headers.push_back({"X-Request-Id", "own"});
    this->send(request);
    this->accept();
    this->read_request();
    this->target.connection.send(ok_head + "X-Request-Id: other\r\n\r\nlate");
    this->target.connection.close();
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent);
}

// Guards against LOST: a target may answer before it has read the whole body and close. Its answer
// stood unread in the kernel when writing the rest failed, and was dropped.
BOOST_FIXTURE_TEST_CASE(an_early_answer_is_read_though_writing_the_request_failed, target_fixture) {
    this->send(make_post(long_body));
    this->accept();
    this->read_request();
    harness::run_for(this->events, milliseconds(50));
    this->target.connection.send(whole_answer);
    // With unread bytes of the request in its kernel, this resets the connection.
    this->target.connection.close();
    this->expect_answer("ok");
}

// Guards against MIXED: the failed write takes the socket's error away, so that reading ends as if
// the target had closed the connection properly.
BOOST_FIXTURE_TEST_CASE(an_early_answer_without_a_length_is_not_complete_after_a_reset,
                        target_fixture) {
    this->send(make_post(long_body));
    this->accept();
    this->read_request();
    harness::run_for(this->events, milliseconds(50));
    this->target.connection.send(ok_head + "\r\npart");
    this->target.connection.close();
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent);
}

// Guards against LOST and a needless 502: a target closed the kept connection before the request
// was written, and that stood unread in the kernel.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_whose_close_is_unread_carries_no_request,
                        target_fixture) {
    this->make_kept_connection();
    this->target.connection.close();
    this->expect_new_connection();
}

// The same, where the target resets the connection.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_whose_reset_is_unread_carries_no_request,
                        target_fixture) {
    this->make_kept_connection();
    this->target.reset();
    this->expect_new_connection();
}

// Guards against MIXED: bytes that came before the request are no answer to it.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_with_unread_bytes_carries_no_request, target_fixture) {
    this->make_kept_connection();
    this->target.connection.send(whole_answer);
    this->expect_new_connection();
}

// Guards against a request that crosses the target's close needlessly: between the check of a kept
// connection and the write the loop handled other events.
BOOST_FIXTURE_TEST_CASE(a_request_on_a_kept_connection_is_written_at_once, target_fixture) {
    this->make_kept_connection();
    this->send(make_post());
    BOOST_TEST(this->target.connection.read_available().starts_with("POST /x "));
    this->target.connection.send(whole_answer);
    this->expect_answer("ok");
    BOOST_TEST(this->target.accepted_connections == 1);
}

// Guards against a needless 502: the target ended a new connection before the request was written.
BOOST_FIXTURE_TEST_CASE(a_new_connection_that_the_target_has_closed_carries_no_request,
                        target_fixture) {
    this->send(make_post());
    BOOST_REQUIRE(this->target.accept());
    this->target.connection.close();
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent);
}

// Guards against MIXED: what a target sends before it has a byte of the request is no answer to it.
BOOST_FIXTURE_TEST_CASE(a_new_connection_with_unread_bytes_carries_no_request, target_fixture) {
    this->send(make_post());
    BOOST_REQUIRE(this->target.accept());
    this->target.connection.send(whole_answer);
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent);
    BOOST_TEST(this->target.connection.read_available().empty());
}
