#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include <sys/resource.h>

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
    std::shared_ptr<target_connection_end_counts> ends{
        std::make_shared<target_connection_end_counts>()};
    std::optional<http_pool> pool;
    std::optional<http_outcome> outcome;

    target_fixture() {
        this->limits.accept_close_delimited = true;
        this->limits.echoed_header = "X-Request-Id";
        this->limits.end_counts = this->ends;
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
    /// Expects that one connection has ended, for \p end.
    void expect_end(target_connection_end end) const {
        for (const target_connection_end other : target_connection_ends) {
            BOOST_TEST(this->ends->of(other) == (other == end ? 1U : 0U), to_string(other));
        }
    }
    /// Expects that the request fails with \p kind as its connection has ended for \p end.
    void expect_failure(error_kind kind, send_progress progress, target_connection_end end) {
        this->await_outcome();
        BOOST_REQUIRE(!this->outcome->has_value());
        BOOST_TEST((this->outcome->error().problem.kind == kind),
                   this->outcome->error().problem.detail);
        BOOST_TEST((this->outcome->error().progress == progress));
        BOOST_TEST((this->outcome->error().end == end));
        BOOST_TEST(this->outcome->error().problem.detail.starts_with(to_string(end)));
        this->expect_end(end);
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
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::closed_without_answer);
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
    this->expect_end(target_connection_end::request_unfinished);
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
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::reset_within_answer);
}

// Guards against LOST and a needless 502: a target closed the kept connection before the request
// was written, and that stood unread in the kernel.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_whose_close_is_unread_carries_no_request,
                        target_fixture) {
    this->make_kept_connection();
    this->target.connection.close();
    this->expect_new_connection();
    this->expect_end(target_connection_end::idle_closed);
}

// The same, where the target resets the connection.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_whose_reset_is_unread_carries_no_request,
                        target_fixture) {
    this->make_kept_connection();
    this->target.reset();
    this->expect_new_connection();
    this->expect_end(target_connection_end::idle_closed);
}

// Guards against MIXED: bytes that came before the request are no answer to it.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_with_unread_bytes_carries_no_request, target_fixture) {
    this->make_kept_connection();
    this->target.connection.send(whole_answer);
    this->expect_new_connection();
    this->expect_end(target_connection_end::idle_closed);
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
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent,
                         target_connection_end::ended_before_request);
}

// Guards against MIXED: what a target sends before it has a byte of the request is no answer to it.
BOOST_FIXTURE_TEST_CASE(a_new_connection_with_unread_bytes_carries_no_request, target_fixture) {
    this->send(make_post());
    BOOST_REQUIRE(this->target.accept());
    this->target.connection.send(whole_answer);
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent,
                         target_connection_end::ended_before_request);
    BOOST_TEST(this->target.connection.read_available().empty());
}

// The tests below hold what the table says of the other ends.

BOOST_FIXTURE_TEST_CASE(a_connection_that_is_reset_when_accepted_carries_no_request,
                        target_fixture) {
    this->send(make_post());
    BOOST_REQUIRE(this->target.accept());
    this->target.reset();
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent,
                         target_connection_end::connect_failed);
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_cannot_be_started_carries_no_request, target_fixture) {
    rlimit descriptors{};
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &descriptors) == 0);
    const rlimit none{0, descriptors.rlim_max};
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    this->send(make_post());
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &descriptors) == 0);
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent,
                         target_connection_end::connect_failed);
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_is_not_established_in_time_carries_no_request,
                        target_fixture) {
    // A listener whose queue is full answers no further caller.
    const endpoint busy_address{target_address.ip,
                                static_cast<std::uint16_t>(target_address.port + 1)};
    const harness::raw_target busy(busy_address, 0);
    harness::raw_socket queued;
    queued.connect(busy_address);
    this->limits.connect_timeout = milliseconds(50);
    http_connection connection(this->events, busy_address, this->limits);
    connection.send(make_post(), long_timeout,
                    [this](auto result) { this->outcome = std::move(result); });
    this->expect_failure(error_kind::connect_failed, send_progress::not_sent,
                         target_connection_end::connect_timed_out);
}

BOOST_FIXTURE_TEST_CASE(a_kept_connection_that_its_target_closes_is_dropped, target_fixture) {
    this->make_kept_connection();
    this->target.connection.close();
    harness::run_for(this->events, milliseconds(50));
    this->expect_end(target_connection_end::idle_closed);
    this->expect_new_connection();
}

BOOST_FIXTURE_TEST_CASE(a_kept_connection_is_dropped_after_the_pools_idle_limit, target_fixture) {
    this->pool.emplace(this->events, target_address, this->limits, milliseconds(50));
    this->make_kept_connection();
    harness::run_for(this->events, milliseconds(100));
    this->expect_new_connection();
    this->expect_end(target_connection_end::idle_dropped);
}

