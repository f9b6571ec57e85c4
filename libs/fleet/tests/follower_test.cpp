#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "event/http_client.h"
#include "fleet/policy_follower.h"
#include "fleet/target_directory.h"
#include "platform/documents.h"
#include "platform_service.h"

using namespace knapweedknot;

namespace {

const endpoint store_address{"127.0.0.1", 18975};
constexpr duration patience = seconds(5);

/// A store in this process, with a client that plays the operator and the targets.
struct store_fixture {
    loop events;
    standin::platform_service service{events, duration::zero(), 1};
    store_client writer{events, store_address};
    store_client client{events, store_address};

    store_fixture() { BOOST_REQUIRE(this->service.listen(store_address).has_value()); }

    template <typename Condition>
    bool run_until(Condition condition, duration limit = patience) {
        const time_point end = boot_clock::now() + limit;
        const timer poll = this->events.every(milliseconds(1), [&] {
            if (condition() || boot_clock::now() > end) {
                this->events.stop();
            }
        });
        this->events.run();
        return condition();
    }
    void run_for(duration time) {
        this->run_until([] { return false; }, time);
    }
    void write(const std::string& key, const std::string& data) {
        bool written = false;
        this->writer.put(key, data, [&](const auto& outcome) { written = outcome.has_value(); });
        BOOST_REQUIRE(this->run_until([&] { return written; }));
    }
    void remove(const std::string& key) {
        std::optional<std::uint64_t> revision;
        this->writer.get(key, [&](const auto& value) { revision = value->revision; });
        BOOST_REQUIRE(this->run_until([&] { return revision.has_value(); }));
        bool done = false;
        this->writer.erase(key, *revision,
                           [&](const auto& outcome) { done = outcome.has_value(); });
        BOOST_REQUIRE(this->run_until([&] { return done; }));
    }
    void set_faults(const nlohmann::json& faults) {
        http_request request;
        request.method = "PUT";
        request.uri = "/v1/admin/faults";
        request.body = make_body(faults.dump());
        bool done = false;
        send_once(this->events, store_address, request, seconds(1), {},
                  [&](const auto& outcome) { done = outcome.has_value(); });
        BOOST_REQUIRE(this->run_until([&] { return done; }));
    }
};

std::string policy_text(const std::string& version, const std::string& prefix) {
    return R"({"version":")" + version + R"(","resources":[
        {"resource-kind":"routes","metadata":{"name":"r"},"spec":{"hostname":"h.example","prefix":")" +
           prefix + R"(","kind":"safe","timeout-ms":1000,"target-latency-ms":500,"priority":1,
           "service":"s","max-attempts":2}}]})";
}

std::string target_text(const std::string& address, const std::string& state) {
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","version":"v1","slots":4,"state":")" + state +
           R"(","warmup-left-ms":0,"sequence":1,"born":1700000000000})";
}

policy_follower make_follower(store_fixture& store) {
    policy_follower_options options;
    options.watch_wait = milliseconds(400);
    return {store.events, store.client, std::string(platform::policy_key), &platform::decode_policy,
            options};
}

target_directory make_directory(store_fixture& store) {
    target_directory_options options;
    options.vanished_grace = milliseconds(200);
    options.gather_time = milliseconds(20);
    return {store.events, store.client, std::string(platform::targets_prefix),
            &platform::decode_target, options};
}

const service_id service{"s"};

} // namespace

BOOST_AUTO_TEST_CASE(a_change_of_the_policy_is_adopted_and_an_older_one_is_not) {
    store_fixture store;
    store.write("op/config", policy_text("00000002", "/a/"));
    policy_follower follower = make_follower(store);
    follower.start();
    BOOST_REQUIRE(store.run_until([&] { return follower.current() != nullptr; }));
    BOOST_TEST(follower.is_fresh(boot_clock::now()));
    store.write("op/config", policy_text("00000007", "/b/"));
    BOOST_TEST(store.run_until([&] { return follower.current()->number().value == 7; }));
    BOOST_TEST((follower.current()->find_route("h.example", "/a/x") == nullptr));
    BOOST_TEST((follower.current()->find_route("H.EXAMPLE", "/b/x") != nullptr));
    store.write("op/config", policy_text("00000003", "/a/"));
    store.run_for(milliseconds(100));
    BOOST_TEST(follower.current()->number().value == 7U);
}

