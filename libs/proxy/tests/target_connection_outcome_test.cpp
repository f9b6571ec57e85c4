#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "platform/edge_protocol.h"
#include "proxy/balancer.h"
#include "raw_target.h"
#include "store_fixture.h"

using namespace knapweedknot;

/// \file
/// What becomes of a request that is not idempotent when the connection to its target ends.

namespace {

const endpoint target_address{"127.0.0.1", 18946};
const endpoint own_store_address{"127.0.0.1", 18947};
constexpr duration request_time = seconds(2);

/// A balancer with one target of raw bytes.
struct balancer_fixture : store_fixture {
    harness::raw_target target{target_address};
    mesh network{events, peer_info{}, mesh_handlers{}};
    report_exchange reports{events, network, report_options{}};
    target_directory directory{events, client, std::string(platform::targets_prefix),
                               &platform::decode_target, target_directory_options{}};
    retry_limiter retries{retry_policy{}};
    header_names headers{platform::make_header_names()};
    balancer_options options;
    std::optional<balancer> balanced;
    std::optional<proxy_outcome> outcome;

    balancer_fixture() : store_fixture(own_store_address) {
        this->write("servers/i-1", target_text(to_string(target_address), "ready"));
        this->directory.start();
        BOOST_REQUIRE(this->run_until(
            [this] { return !this->directory.targets_of(service_id{"s"}).empty(); }));
        this->options.headers = this->headers;
        this->options.limits.end_counts = std::make_shared<target_connection_end_counts>();
        this->make_balancer();
    }
    void make_balancer() {
        this->balanced.emplace(
            service_id{"s"},
            balancer_dependencies{this->events, this->directory, this->reports, this->retries},
            this->options);
    }
    [[nodiscard]] std::uint64_t ended(target_connection_end end) const {
        return this->options.limits.end_counts->of(end);
    }
    void start() {
        auto route = std::make_shared<traffic_route>();
        route->id.value = "r";
        route->max_attempts = 3;
        proxied_request request;
        request.message.method = "POST";
        request.message.uri = "/x";
        request.id = "r1";
        request.route = route;
        request.arrived_at = boot_clock::now();
        request.deadline = request.arrived_at + request_time;
        this->outcome.reset();
        this->balanced->start(std::move(request),
                              [this](auto result) { this->outcome = std::move(result); });
    }
    /// Runs until the target has bytes of a request on the connection that it accepted last.
    void accept_and_read() {
        bool is_read = false;
        BOOST_REQUIRE(this->run_until([&] {
            static_cast<void>(this->target.accept());
            is_read = is_read || !this->target.connection.read_available().empty();
            return is_read;
        }));
    }
    void answer() const {
        this->target.connection.send("HTTP/1.1 200 OK\r\n" + this->headers.signature +
                                     ": signed\r\nContent-Length: 0\r\n\r\n");
    }
    void await_outcome() {
        BOOST_REQUIRE(this->run_until([this] { return this->outcome.has_value(); }));
    }
    /// Lets the target serve one request, and keeps the connection.
    void serve_one() {
        this->start();
        this->accept_and_read();
        this->answer();
        this->await_outcome();
        BOOST_REQUIRE(this->outcome->has_value());
    }
};

} // namespace

// Guards against REFUSED and TWICE: the target may have run it, so it is neither called not run nor
// sent again.
BOOST_FIXTURE_TEST_CASE(a_request_whose_target_closes_without_an_answer_may_have_run,
                        balancer_fixture) {
    this->start();
    this->accept_and_read();
    this->target.connection.close();
    this->await_outcome();
    BOOST_REQUIRE(!this->outcome->has_value());
    BOOST_TEST((this->outcome->error().outcome == execution::may_have_run));
    BOOST_TEST((this->outcome->error().problem.kind == error_kind::answer_truncated));
    BOOST_TEST(this->target.accepted_connections == 1);
}

// Guards against LOST: a kept connection that its target has ended cost the request.
BOOST_FIXTURE_TEST_CASE(a_request_is_served_though_its_target_has_ended_the_kept_connection,
                        balancer_fixture) {
    this->serve_one();
    this->target.connection.close();
    this->serve_one();
    this->target.reset();
    this->serve_one();
    BOOST_TEST(this->target.accepted_connections == 3);
}

// Guards against a request that is lost needlessly: nothing of it was sent, so it is refused as not
// run once no other target is left.
BOOST_FIXTURE_TEST_CASE(a_request_whose_new_connection_ends_at_once_was_not_run, balancer_fixture) {
    this->start();
    BOOST_REQUIRE(this->target.accept());
    this->target.connection.close();
    this->await_outcome();
    BOOST_REQUIRE(!this->outcome->has_value());
    BOOST_TEST((this->outcome->error().outcome == execution::not_run));
    BOOST_TEST((this->outcome->error().problem.kind == error_kind::no_target));
}

// Guards against a request that crosses the close of its kept connection and is called not run.
BOOST_FIXTURE_TEST_CASE(a_request_that_crosses_the_close_of_its_kept_connection_may_have_run,
                        balancer_fixture) {
    this->serve_one();
    this->start();
    this->target.connection.close();
    this->await_outcome();
    BOOST_REQUIRE(!this->outcome->has_value());
    BOOST_TEST((this->outcome->error().outcome == execution::may_have_run));
    BOOST_TEST(this->target.accepted_connections == 1);
}

// Guards against connections of targets that are held, or ended, without a reason that tells it.
BOOST_FIXTURE_TEST_CASE(connections_that_a_pool_does_not_keep_are_closed, balancer_fixture) {
    this->serve_one();
    BOOST_TEST(this->ended(target_connection_end::idle_dropped) == 0U);
    const time_point now = boot_clock::now();
    const target_ptr kept = this->balanced->pool().choose({}, attempt_kind::final, now);
    BOOST_REQUIRE(kept != nullptr);
    this->balanced->pool().apply_announcement(*kept, {true, std::nullopt}, now);
    BOOST_TEST(this->ended(target_connection_end::idle_dropped) == 1U);
    this->options.targets.idle_connections = 0;
    this->make_balancer();
    this->serve_one();
    BOOST_TEST(this->ended(target_connection_end::idle_dropped) == 2U);
}
