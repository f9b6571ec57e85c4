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
/// Whole paths through fleets of processes without injected crashes.

BOOST_AUTO_TEST_CASE(requests_and_refusals_on_the_whole_path) {
    served_fleet fleet;
    const std::string secret = fleet.key.substr(fleet.key.find('.') + 1);

    const fetched answered = fleet.get("/work/1?x=y");
    BOOST_TEST(answered.status == 200);
    BOOST_TEST(answered.header("Knapweedknot-Instance") == "instance-0");
    BOOST_TEST(answered.body.find(secret) == std::string::npos);
    BOOST_TEST(answered.body.find("\"Knapweedknot-Account\":\"shop\"") != std::string::npos);

    // The key in any place that a target sees is refused before anything is sent.
    for (const std::string& uri :
         {"/work/2?k=" + secret, "/work/2?k=%" + to_hex(secret.substr(0, 1)) + secret.substr(1)}) {
        BOOST_TEST(fleet.get(uri).header("Knapweedknot-Error") == "key_exposed");
    }
    BOOST_TEST(fleet.get("/work/2", {{"X-Copy", fleet.key}}).status == 400);
    BOOST_TEST(fleet.executions_of("/work/2") == 0U);

    const endpoint first = fleet.running.callers_address(0);
    BOOST_TEST(fetch(fleet.running, first, "GET", "/open/1", {}).status == 200);
    const fetched missing = fetch(fleet.running, first, "GET", "/work/3", {});
    BOOST_TEST(missing.status == 401);
    BOOST_TEST(missing.header("Knapweedknot-Outcome") == "not_run");
    BOOST_TEST(fleet.get("/nowhere").status == 404);
    BOOST_TEST(fleet.get("/work/4", {{"Knapweedknot-Deadline-Ms", "soon"}}).status == 400);

    const fetched head = fetch(fleet.running, first, "HEAD", "/work/5", with_key(fleet.key));
    BOOST_TEST(head.status == 200);
    BOOST_TEST(std::stoi(head.header("Content-Length")) > 0);
    BOOST_TEST(head.body.empty());
}

BOOST_AUTO_TEST_CASE(a_failing_target_never_gets_unrepeatable_work_twice) {
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
    // What was refused as not run goes to another target, also when it must not be repeated.
    fleet.running.set_target_behaviour("*", {{"mode", "ok"}});
    fleet.running.set_target_behaviour("target-0", {{"mode", "shed"}});
    for (int i = 0; i < 10; ++i) {
        const std::string uri = "/once/shed-" + std::to_string(i);
        BOOST_TEST(fleet.get(uri).status == 200);
        BOOST_TEST(fleet.executions_of(uri) == 1U);
    }
    fleet.running.set_target_behaviour("*", {{"mode", "hang"}});
    const fetched late = fleet.get("/once/late", {{"Knapweedknot-Deadline-Ms", "200"}});
    BOOST_TEST(late.status == 504);
    BOOST_TEST(late.header("Knapweedknot-Outcome") == "may_have_run");
}

BOOST_AUTO_TEST_CASE(operators_that_race_get_one_acceptance_and_one_conflict) {
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
    const auto bad = fleet.running.send_operator_request(
        0, "PATCH", "/v1/configuration?base=" + first->body.at("number").dump(),
        {{"accounts", {{"shop", {{"burst", -1}}}}}});
    BOOST_TEST(bad->status == 422);
    BOOST_TEST(bad->body.at("detail").get<std::string>().find("/accounts/shop/burst") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_is_accepted_once) {
    served_fleet fleet;
    fleet.running.set_platform_faults({{"lose_answers", 1.0}});
    const std::uint64_t number = fleet.running.patch({{"accounts", {{"shop", {{"burst", 70}}}}}});
    fleet.running.set_platform_faults({{"lose_answers", 0.0}});
    const auto history = fleet.running.send_operator_request(
        1, "GET", "/v1/history?after=" + std::to_string(number - 1));
    BOOST_TEST(history->body.at("entries").size() == 1U);
    BOOST_TEST(history->body.at("chain_problem").get<std::string>().empty());
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_under_load_cuts_no_request) {
    served_fleet fleet;
    load_options given{"shop", fleet.key, "/work/load", "GET", 200, {}, true};
    for (int i = 0; i < 4; ++i) {
        given.instances.push_back(fleet.running.callers_address(i));
    }
    // These keep an old answer of addresses: they use every instance in turn.
    load_options unaware = given;
    unaware.use_discovery = false;
    unaware.rate_per_s = 100;
    load_generator aware_callers(fleet.running.events(), given, 1);
    load_generator unaware_callers(fleet.running.events(), unaware, 2);
    aware_callers.start();
    unaware_callers.start();
    run_for(fleet.running.events(), seconds(1));
    fleet.running.instance(2).signal(SIGTERM);
    run_for(fleet.running.events(), seconds(5));
    // An answer of addresses lasts 5 s, so nobody uses the instance after that.
    unaware_callers.stop();
    run_for(fleet.running.events(), seconds(5));
    aware_callers.stop();
    run_for(fleet.running.events(), seconds(1));
    BOOST_TEST(fleet.running.instance(2).has_ended());
    BOOST_TEST(fleet.running.instance(2).exit_status() == 0);
    for (const load_generator* one : {&aware_callers, &unaware_callers}) {
        const auto& records = one->records();
        BOOST_TEST(records.size() > 300U);
        const auto lost =
            std::count_if(records.begin(), records.end(),
                          [](const request_record& record) { return record.status != 200; });
        BOOST_TEST(lost == 0);
    }
}

BOOST_AUTO_TEST_CASE(sizes_are_limited_and_a_caller_that_goes_away_cancels_its_work) {
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