BOOST_AUTO_TEST_CASE(a_lost_history_costs_few_calls_and_no_change) {
    store_fixture store;
    store.write("op/config", policy_text("00000002", "/a/"));
    store.write("servers/i-1", target_text("127.0.0.1:9000", "ready"));
    policy_follower follower = make_follower(store);
    target_directory directory = make_directory(store);
    follower.start();
    directory.start();
    BOOST_REQUIRE(
        store.run_until([&] { return follower.current() != nullptr && directory.is_loaded(); }));
    store.write("other", "x");
    store.set_faults({{"drop_history", true}});
    const std::uint64_t before = store.client.calls();
    store.run_for(milliseconds(1000));
    constexpr std::uint64_t few = 20;
    BOOST_TEST(store.client.calls() - before < few);
    for (const auto& [kind, count] : store.client.calls_by_kind()) {
        BOOST_TEST_MESSAGE(kind << ": " << count.sent << " sent, " << count.failed << " failed");
    }
    store.write("op/config", policy_text("00000004", "/b/"));
    BOOST_TEST(store.run_until([&] { return follower.current()->number().value == 4; }));
    store.write("servers/i-2", target_text("127.0.0.1:9001", "ready"));
    BOOST_TEST(store.run_until([&] { return directory.targets_of(service).size() == 2; }));
}

BOOST_AUTO_TEST_CASE(a_proof_lapses_while_the_store_is_away) {
    store_fixture store;
    store.write("op/config", policy_text("00000002", "/a/"));
    policy_follower_options options;
    options.proof_lifetime = milliseconds(100);
    policy_follower follower(store.events, store.client, std::string(platform::policy_key),
                             &platform::decode_policy, options);
    follower.start();
    BOOST_REQUIRE(store.run_until([&] { return follower.current() != nullptr; }));
    store.set_faults({{"outage", "refuse"}});
    store.run_for(milliseconds(150));
    bool asked = false;
    follower.await_proof([&] { asked = true; });
    BOOST_REQUIRE(store.run_until([&] { return asked; }));
    BOOST_TEST(!follower.is_fresh(boot_clock::now()));
    store.set_faults({{"outage", "none"}});
    asked = false;
    follower.await_proof([&] { asked = true; });
    BOOST_REQUIRE(store.run_until([&] { return asked; }));
    BOOST_TEST(follower.is_fresh(boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(targets_come_drain_vanish_return_and_go) {
    store_fixture store;
    store.write("servers/i-1", target_text("127.0.0.1:9000", "ready"));
    target_directory directory = make_directory(store);
    directory.start();
    BOOST_REQUIRE(store.run_until([&] { return directory.targets_of(service).size() == 1; }));
    const auto& targets = directory.targets_of(service);
    const target_id id{"i-1"};
    const std::uint64_t first_run = targets.at(id).run;
    store.remove("servers/i-1");
    BOOST_REQUIRE(store.run_until([&] { return targets.at(id).vanished.has_value(); }));
    store.write("servers/i-1", target_text("127.0.0.1:9000", "ready"));
    BOOST_REQUIRE(store.run_until([&] { return !targets.at(id).vanished; }));
    BOOST_TEST(targets.at(id).run == first_run);
    store.write("servers/i-1", target_text("127.0.0.1:9005", "ready"));
    BOOST_REQUIRE(store.run_until([&] { return targets.at(id).run != first_run; }));
    store.write("servers/i-1", target_text("127.0.0.1:9005", "draining"));
    BOOST_REQUIRE(store.run_until(
        [&] { return targets.at(id).registration.state == target_state::draining; }));
    store.remove("servers/i-1");
    BOOST_TEST(store.run_until([&] { return targets.empty(); }));
}

// Guards against requests at targets that have said they are leaving: an instance that began to
// serve kept the long watch of its quiet time, which may hear nothing any more.
BOOST_AUTO_TEST_CASE(targets_are_followed_closely_from_the_moment_an_instance_serves) {
    store_fixture store;
    store.write("servers/i-1", target_text("127.0.0.1:9000", "ready"));
    target_directory_options options;
    options.watch_wait = seconds(60);
    target_directory directory(store.events, store.client, std::string(platform::targets_prefix),
                               &platform::decode_target, options);
    directory.start();
    BOOST_REQUIRE(store.run_until([&] { return directory.is_loaded(); }));
    store.run_for(milliseconds(50));
    options.watch_wait = milliseconds(200);
    directory.set_options(options);
    constexpr duration longest_age = milliseconds(800);
    for (int look = 0; look < 12; ++look) {
        store.run_for(milliseconds(100));
        BOOST_TEST((*directory.age(boot_clock::now()) < longest_age));
    }
    store.write("servers/i-2", target_text("127.0.0.1:9001", "ready"));
    BOOST_TEST(store.run_until([&] { return directory.targets_of(service).size() == 2; }));
}

BOOST_AUTO_TEST_CASE(an_unreadable_registration_names_no_target_and_the_others_hold) {
    store_fixture store;
    store.write("servers/i-1", target_text("127.0.0.1:9000", "ready"));
    store.write("servers/i-2", "\x01\x02 not JSON");
    store.write("servers/i-3",
                R"({"service":"s","address":7,"zone":"z","slots":4,"state":"ready"})");
    store.write("servers/i-4", target_text("127.0.0.1:9000", "resting"));
    target_directory directory = make_directory(store);
    directory.start();
    BOOST_REQUIRE(store.run_until([&] { return directory.is_loaded(); }));
    BOOST_TEST(directory.targets_of(service).size() == 1U);
}
