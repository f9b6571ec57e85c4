#define BOOST_TEST_MODULE system
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <csignal>
#include <fstream>

#include "base/digest.h"
#include "executions.h"
#include "fetch.h"
#include "load_generator.h"

using namespace knapweedknot;
using namespace knapweedknot::harness;

/// \file
/// End-to-end tests of a fleet of processes in which no instance crashes.

BOOST_AUTO_TEST_CASE(requests_are_forwarded_or_rejected_end_to_end) {
    served_fleet fleet;
    const std::string secret = fleet.key.substr(fleet.key.find('.') + 1);

    const fetched answered = fleet.get("/work/1?x=y");
    BOOST_TEST(answered.status == 200);
    BOOST_TEST(answered.header("Knapweedknot-Instance") == "instance-0");
    BOOST_TEST(answered.body.find(secret) == std::string::npos);
    BOOST_TEST(answered.body.find("\"Knapweedknot-Account\":\"shop\"") != std::string::npos);

    // A request that exposes the API key to the target, in the URI or in another header, is
    // rejected before anything is sent to a target.
    for (const std::string& uri :
         {"/work/2?k=" + secret, "/work/2?k=%" + to_hex(secret.substr(0, 1)) + secret.substr(1)}) {
        BOOST_TEST(fleet.get(uri).header("Knapweedknot-Error") == "key_exposed");
    }
    BOOST_TEST(fleet.get("/work/2", {{"X-Copy", fleet.key}}).status == 400);
    BOOST_TEST(fleet.executions_of("/work/2") == 0U);

    const endpoint first = fleet.running.callers_address(0);
    BOOST_TEST(fetch(fleet.running, first, "GET", "/open/1", {}).status == 200);
    const fetched without_key = fetch(fleet.running, first, "GET", "/work/3", {});
    BOOST_TEST(without_key.status == 401);
    BOOST_TEST(without_key.header("Knapweedknot-Outcome") == "not_run");
    BOOST_TEST(fleet.get("/nowhere").status == 404);
    BOOST_TEST(fleet.get("/work/4", {{"Knapweedknot-Deadline-Ms", "soon"}}).status == 400);

    const fetched head = fetch(fleet.running, first, "HEAD", "/work/5", with_key(fleet.key));
    BOOST_TEST(head.status == 200);
    BOOST_TEST(std::stoi(head.header("Content-Length")) > 0);
    BOOST_TEST(head.body.empty());
}

BOOST_AUTO_TEST_CASE(a_non_retryable_request_is_executed_at_most_once_when_targets_fail) {
    fleet_options options;
    options.targets = 3;
    served_fleet fleet(options);
    for (const char* mode : {"truncate", "reset"}) {
        fleet.running.set_target_behaviour("*", {{"mode", mode}});
        const std::string uri = std::string("/once/") + mode;
        const fetched answer = fleet.get(uri);
        BOOST_TEST(answer.status == 502);
        BOOST_TEST(answer.header("Knapweedknot-Outcome") == "may_have_run");
        BOOST_TEST(fleet.executions_of(uri) == 1U);
    }
    // A request that a target rejected without executing it is sent to another target, even if it
    // is not retryable.
    fleet.running.set_target_behaviour("*", {{"mode", "ok"}});
    fleet.running.set_target_behaviour("target-0", {{"mode", "shed"}});
    for (int i = 0; i < 10; ++i) {
        const std::string uri = "/once/shed-" + std::to_string(i);
        BOOST_TEST(fleet.get(uri).status == 200);
        BOOST_TEST(fleet.executions_of(uri) == 1U);
    }
    fleet.running.set_target_behaviour("*", {{"mode", "hang"}});
    const fetched timed_out = fleet.get("/once/late", {{"Knapweedknot-Deadline-Ms", "200"}});
    BOOST_TEST(timed_out.status == 504);
    BOOST_TEST(timed_out.header("Knapweedknot-Outcome") == "may_have_run");
}

