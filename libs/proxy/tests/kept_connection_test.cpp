#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <utility>

#include "proxy/target_pool.h"
#include "raw_target.h"
#include "run_loop.h"

using namespace knapweedknot;

namespace {

const endpoint target_address{"127.0.0.1", 18945};
constexpr duration idle_limit = seconds(8);

/// A target that keeps connections.
struct kept_connection_fixture {
    loop events;
    harness::raw_target target{target_address};
    pooled_target pooled;

    /// Adds an idle connection that has carried one request.
    void add_idle_connection() {
        auto connection =
            std::make_unique<http_connection>(this->events, target_address, http_client_limits{});
        std::optional<http_outcome> outcome;
        connection->send(http_request{}, seconds(5),
                         [&](auto result) { outcome = std::move(result); });
        BOOST_REQUIRE(harness::run_until(this->events, [&] {
            if (this->target.accept()) {
                this->target.connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            return outcome.has_value();
        }));
        BOOST_REQUIRE(outcome->has_value());
        this->pooled.idle.push_back(std::move(connection));
    }
};

} // namespace

// Guards against LOST and a needless 502: a target closed the newest kept connection, and the loop
// had not read that yet. The one before it is still good.
BOOST_FIXTURE_TEST_CASE(a_kept_connection_whose_close_is_unread_is_not_taken,
                        kept_connection_fixture) {
    this->add_idle_connection();
    harness::raw_socket first;
    std::swap(first.fd, this->target.connection.fd);
    const http_connection* good = this->pooled.idle.front().get();
    this->add_idle_connection();
    this->target.connection.close();
    const auto taken = target_pool::take_connection(this->pooled, idle_limit);
    BOOST_TEST((taken.get() == good));
    BOOST_TEST(this->pooled.idle.empty());
}
