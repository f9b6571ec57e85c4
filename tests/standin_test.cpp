#define BOOST_TEST_MODULE standin
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "event/http_client.h"
#include "standin_target.h"

using namespace knapweedknot;

namespace {

const endpoint target_address{"127.0.0.1", 18974};

/// A target stand-in in this process.
struct target_fixture {
    loop events;
    standin::standin_target target{events, "t-1", target_address, {}, [](const auto&) {}, 1};

    target_fixture() { BOOST_REQUIRE(this->target.start().has_value()); }

    http_response get(const std::string& uri) {
        http_request request;
        request.uri = uri;
        std::optional<http_outcome> outcome;
        send_once(this->events, target_address, request, seconds(2), {},
                  [&](http_outcome received) {
                      outcome = std::move(received);
                      this->events.stop();
                  });
        this->events.run();
        BOOST_REQUIRE(outcome->has_value());
        return std::move(**outcome);
    }
    void set(const nlohmann::json& behaviour) {
        BOOST_REQUIRE(standin::update_behaviour(this->target.behaviour(), behaviour).has_value());
    }
};

std::string header(const http_response& response, const char* name) {
    const std::string* value = find_header(response.headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

// Guards against tests of leaving targets that test nothing: the stand-in must say it in every
// response, also in refusals and health checks.
BOOST_AUTO_TEST_CASE(a_leaving_target_standin_says_so_in_all_responses) {
    target_fixture fixture;
    BOOST_TEST(header(fixture.get("/a"), "Server-Leaving").empty());
    fixture.set({{"announce_leaving", true}});
    BOOST_TEST(header(fixture.get("/a"), "Server-Leaving") == "1");
    BOOST_TEST(header(fixture.get("/health"), "Server-Leaving") == "1");
    fixture.set({{"mode", "shed"}});
    const http_response refused = fixture.get("/a");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(header(refused, "Server-Leaving") == "1");
}

// Guards against the same for pauses: only refusals ask for one.
BOOST_AUTO_TEST_CASE(a_target_standin_asks_for_a_pause_in_refusals_only) {
    target_fixture fixture;
    fixture.set({{"retry_after_s", 1.5}});
    BOOST_TEST(header(fixture.get("/a"), "Retry-After").empty());
    fixture.set({{"mode", "shed"}});
    const http_response refused = fixture.get("/a");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(header(refused, "Retry-After") == "1.5");
    BOOST_TEST(header(refused, "Knapweedknot-Outcome") == "not_run");
}