BOOST_FIXTURE_TEST_CASE(a_kept_connection_is_dropped_before_the_timeout_that_its_target_announced,
                        target_fixture) {
    this->make_kept_connection(ok_head + "Keep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n");
    this->send(make_post());
    this->read_request();
    this->target.connection.send(ok_head + "Keep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n");
    this->await_outcome();
    BOOST_TEST(this->target.accepted_connections == 1);
    // Half a second before the announced timeout it isn't used any more.
    harness::run_for(this->events, milliseconds(600));
    this->expect_new_connection();
    this->expect_end(target_connection_end::idle_dropped);
}

BOOST_FIXTURE_TEST_CASE(a_close_without_an_answer_may_have_run_the_request, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.close();
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::closed_without_answer);
}

BOOST_FIXTURE_TEST_CASE(a_reset_without_an_answer_may_have_run_the_request, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.reset();
    this->expect_failure(error_kind::target_failed, send_progress::may_be_sent,
                         target_connection_end::reset_without_answer);
}

// A close that crosses the request on its way can't be told from one after it.
BOOST_FIXTURE_TEST_CASE(a_close_that_crosses_a_request_on_a_kept_connection_may_have_run_it,
                        target_fixture) {
    this->make_kept_connection();
    this->send(make_post());
    this->target.connection.close();
    this->expect_failure(error_kind::target_failed, send_progress::may_be_sent,
                         target_connection_end::reset_without_answer);
}

BOOST_FIXTURE_TEST_CASE(a_reset_while_the_request_is_written_may_have_run_it, target_fixture) {
    this->send(make_post(long_body));
    this->accept();
    this->read_request();
    this->target.reset();
    this->expect_failure(error_kind::target_failed, send_progress::may_be_sent,
                         target_connection_end::reset_without_answer);
}

BOOST_FIXTURE_TEST_CASE(a_close_while_the_request_is_written_may_have_run_it, target_fixture) {
    this->send(make_post(long_body));
    this->accept();
    this->read_request();
    BOOST_REQUIRE(shutdown(this->target.connection.fd, SHUT_WR) == 0);
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::closed_without_answer);
}

BOOST_FIXTURE_TEST_CASE(a_close_after_an_interim_answer_may_have_run_the_request, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send("HTTP/1.1 100 Continue\r\n\r\n");
    this->target.connection.close();
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::closed_without_answer);
}

BOOST_FIXTURE_TEST_CASE(a_close_within_the_answer_is_a_failure, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send(ok_head + "Content-Length: 9\r\n\r\npart");
    this->target.connection.close();
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::closed_within_answer);
}

// Guards against MIXED: an answer without a length is complete at a close, not at a reset.
BOOST_FIXTURE_TEST_CASE(a_reset_within_an_answer_without_a_length_is_a_failure, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send(ok_head + "\r\npart");
    harness::run_for(this->events, milliseconds(50));
    this->target.reset();
    this->expect_failure(error_kind::answer_truncated, send_progress::may_be_sent,
                         target_connection_end::reset_within_answer);
}

BOOST_FIXTURE_TEST_CASE(a_close_completes_an_answer_without_a_length, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send(ok_head + "\r\nwhole");
    this->target.connection.close();
    this->expect_answer("whole");
    this->expect_end(target_connection_end::close_delimited);
}

// Guards against LOST: what the kernel received before a reset is still read.
BOOST_FIXTURE_TEST_CASE(a_complete_answer_counts_though_a_reset_follows_it, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send(whole_answer);
    this->target.reset();
    this->expect_answer("ok");
    harness::run_for(this->events, milliseconds(50));
    this->expect_end(target_connection_end::idle_closed);
}

// Guards against UNASKED: a target that has answered reads the rest of the body later; it must not
// get the next request there.
BOOST_FIXTURE_TEST_CASE(an_early_answer_ends_the_connection_whose_request_is_not_written,
                        target_fixture) {
    this->send(make_post(long_body));
    this->accept();
    this->read_request();
    this->target.connection.send(whole_answer);
    this->expect_answer("ok");
    this->expect_end(target_connection_end::request_unfinished);
    std::size_t later = 0;
    BOOST_REQUIRE(this->run_until([&] {
        later += this->target.connection.read_available().size();
        return this->target.connection.is_closed_by_peer();
    }));
    BOOST_TEST(later < long_body);
}

