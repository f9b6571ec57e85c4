#define BOOST_TEST_MODULE edge
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>

#include "edge_fixture.h"
#include "log_reader/request_explanation.h"
#include "raw_socket.h"

using namespace knapweedknot;
using namespace knapweedknot::harness;

/// \file
/// System tests of edge processes with the resource, header and store formats of the users'
/// platform.

namespace {

/// Makes \p target keep every request open without a response.
void never_answer(test_target& target) {
    target.request_handler = [&target](const auto& request) {
        target.unanswered.push_back(request);
    };
}

/// Makes \p target close the connection of every request without a response.
void drop_connections(test_target& target) {
    target.request_handler = [&target](const auto& /*request*/) { target.last_request.reset(); };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_translated_and_its_response_forwarded) {
    edge_fleet fleet(61);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();

    const fetched resolved =
        fleet.get(fleet.edge_address(0, 8082), "/resolve?name=h.example&region=r&zone=zone");
    BOOST_TEST(resolved.status == 200);
    const auto listed = nlohmann::json::parse(resolved.body);
    BOOST_TEST(listed["addresses"][0] == to_string(fleet.callers_address(0)));
    BOOST_TEST(listed["ttl-s"].get<double>() > 0);

    http_request request = edge_fleet::make_request("POST", "/once/a/b?c=d", "key-1");
    request.headers.push_back({"X-Tenant", "someone-else"});
    request.headers.push_back({"X-Deadline-Ms", "2000"});
    request.headers.push_back({"X-Custom", "kept"});
    request.body = make_body("content");
    const fetched answer = fleet.fetch(fleet.callers_address(0), std::move(request));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "done");
    BOOST_TEST(answer.header("X-Response-Signature") == "signed-by-i-1");
    BOOST_REQUIRE(target.last_request != nullptr);
    BOOST_TEST(target.last_request->uri() == "/once/a/b?c=d");
    BOOST_TEST(body_text(target.last_request->body()) == "content");
    BOOST_TEST(target.last_request->header("Host") == "h.example");
    BOOST_TEST(target.last_request->header("X-Tenant") == "shop");
    BOOST_TEST(target.last_request->header("X-Custom") == "kept");
    BOOST_TEST(target.last_request->header("X-Target-Instance") == "i-1");
    BOOST_TEST(target.last_request->header("X-Key").empty());
    const int left = std::stoi(std::string(target.last_request->header("X-Deadline-Ms")));
    BOOST_TEST(left > 1500);
    BOOST_TEST(left <= 2000);

    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1").status == 401);
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1", "no-such-key").status == 401);
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/nowhere/1", "key-1").status == 404);
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/open/1").status == 200);
    BOOST_TEST(target.last_request->header("X-Tenant").empty());
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/open/2", "key-1").status == 200);
    BOOST_TEST(target.last_request->header("X-Tenant") == "shop");
    BOOST_TEST(fleet.log_of(0).find("key-1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_get_503_before_the_first_policy_is_loaded) {
    edge_fleet fleet(62);
    fleet.start_edge(0);
    BOOST_REQUIRE(fleet.wait_ready(0, 503));
    const fetched early = fleet.get(fleet.callers_address(0), "/safe/1", "key-1");
    BOOST_TEST(early.status == 503);
    BOOST_TEST(!early.header("Retry-After").empty());
    fleet.add_target("i-1");
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    BOOST_REQUIRE(fleet.wait_ready(0));
    BOOST_TEST(fleet.wait_for_status("/safe/1", "key-1", 200));
}

BOOST_AUTO_TEST_CASE(a_removed_key_is_rejected_and_a_store_outage_refuses_keys_until_it_ends) {
    edge_fleet fleet(63);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    fleet.add_target("i-1");
    fleet.start();
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1", "key-2").status == 200);

    nlohmann::json without_key_2 = edge_fleet::usual_policy("00000009");
    without_key_2["resources"][4]["spec"]["api-keys"] = {"key-1"};
    fleet.write("op/config", without_key_2.dump());
    BOOST_TEST(fleet.wait_for_status("/safe/2", "key-2", 401));
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/3", "key-1").status == 200);

    fleet.set_outage("refuse");
    fleet.run_for(milliseconds(2000));
    const fetched unconfirmed = fleet.get(fleet.callers_address(0), "/safe/4", "key-1");
    BOOST_TEST(unconfirmed.status == 503);
    BOOST_TEST(fleet.total_requests("/safe/4") == 0);
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/open/1").status == 200);
    fleet.set_outage("none");
    BOOST_TEST(fleet.wait_for_status("/safe/5", "key-1", 200));
}

BOOST_AUTO_TEST_CASE(a_request_is_rejected_at_once_while_the_store_is_known_to_be_unresponsive) {
    edge_fleet fleet(70);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    fleet.add_target("i-1");
    fleet.start();
    fleet.set_outage("hang");
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1", "key-1").status == 503);
    const time_point start = boot_clock::now();
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/2", "key-1").status == 503);
    BOOST_TEST((boot_clock::now() - start < milliseconds(300)));
    fleet.set_outage("none");
    BOOST_TEST(fleet.wait_for_status("/safe/3", "key-1", 200));
}

// Guards against requests handled by an older policy than the one in force (CONFIG): when the
// answer of a watch call is lost, the call waits on for its whole length, and nothing else shows
// that there is a newer policy. The instance has no peers that could tell.
BOOST_AUTO_TEST_CASE(a_lost_watch_does_not_delay_a_policy_beyond_its_bound) {
    edge_fleet fleet(71);
    fleet.bounds = {{"key_withdrawal_ms", 5000}};
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    fleet.add_target("i-1");
    fleet.start();
    fleet.store.faults().lose_watches = true;
    // The write loses the watch that waits.
    fleet.write("other", "x");
    // The store was read a moment before the policy changes.
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1", "key-1").status == 200);
    fleet.run_for(milliseconds(300));
    nlohmann::json changed = edge_fleet::usual_policy("00000009");
    changed["resources"][2]["metadata"]["name"] = "added";
    changed["resources"][2]["spec"]["prefix"] = "/added/";
    fleet.write("op/config", changed.dump());
    constexpr duration apply_bound = milliseconds(2000);
    fleet.run_for(apply_bound);
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/added/1").status == 200);
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/open/1").status == 404);
}

BOOST_AUTO_TEST_CASE(a_non_retryable_request_is_sent_once_unless_it_was_not_executed) {
    edge_fleet fleet(64);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& first = fleet.add_target("i-1");
    test_target& second = fleet.add_target("i-2");
    fleet.start();
    drop_connections(first);
    drop_connections(second);
    const fetched broken =
        fleet.fetch(fleet.callers_address(0), edge_fleet::make_request("POST", "/once/1", "key-1"));
    BOOST_TEST(broken.status == 502);
    BOOST_TEST(broken.header("Knapweedknot-Outcome") == "may_have_run");
    BOOST_TEST(fleet.total_requests("/once/1") == 1);

    const auto refuse = [](const auto& request) { test_target::refuse(*request, 503); };
    first.request_handler = refuse;
    second.request_handler = refuse;
    const fetched refused =
        fleet.fetch(fleet.callers_address(0), edge_fleet::make_request("POST", "/once/2", "key-1"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.header("Knapweedknot-Outcome") == "not_run");
    BOOST_TEST(fleet.total_requests("/once/2") == 2);
}

BOOST_AUTO_TEST_CASE(a_second_target_answers_for_an_unresponsive_one) {
    edge_fleet fleet(65);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& first = fleet.add_target("i-1");
    test_target& second = fleet.add_target("i-2");
    fleet.start();
    bool hung = false;
    const auto hang_first_arrival = [&](test_target& target) {
        target.request_handler = [&hung, &target](const auto& request) {
            if (!hung) {
                hung = true;
                target.unanswered.push_back(request);
            } else {
                target.answer(*request);
            }
        };
    };
    hang_first_arrival(first);
    hang_first_arrival(second);
    const time_point start = boot_clock::now();
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/1", "key-1").status == 200);
    BOOST_TEST((boot_clock::now() - start < milliseconds(1500)));
    BOOST_TEST(fleet.total_requests("/safe/1") == 2);
}

BOOST_AUTO_TEST_CASE(the_request_of_a_disconnected_caller_is_cancelled) {
    edge_fleet fleet(66);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    never_answer(target);
    bool cancelled = false;
    target.request_handler = [&](const auto& request) {
        target.unanswered.push_back(request);
        request->on_caller_disconnect([&] { cancelled = true; });
    };
    raw_socket caller;
    caller.connect(fleet.callers_address(0));
    caller.send("POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\nX-Request-Id: r1\r\n"
                "Content-Length: 0\r\n\r\n");
    BOOST_REQUIRE(fleet.run_until([&] { return !target.unanswered.empty(); }));
    caller.close();
    BOOST_TEST(fleet.run_until([&] { return cancelled; }, milliseconds(500)));
}

// Guards against requests to a target that has said in a response that it is leaving (DRAIN), also
// when its registration does not say so, or is lost and returns.
BOOST_AUTO_TEST_CASE(a_target_that_announces_its_leaving_gets_no_more_requests) {
    edge_fleet fleet(72);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& first = fleet.add_target("i-1");
    test_target& second = fleet.add_target("i-2");
    fleet.start();
    const auto send = [&](int count) {
        for (int i = 0; i < count; ++i) {
            BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/a", "key-1").status == 200);
        }
    };
    first.announced_headers = {{"Server-Leaving", "1"}};
    send(20);
    BOOST_TEST(first.request_counts["/safe/a"] == 1);
    BOOST_TEST(second.request_counts["/safe/a"] == 19);

    fleet.remove_target(first);
    fleet.run_for(milliseconds(2000));
    fleet.register_target(first, "ready");
    fleet.run_for(milliseconds(500));
    send(20);
    BOOST_TEST(first.request_counts["/safe/a"] == 1);

    first.announced_headers.clear();
    first.started_unix_ms += 1000;
    fleet.register_target(first, "ready");
    fleet.run_for(milliseconds(500));
    send(20);
    BOOST_TEST(first.request_counts["/safe/a"] > 1);
}

// Guards against requests to a target within the time for which it has asked to be spared (BUDGET).
// A request that no target can take in time is refused at once, with the time to wait.
BOOST_AUTO_TEST_CASE(a_target_that_asks_for_a_pause_gets_no_requests_until_its_end) {
    edge_fleet fleet(73);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    target.request_handler = [&](const auto& request) {
        test_target::refuse(*request, 503, {{"Retry-After", "1.2"}});
    };
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/a", "key-1").status == 503);
    const time_point paused = boot_clock::now();
    target.request_handler = nullptr;
    // It waits for the end of the pause, as its deadline allows that.
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/b", "key-1").status == 200);
    BOOST_TEST((boot_clock::now() - paused >= milliseconds(1150)));
    BOOST_TEST((boot_clock::now() - paused < milliseconds(2000)));

    target.request_handler = [&](const auto& request) {
        test_target::refuse(*request, 503, {{"Retry-After", "30"}});
    };
    BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/c", "key-1").status == 503);
    const time_point start = boot_clock::now();
    const fetched refused = fleet.get(fleet.callers_address(0), "/safe/d", "key-1");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(std::stod(refused.header("Retry-After")) > 28);
    BOOST_TEST((boot_clock::now() - start < milliseconds(300)));
    BOOST_TEST(target.request_counts["/safe/d"] == 0);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_and_one_at_a_reused_address_get_no_requests) {
    edge_fleet fleet(67);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& first = fleet.add_target("i-1");
    test_target& second = fleet.add_target("i-2");
    fleet.start();
    fleet.register_target(first, "draining");
    fleet.run_for(milliseconds(1500));
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/a", "key-1").status == 200);
    }
    BOOST_TEST(first.request_counts["/safe/a"] == 0);
    fleet.register_target(first, "ready");
    fleet.run_for(milliseconds(1500));
    second.request_handler = [](const auto& request) { test_target::refuse(*request, 421); };
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(fleet.get(fleet.callers_address(0), "/safe/b", "key-1").status == 200);
    }
    BOOST_TEST(second.request_counts["/safe/b"] <= 1);
}

BOOST_AUTO_TEST_CASE(the_rate_limit_of_an_account_holds_over_two_edges) {
    edge_fleet fleet(68, 2);
    nlohmann::json policy = edge_fleet::usual_policy("00000002");
    policy["resources"][4]["spec"]["rate-per-s"] = 20;
    policy["resources"][4]["spec"]["burst"] = 10;
    fleet.write("op/config", policy.dump());
    fleet.add_target("i-1");
    fleet.start();
    fleet.run_for(milliseconds(1500));
    const time_point start = boot_clock::now();
    std::vector<std::shared_ptr<std::optional<fetched>>> answers;
    const timer pump = fleet.events.every(milliseconds(10), [&] {
        const int edge = static_cast<int>(answers.size() % 2);
        answers.push_back(fleet.send(fleet.callers_address(edge),
                                     edge_fleet::make_request("GET", "/safe/q", "key-1")));
    });
    fleet.run_for(seconds(4));
    const double spent_s = to_seconds(boot_clock::now() - start);
    const int ran = fleet.total_requests("/safe/q");
    // The users' limit for a window: 1.1 times what rate and burst allow, plus 20 requests.
    BOOST_TEST(ran <= (20 * spent_s + 10) * 1.1 + 20);
    BOOST_TEST(ran >= 20 * spent_s * 0.7);
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_sends_a_ready_response_queued_behind_an_unanswered_request) {
    edge_fleet fleet(69);
    fleet.bounds["stop_grace_s"] = 3;
    nlohmann::json policy = edge_fleet::usual_policy("00000002");
    policy["resources"][0]["spec"]["timeout-ms"] = 20'000;
    policy["resources"][0]["spec"]["max-attempts"] = 1;
    fleet.write("op/config", policy.dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    target.request_handler = [&](const auto& request) {
        if (request->uri() == "/safe/silent") {
            target.unanswered.push_back(request);
        } else {
            target.answer(*request, 200, "answer to " + request->uri());
        }
    };
    raw_socket caller;
    caller.connect(fleet.callers_address(0));
    caller.send("GET /safe/silent HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
                "X-Request-Id: r1\r\n\r\n"
                "GET /safe/ready HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
                "X-Request-Id: r2\r\n\r\n");
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.total_requests("/safe/ready") == 1; }));
    fleet.daemons.at(0).signal(SIGTERM);
    BOOST_TEST(fleet.wait_ready(0, 503));
    std::string received;
    fleet.run_until([&] {
        received += caller.read_available();
        return fleet.daemons.at(0).has_ended();
    });
    received += caller.read_available();
    BOOST_TEST(received.find("HTTP/1.1 504") != std::string::npos);
    BOOST_TEST(received.find("answer to /safe/ready") != std::string::npos);
}

