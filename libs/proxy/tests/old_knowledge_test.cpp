#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "event/http_client.h"
#include "platform/edge_protocol.h"
#include "platform/store_documents.h"
#include "platform_service.h"
#include "proxy/edge_gateway.h"

using namespace knapweedknot;

/// \file
/// What a gateway does with requests while it cannot renew what it knows of the store.

namespace {

const endpoint store_address{"127.0.0.1", 18966};
const endpoint target_address{"127.0.0.1", 18967};
const endpoint callers_address{"127.0.0.1", 18968};
constexpr duration short_bound = milliseconds(900);
constexpr duration wait_limit = seconds(5);

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
struct cut_off_gateway {
    loop events;
    standin::platform_service store{events, duration::zero(), 1};
    store_client client{events, store_address};
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

    cut_off_gateway() {
        BOOST_REQUIRE(this->store.listen(store_address).has_value());
        BOOST_REQUIRE(this->target.listen(target_address).has_value());
        BOOST_REQUIRE(this->gateway.listen().has_value());
        this->write(std::string(platform::policy_key),
                    R"({"version":"00000002","resources":[
                    {"resource-kind":"routes","metadata":{"name":"r"},"spec":{
                    "hostname":"h.example","prefix":"/a/","kind":"safe","timeout-ms":2000,
                    "target-latency-ms":500,"priority":1,"service":"s","max-attempts":2}}]})");
        this->write(std::string(platform::targets_prefix) + "i-1",
                    R"({"service":"s","address":"127.0.0.1:18967","zone":"z","version":"v1",
                    "slots":4,"state":"ready","warmup-left-ms":0,"sequence":1,
                    "born":1700000000000})");
        this->policy.start();
        this->directory.start();
        this->run_until([this] {
            return this->policy.current() != nullptr && this->directory.is_loaded() &&
                   this->directory.last_change() > 0;
        });
        BOOST_REQUIRE(this->get_status() == 200);
        this->store.faults().outage = "hang";
        const time_point old = boot_clock::now() + 2 * short_bound;
        this->run_until([old] { return boot_clock::now() > old; });
        // A read shows that the store does not answer.
        bool has_failed = false;
        this->policy.await_confirmation([&has_failed] { has_failed = true; });
        this->run_until([&has_failed] { return has_failed; });
        BOOST_REQUIRE(!this->policy.is_store_reachable());
    }
    template <typename Condition>
    void run_until(Condition condition) {
        const time_point limit = boot_clock::now() + wait_limit;
        const timer poll = this->events.every(milliseconds(1), [&] {
            if (condition() || boot_clock::now() > limit) {
                this->events.stop();
            }
        });
        this->events.run();
        BOOST_REQUIRE(condition());
    }
    void write(const std::string& key, const std::string& data) {
        bool written = false;
        this->client.put(key, data, [&](const auto& outcome) { written = outcome.has_value(); });
        this->run_until([&] { return written; });
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
        this->run_until([&] { return status.has_value(); });
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