// Guards against LOST: the target ends its sending side with the answer and reads no further.
BOOST_FIXTURE_TEST_CASE(an_early_answer_followed_by_a_close_is_passed_on, target_fixture) {
    this->send(make_post(long_body));
    this->accept();
    this->read_request();
    this->target.connection.send(whole_answer);
    BOOST_REQUIRE(shutdown(this->target.connection.fd, SHUT_WR) == 0);
    this->expect_answer("ok");
    this->expect_end(target_connection_end::request_unfinished);
}

BOOST_FIXTURE_TEST_CASE(bytes_behind_an_answer_end_the_connection, target_fixture) {
    this->make_kept_connection(whole_answer + "more");
    this->expect_end(target_connection_end::surplus_bytes);
    this->expect_new_connection();
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_before_the_own_one_ends_the_connection, target_fixture) {
    this->make_kept_connection();
    http_request request = make_post();
    request.headers.push_back({"X-Request-Id", "own"});
    this->send(request);
    this->read_request();
    this->target.connection.send(ok_head + "X-Request-Id: old\r\nContent-Length: 3\r\n\r\nold" +
                                 ok_head + "X-Request-Id: own\r\nContent-Length: 3\r\n\r\nown");
    this->expect_answer("own");
    this->expect_end(target_connection_end::late_answer);
    this->expect_new_connection();
}

BOOST_FIXTURE_TEST_CASE(an_announced_close_ends_the_connection, target_fixture) {
    this->make_kept_connection(ok_head + "Connection: close\r\nContent-Length: 0\r\n\r\n");
    this->expect_end(target_connection_end::close_announced);
    this->expect_new_connection();
}

BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_answer_end_the_connection, target_fixture) {
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send("no answer\r\n\r\n");
    this->expect_failure(error_kind::target_failed, send_progress::may_be_sent,
                         target_connection_end::malformed_answer);
}

BOOST_FIXTURE_TEST_CASE(an_answer_over_the_limit_ends_the_connection, target_fixture) {
    this->limits.max_body_bytes = 1;
    this->pool.emplace(this->events, target_address, this->limits);
    this->send(make_post());
    this->accept();
    this->read_request();
    this->target.connection.send(ok_head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    this->expect_failure(error_kind::answer_too_large, send_progress::may_be_sent,
                         target_connection_end::answer_too_large);
}

BOOST_FIXTURE_TEST_CASE(the_deadline_of_a_request_ends_its_connection, target_fixture) {
    this->send(make_post(), milliseconds(50));
    this->accept();
    this->expect_failure(error_kind::deadline_exceeded, send_progress::may_be_sent,
                         target_connection_end::timed_out);
    BOOST_TEST(this->run_until([this] {
        static_cast<void>(this->target.connection.read_available());
        return this->target.connection.is_closed_by_peer();
    }));
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_request_ends_its_connection_and_has_no_outcome,
                        target_fixture) {
    http_connection connection(this->events, target_address, this->limits);
    connection.send(make_post(), long_timeout,
                    [this](auto result) { this->outcome = std::move(result); });
    this->accept();
    this->read_request();
    connection.cancel();
    BOOST_TEST(this->run_until([this] { return this->target.connection.is_closed_by_peer(); }));
    BOOST_TEST(!this->outcome.has_value());
    this->expect_end(target_connection_end::cancelled);
}

// Guards against series that change their name: dashboards and alerts go by them.
BOOST_AUTO_TEST_CASE(each_end_of_a_target_connection_has_a_name_of_its_own) {
    std::set<std::string_view> names;
    for (const target_connection_end end : target_connection_ends) {
        names.insert(to_string(end));
    }
    BOOST_TEST(names.size() == target_connection_ends.size());
    BOOST_TEST(!names.contains(""));
    BOOST_TEST(to_string(target_connection_ends.back()) == "late_answer");
}

// Guards against a new connection for each request: an announced timeout beyond the range of a
// duration counted as one that has passed. Names of parameters are case-insensitive.
BOOST_FIXTURE_TEST_CASE(any_announced_idle_timeout_is_understood, target_fixture) {
    for (const char* announced :
         {"timeout=9223372036854775807", "timeout=99999999999999999999", "max=5, TimeOut=100"}) {
        this->pool.emplace(this->events, target_address, this->limits);
        this->make_kept_connection(ok_head + "Keep-Alive: " + announced +
                                   "\r\nContent-Length: 0\r\n\r\n");
        const int before = this->target.accepted_connections;
        this->send(make_post());
        this->read_request();
        this->target.connection.send(whole_answer);
        this->expect_answer("ok");
        BOOST_TEST(this->target.accepted_connections == before, announced);
    }
    this->pool.emplace(this->events, target_address, this->limits);
    this->make_kept_connection(ok_head + "Keep-Alive: Timeout=0\r\nContent-Length: 0\r\n\r\n");
    this->expect_new_connection();
}