// Guards against requests that are passed on late in a planned stop and broken off at its end
// (LOST): a caller that pipelines has one request or another running all the time.
BOOST_AUTO_TEST_CASE(a_graceful_stop_ends_a_pipelined_connection_after_its_running_requests) {
    edge_fleet fleet(76);
    fleet.bounds["stop_grace_s"] = 6;
    nlohmann::json policy = edge_fleet::usual_policy("00000002");
    policy["resources"][0]["spec"]["max-attempts"] = 1;
    fleet.write("op/config", policy.dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    std::deque<std::pair<time_point, test_target::request_ptr>> working;
    target.request_handler = [&](const auto& request) {
        working.emplace_back(boot_clock::now(), request);
    };
    constexpr duration work_time = milliseconds(700);
    constexpr duration send_interval = milliseconds(200);
    const timer work = fleet.events.every(milliseconds(5), [&] {
        while (!working.empty() && boot_clock::now() - working.front().first > work_time) {
            target.answer(*working.front().second);
            working.pop_front();
        }
    });
    raw_socket caller;
    caller.connect(fleet.callers_address(0));
    int sent = 0;
    std::string received;
    const auto send_next = [&] {
        received += caller.read_available();
        if (received.find("Connection: close") == std::string::npos &&
            !caller.is_closed_by_peer()) {
            const std::string number = std::to_string(++sent);
            std::string request = "GET /safe/";
            request.append(number).append(" HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n");
            request.append("X-Request-Id: r").append(number).append("\r\n\r\n");
            caller.send(request);
        }
    };
    const timer client = fleet.events.every(send_interval, send_next);
    fleet.run_for(milliseconds(1000));
    fleet.daemons.at(0).signal(SIGTERM);
    fleet.run_for(milliseconds(200));
    const std::size_t passed_on = target.request_counts.size();
    BOOST_TEST(fleet.run_until([&] { return fleet.daemons.at(0).has_ended(); }));
    received += caller.read_available();
    BOOST_TEST(target.request_counts.size() == passed_on);
    std::size_t answered = 0;
    for (auto at = received.find("HTTP/1.1 200"); at != std::string::npos;
         at = received.find("HTTP/1.1 200", at + 1)) {
        ++answered;
    }
    BOOST_TEST(answered == passed_on);
    BOOST_TEST(received.find("HTTP/1.1 504") == std::string::npos);
}

// Guards against a request that was being received for long when a planned stop began, is passed on
// late and broken off at its end (LOST).
BOOST_AUTO_TEST_CASE(a_graceful_stop_refuses_a_request_that_is_complete_only_late) {
    edge_fleet fleet(77);
    fleet.bounds["stop_grace_s"] = 3;
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    never_answer(target);
    // A running request of another caller keeps the process from ending sooner.
    const auto running =
        fleet.send(fleet.callers_address(0), edge_fleet::make_request("GET", "/open/1"));
    raw_socket caller;
    caller.connect(fleet.callers_address(0));
    caller.send("POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
                "X-Request-Id: r1\r\nContent-Length: 4\r\n\r\nbo");
    fleet.run_for(milliseconds(200));
    fleet.daemons.at(0).signal(SIGTERM);
    fleet.run_for(milliseconds(1800));
    caller.send("dy");
    std::string received;
    fleet.run_until([&] {
        received += caller.read_available();
        return fleet.daemons.at(0).has_ended();
    });
    received += caller.read_available();
    BOOST_TEST(received.starts_with("HTTP/1.1 503"), received);
    BOOST_TEST(received.find("Knapweedknot-Error: stopping") != std::string::npos);
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
    BOOST_TEST(fleet.total_requests("/once/1") == 0);
}

// A caller reports the id of a failed request: the logs alone must show the cause.
BOOST_AUTO_TEST_CASE(the_logs_alone_show_why_a_request_failed) {
    edge_fleet fleet(75);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    test_target& target = fleet.add_target("i-1");
    fleet.start();
    never_answer(target);
    http_request lost = edge_fleet::make_request("POST", "/once/1", "key-1");
    lost.headers.push_back({"X-Request-Id", "complaint-1"});
    const fetched late = fleet.fetch(fleet.callers_address(0), std::move(lost));
    BOOST_TEST(late.status == 504);
    fleet.set_outage("refuse");
    fleet.run_for(milliseconds(2000));
    http_request unconfirmed = edge_fleet::make_request("GET", "/safe/1", "key-1");
    unconfirmed.headers.push_back({"X-Request-Id", "complaint-2"});
    const fetched refused = fleet.fetch(fleet.callers_address(0), std::move(unconfirmed));
    BOOST_TEST(refused.status == 503);

    std::vector<log_line> log;
    std::istringstream text(fleet.log_of(0));
    for (std::string line; std::getline(text, line);) {
        if (auto parsed = parse_log_line(line, "edge-0")) {
            log.push_back(std::move(*parsed));
        }
    }
    const request_explanation silent = explain_request(log, "complaint-1");
    BOOST_TEST(silent.cause.find("Target i-1 was taken out: 1 running") != std::string::npos,
               silent.cause);
    const request_explanation stale = explain_request(log, "complaint-2");
    BOOST_TEST(stale.cause.find("could not prove that its policy is the newest") !=
                   std::string::npos,
               stale.cause);
    BOOST_TEST(std::any_of(stale.lines.begin(), stale.lines.end(),
                           [](const log_line& line) { return line.event == "store_lost"; }));
}