BOOST_AUTO_TEST_CASE(concurrent_operator_changes_get_one_acceptance_and_one_conflict) {
    served_fleet fleet;
    const auto present = fleet.running.send_operator_request(0, "GET", "/v1/configuration");
    const std::string base = present->body.at("number").dump();
    const auto first = fleet.running.send_operator_request(
        0, "PATCH", "/v1/configuration?base=" + base, {{"accounts", {{"shop", {{"burst", 50}}}}}});
    const auto second = fleet.running.send_operator_request(
        1, "PATCH", "/v1/configuration?base=" + base, {{"accounts", {{"shop", {{"burst", 60}}}}}});
    BOOST_TEST(first->status == 200);
    BOOST_TEST(second->status == 409);
    BOOST_TEST(second->body.at("changes_since").size() == 1U);
    const auto invalid = fleet.running.send_operator_request(
        0, "PATCH", "/v1/configuration?base=" + first->body.at("number").dump(),
        {{"accounts", {{"shop", {{"burst", -1}}}}}});
    BOOST_TEST(invalid->status == 422);
    BOOST_TEST(invalid->body.at("detail").get<std::string>().find("/accounts/shop/burst") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_write_whose_response_is_lost_is_applied_once) {
    served_fleet fleet;
    fleet.running.set_platform_faults({{"lose_answers", 1.0}});
    const std::uint64_t number = fleet.running.patch({{"accounts", {{"shop", {{"burst", 70}}}}}});
    fleet.running.set_platform_faults({{"lose_answers", 0.0}});
    const auto history = fleet.running.send_operator_request(
        1, "GET", "/v1/history?after=" + std::to_string(number - 1));
    BOOST_TEST(history->body.at("entries").size() == 1U);
    BOOST_TEST(history->body.at("chain_problem").get<std::string>().empty());
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_under_load_fails_no_request) {
    served_fleet fleet;
    load_options given{"shop", fleet.key, "/work/load", "GET", 200, {}, true};
    for (int i = 0; i < 4; ++i) {
        given.instances.push_back(fleet.running.callers_address(i));
    }
    // These callers keep an outdated address list and use all instances in turn.
    load_options static_list = given;
    static_list.use_discovery = false;
    static_list.rate_per_s = 100;
    load_generator updating_callers(fleet.running.events(), given, 1);
    load_generator static_callers(fleet.running.events(), static_list, 2);
    updating_callers.start();
    static_callers.start();
    run_for(fleet.running.events(), seconds(1));
    fleet.running.instance(2).signal(SIGTERM);
    run_for(fleet.running.events(), seconds(5));
    // An address list is valid for 5 s, so no caller uses the instance after that.
    static_callers.stop();
    run_for(fleet.running.events(), seconds(5));
    updating_callers.stop();
    run_for(fleet.running.events(), seconds(1));
    BOOST_TEST(fleet.running.instance(2).has_ended());
    BOOST_TEST(fleet.running.instance(2).exit_status() == 0);
    for (const load_generator* callers : {&updating_callers, &static_callers}) {
        const auto& records = callers->records();
        BOOST_TEST(records.size() > 300U);
        const auto failed =
            std::count_if(records.begin(), records.end(),
                          [](const request_record& record) { return record.status != 200; });
        BOOST_TEST(failed == 0);
    }
}

BOOST_AUTO_TEST_CASE(sizes_are_limited_and_the_request_of_a_disconnected_caller_is_cancelled) {
    constexpr std::size_t allowed_header_bytes = std::size_t{30} * 1024;
    constexpr std::size_t refused_header_bytes = std::size_t{200} * 1024;
    constexpr std::size_t refused_body_bytes = std::size_t{5} * 1024 * 1024;
    served_fleet fleet;
    BOOST_TEST(
        fleet.get("/work/long", {{"X-Long", std::string(allowed_header_bytes, 'a')}}).status ==
        200);
    BOOST_TEST(
        fleet.get("/work/longer", {{"X-Long", std::string(refused_header_bytes, 'a')}}).status !=
        200);
    BOOST_TEST(fleet.executions_of("/work/longer") == 0U);

    http_request large;
    large.method = "POST";
    large.uri = "/work/large";
    large.headers = with_key(fleet.key);
    large.body = make_body(std::string(refused_body_bytes, 'a'));
    int status = 0;
    send_once(fleet.running.events(), fleet.running.callers_address(0), large, seconds(5), {},
              [&](const http_outcome& outcome) {
                  status = outcome ? outcome->status : 0;
                  fleet.running.events().stop();
              });
    fleet.running.events().run();
    BOOST_TEST(status != 200);
    BOOST_TEST(fleet.executions_of("/work/large") == 0U);

    fleet.running.set_target_behaviour("*", {{"mode", "hang"}});
    http_request abandoned;
    abandoned.uri = "/work/abandoned";
    abandoned.headers = with_key(fleet.key);
    send_once(fleet.running.events(), fleet.running.callers_address(0), abandoned,
              milliseconds(300), {},
              [&](const http_outcome& /*unused*/) { fleet.running.events().stop(); });
    fleet.running.events().run();
    run_for(fleet.running.events(), milliseconds(500));
    std::ifstream log(fleet.running.execution_log());
    std::size_t cancelled = 0;
    for (std::string line; std::getline(log, line);) {
        const bool is_cancelled = line.find("\"cancelled\"") != std::string::npos;
        cancelled += is_cancelled && line.find("/work/abandoned") != std::string::npos ? 1 : 0;
    }
    BOOST_TEST(cancelled == 1U);
}
