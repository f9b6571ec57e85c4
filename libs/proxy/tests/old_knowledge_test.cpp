#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "event/http_client.h"
#include "platform/edge_protocol.h"
#include "proxy/edge_gateway.h"
#include "store_fixture.h"

using namespace knapweedknot;

/// \file
/// What a gateway does with requests while it cannot renew what it knows of the store.

namespace {

// Other tests that run at the same time have their store at the usual address.
const endpoint own_store_address{"127.0.0.1", 18966};
const endpoint target_address{"127.0.0.1", 18967};
const endpoint callers_address{"127.0.0.1", 18968};
constexpr duration short_bound = milliseconds(900);

edge_settings short_settings() {
    edge_settings settings;
    settings.instance.value = "n1";
    settings.callers_address = callers_address;
    settings.bounds.policy_apply = short_bound;
    settings.bounds.target_drain = short_bound;
    return settings;
}

/// A gateway with one target, which has read policy and registrations. From then on nothing renews
/// them: the store is silent, as it is to one instance whose link or processor is overloaded.
struct cut_off_gateway : store_fixture {
    mesh network{events, peer_info{}, mesh_handlers{}};
    report_exchange reports{events, network, report_options{}};
    policy_follower policy{events, client, std::string(platform::policy_key),
                           &platform::decode_policy, policy_follower_options{}};
    target_directory directory{events, client, std::string(platform::targets_prefix),
                               &platform::decode_target, target_directory_options{}};
    edge_settings settings{short_settings()};
    header_names headers{platform::make_header_names()};
    edge_gateway gateway{{events, settings, headers, policy, directory, reports}};
    int runs{0};
    http_server target{events, {}, [this](const auto& request) { this->run(*request); }};

    cut_off_gateway() : store_fixture(own_store_address) {
        BOOST_REQUIRE(this->target.listen(target_address).has_value());
        BOOST_REQUIRE(this->gateway.listen().has_value());
        this->write("op/config", policy_text("00000002", "/a/"));
        this->write("servers/i-1", target_text(to_string(target_address), "ready"));
        this->policy.start();
        this->directory.start();
        BOOST_REQUIRE(this->run_until([this] {
            return this->policy.current() != nullptr && this->directory.last_change() > 0;
        }));
        BOOST_REQUIRE(this->get_status() == 200);
        this->service.faults().outage = "hang";
        this->run_for(2 * short_bound);
        // A read shows that the store does not answer.
        bool has_failed = false;
        this->policy.await_confirmation([&has_failed] { has_failed = true; });
        BOOST_REQUIRE(this->run_until([&has_failed] { return has_failed; }));
        BOOST_REQUIRE(!this->policy.is_store_reachable());
    }
    void run(incoming_request& request) {
        ++this->runs;
        http_response answer;
        answer.status = 200;
        answer.headers = {
            {this->headers.request_id, std::string(request.header(this->headers.request_id))},
            {this->headers.signature, "signed"}};
        answer.body = make_body("done");
        request.respond(std::move(answer));
    }
    int get_status() {
        http_request request;
        request.method = "GET";
        request.uri = "/a/1";
        request.headers = {{"Host", "h.example"}, {this->headers.request_id, "r1"}};
        std::optional<int> status;
        send_once(this->events, callers_address, request, wait_limit, {},
                  [&](const http_outcome& outcome) { status = outcome ? outcome->status : 0; });
        BOOST_REQUIRE(this->run_until([&] { return status.has_value(); }));
        return *status;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(old_knowledge)

// Guards against callers that are refused although nothing is known to have changed: the store may
// be away for all.
BOOST_AUTO_TEST_CASE(requests_are_served_by_old_knowledge_while_no_peer_has_newer) {
    cut_off_gateway fixture;
    BOOST_TEST(fixture.get_status() == 200);
}

// Guards against a request that is handled by an older policy than the one in force (CONFIG): an
// instance that is too busy to hear the store took that for an outage.
BOOST_AUTO_TEST_CASE(an_old_policy_is_not_used_once_a_peer_has_a_newer_one) {
    cut_off_gateway fixture;
    fixture.policy.note_peer_policy_number(config_number{9});
    const int runs = fixture.runs;
    const time_point sent = boot_clock::now();
    BOOST_TEST(fixture.get_status() == 503);
    BOOST_TEST(fixture.runs == runs);
    BOOST_TEST((boot_clock::now() - sent < milliseconds(300)));
}

// Guards against a request to a target that is leaving (DRAIN): the age of the registrations was
// looked at neither when a request came nor when it was sent.
BOOST_AUTO_TEST_CASE(no_target_is_sent_a_request_once_a_peer_knows_of_a_later_change) {
    cut_off_gateway fixture;
    fixture.directory.note_peer_change(fixture.directory.known_revision() + 1);
    const int runs = fixture.runs;
    const time_point sent = boot_clock::now();
    BOOST_TEST(fixture.get_status() == 503);
    BOOST_TEST(fixture.runs == runs);
    BOOST_TEST((boot_clock::now() - sent < milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()
