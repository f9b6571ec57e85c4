#include <boost/test/unit_test.hpp>

#include <csignal>

#include "executions.h"
#include "fetch.h"

using namespace knapweedknot;
using namespace knapweedknot::harness;

/// \file
/// System tests of requests with an idempotency key that are retried during and after failures of
/// targets and of the instance that issued the key's prefix.

namespace {

constexpr int queried_instance = 0;

struct idempotency_fleet : served_fleet {
    using served_fleet::served_fleet;

    /// Returns the number of the first instance in the address list and the idempotency key prefix
    /// that it issued.
    std::pair<int, std::string> prefix() {
        const fetched answer = fetch(this->running, this->running.callers_address(queried_instance),
                                     "GET", "/v1/addresses", with_key(this->key));
        const auto body = nlohmann::json::parse(answer.body);
        const auto& first = body.at("addresses").at(0);
        const std::string name = first.at("instance").get<std::string>();
        return {std::stoi(name.substr(name.find('-') + 1)),
                first.at("idempotency_prefix").get<std::string>()};
    }
    fetched post(int instance, const std::string& idempotency_key, const std::string& uri) {
        http_headers headers = with_key(this->key);
        headers.push_back({"Idempotency-Key", idempotency_key});
        return fetch(this->running, this->running.callers_address(instance), "POST", uri, headers);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_repeated_key_is_executed_once_and_gets_the_first_response) {
    idempotency_fleet fleet;
    const auto [issuer, prefix] = fleet.prefix();
    const int other = (issuer + 1) % 4;
    const fetched first = fleet.post(issuer, prefix + ".a", "/once/a");
    BOOST_TEST(first.status == 200);
    for (const int instance : {issuer, other}) {
        const fetched repeated = fleet.post(instance, prefix + ".a", "/once/a");
        BOOST_TEST(repeated.status == 200);
        BOOST_TEST(repeated.body == first.body);
    }
    BOOST_TEST(fleet.executions_of("/once/a") == 1U);
    BOOST_TEST(fleet.post(issuer, prefix + ".a", "/once/b").header("Knapweedknot-Error") ==
               "idempotency_key_reused");
    BOOST_TEST(fleet.post(issuer, "my-own-key", "/once/c").header("Knapweedknot-Error") ==
               "idempotency_key_invalid");

    // An execution whose response was lost keeps an unknown outcome and is not retried.
    fleet.running.set_target_behaviour("*", {{"mode", "reset"}});
    BOOST_TEST(fleet.post(issuer, prefix + ".d", "/once/d").status == 502);
    fleet.running.set_target_behaviour("*", {{"mode", "ok"}});
    const fetched unknown = fleet.post(issuer, prefix + ".d", "/once/d");
    BOOST_TEST(unknown.header("Knapweedknot-Error") == "outcome_unknown");
    BOOST_TEST(fleet.executions_of("/once/d") == 1U);

    // A response with outcome "not_run" releases the key for a retry.
    fleet.running.set_target_behaviour("*", {{"mode", "shed"}});
    const fetched refused = fleet.post(issuer, prefix + ".e", "/once/e");
    BOOST_TEST(refused.header("Knapweedknot-Outcome") == "not_run");
    fleet.running.set_target_behaviour("*", {{"mode", "ok"}});
    BOOST_TEST(fleet.post(other, prefix + ".e", "/once/e").status == 200);
    BOOST_TEST(fleet.executions_of("/once/e") == 1U);
}

BOOST_AUTO_TEST_CASE(a_key_is_not_executed_elsewhere_when_its_issuer_is_paused_or_killed) {
    idempotency_fleet fleet;
    const auto [issuer, prefix] = fleet.prefix();
    const int other = (issuer + 1) % 4;
    BOOST_TEST(fleet.post(issuer, prefix + ".a", "/once/a").status == 200);
    fleet.running.instance(issuer).signal(SIGSTOP);
    const fetched while_paused = fleet.post(other, prefix + ".a", "/once/a");
    BOOST_TEST(while_paused.header("Knapweedknot-Error") == "outcome_unknown");
    fleet.running.instance(issuer).signal(SIGCONT);
    run_for(fleet.running.events(), seconds(3));
    BOOST_TEST(fleet.post(other, prefix + ".a", "/once/a").status == 200);
    fleet.running.instance(issuer).kill();
    run_for(fleet.running.events(), seconds(3));
    const fetched after_kill = fleet.post(other, prefix + ".a", "/once/a");
    BOOST_TEST(after_kill.header("Knapweedknot-Error") == "outcome_unknown");
    BOOST_TEST(after_kill.header("Knapweedknot-Outcome") == "may_have_run");
    fleet.running.start_instance(issuer);
    run_for(fleet.running.events(), seconds(4));
    BOOST_TEST(fleet.post(issuer, prefix + ".a", "/once/a").header("Knapweedknot-Error") ==
               "outcome_unknown");
    BOOST_TEST(fleet.executions_of("/once/a") == 1U);
}
