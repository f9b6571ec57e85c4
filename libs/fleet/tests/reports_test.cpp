#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <vector>

#include "fleet/fleet_reports.h"

using namespace knapweedknot;

namespace {

constexpr std::uint64_t target_hash = 0xfedcba9876543210;
constexpr std::uint64_t account_hash = 0x8000000000000001;

peer_info describe(const std::string& name, std::uint64_t incarnation, std::uint16_t port) {
    peer_info info;
    info.instance.value = name;
    info.incarnation.value = incarnation;
    info.failure_domain.value = "domain";
    info.peers_address = {"127.0.0.1", port};
    info.peers_listen = info.peers_address;
    info.callers_address = {"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
    return info;
}

report_times short_times() {
    report_times times;
    times.busy_interval = milliseconds(10);
    times.near_interval = milliseconds(30);
    times.far_interval = milliseconds(30);
    times.silent_intervals = 20;
    times.silent_busy_intervals = 10;
    return times;
}

/// One instance's reports on a mesh of its own.
struct reporter {
    loop& events;
    fleet_report own;
    std::vector<report_kind> kinds;
    mesh network;
    fleet_reports reports;

    reporter(loop& event_loop, const peer_info& info, const report_times& times = short_times())
        : events(event_loop),
          network(event_loop, info,
                  {[this](const peer_info& from, const wire::messageT& message) {
                       if (const auto* report = message.body.Asreport(); report != nullptr) {
                           this->reports.handle(from, *report);
                       }
                   },
                   [](const auto&, const auto&) {},
                   [this](const peer_info& peer) { this->reports.peer_connected(peer); },
                   [this](const peer_info& peer) { this->reports.peer_disconnected(peer); }}),
          reports(event_loop, network, times) {
        this->reports.make_report = [this](report_kind kind) {
            fleet_report report = this->own;
            report.in_full = kind == report_kind::full;
            this->kinds.push_back(kind);
            if (!report.in_full) {
                report.targets.clear();
            }
            return report;
        };
    }
    void start() {
        BOOST_REQUIRE(this->network.listen().has_value());
        this->reports.start();
    }
};

template <typename Condition>
bool run_until(loop& events, Condition condition) {
    const time_point end = boot_clock::now() + seconds(5);
    const timer poll = events.every(milliseconds(1), [&] {
        if (condition() || boot_clock::now() > end) {
            events.stop();
        }
    });
    events.run();
    return condition();
}

} // namespace

BOOST_AUTO_TEST_CASE(what_runs_at_a_target_is_summed_over_serving_instances) {
    loop events;
    reporter first(events, describe("a", 1, 18980));
    reporter second(events, describe("b", 2, 18982));
    first.own.serving = true;
    second.own.serving = true;
    second.own.targets[target_hash] = {3, 5.5, 1.25, milliseconds(800)};
    second.own.accounts[account_hash] = {17, -4};
    first.start();
    second.start();
    first.network.learn({"127.0.0.1", 18982}, false);
    const auto total = [&] { return first.reports.total_at(target_hash, boot_clock::now()); };
    BOOST_REQUIRE(run_until(events, [&] { return total().running == 3; }));
    BOOST_TEST(total().silence == 5.5);
    BOOST_TEST(total().failures == 1.25);
    BOOST_TEST((total().out > milliseconds(500)));
    const fleet_report& heard = *first.reports.peers().begin()->second.report;
    BOOST_TEST(heard.accounts.at(account_hash).admitted == 17U);
    BOOST_TEST(heard.accounts.at(account_hash).tokens == -4);
    second.own.targets.clear();
    BOOST_TEST(run_until(events, [&] { return total().running == 0; }));
}

BOOST_AUTO_TEST_CASE(all_peers_hear_at_once_that_an_instance_begins_to_serve) {
    report_times times = short_times();
    times.near_interval = seconds(60);
    times.far_interval = seconds(60);
    loop events;
    reporter first(events, describe("a", 1, 18984), times);
    reporter second(events, describe("b", 2, 18986), times);
    first.start();
    second.start();
    first.network.learn({"127.0.0.1", 18986}, false);
    const auto heard = [&]() -> const fleet_report* {
        const auto& peers = first.reports.peers();
        return peers.empty() || !peers.begin()->second.report ? nullptr
                                                              : &*peers.begin()->second.report;
    };
    BOOST_REQUIRE(run_until(events, [&] { return heard() != nullptr; }));
    BOOST_TEST(!heard()->serving);
    second.own.serving = true;
    second.own.accounts[account_hash] = {17, -4};
    BOOST_REQUIRE(run_until(events, [&] { return heard()->serving; }));
    BOOST_TEST(heard()->accounts.at(account_hash).admitted == 17U);
}

// Pattern: serving instances are cut off from each other and their callers still reach them all.
// One that misses reports may go on admitting, so it must not count as heard until its link is
// given up.
BOOST_AUTO_TEST_CASE(a_serving_peer_that_misses_reports_soon_counts_as_unheard) {
    report_times far_apart = short_times();
    far_apart.busy_interval = seconds(60);
    report_times patient = short_times();
    patient.near_interval = seconds(60);
    loop events;
    reporter first(events, describe("a", 1, 18988), patient);
    reporter second(events, describe("b", 2, 18990), far_apart);
    first.own.serving = true;
    second.own.serving = true;
    first.start();
    second.start();
    first.network.learn({"127.0.0.1", 18990}, false);
    const auto count = [&] { return first.reports.count_serving(boot_clock::now()); };
    BOOST_REQUIRE(run_until(events, [&] { return count().heard == 1; }));
    BOOST_REQUIRE(run_until(events, [&] { return count().unheard == 1; }));
    BOOST_TEST(count().heard == 0);
    BOOST_TEST(first.reports.heard_peers() == 1U);
}

// Pattern: a partition heals. What a peer admitted before it was lost has been counted already.
BOOST_AUTO_TEST_CASE(a_peer_that_is_back_is_compared_with_its_last_report) {
    loop events;
    reporter first(events, describe("a", 1, 18992));
    reporter second(events, describe("b", 2, 18994));
    second.own.serving = true;
    second.own.accounts[account_hash] = {100, 0};
    std::vector<std::uint32_t> earlier;
    first.reports.on_report = [&](const reporting_peer&, const fleet_report* before) {
        earlier.push_back(before == nullptr ? 0 : before->accounts.at(account_hash).admitted);
    };
    first.start();
    second.start();
    first.network.learn({"127.0.0.1", 18994}, false);
    BOOST_REQUIRE(run_until(events, [&] { return earlier.size() > 2; }));
    BOOST_TEST(earlier.front() == 0U);
    second.own.accounts[account_hash] = {130, 0};
    first.network.drop(incarnation_id{2});
    BOOST_REQUIRE(run_until(events, [&] { return first.reports.peers().empty(); }));
    earlier.clear();
    BOOST_REQUIRE(run_until(events, [&] { return !earlier.empty(); }));
    BOOST_TEST(earlier.front() >= 100U);
    BOOST_TEST(std::count(second.kinds.begin(), second.kinds.end(), report_kind::introduction) ==
               2);
}

// Guards against confirmed changes that come late: reports between many serving instances filled
// the links on which the store's answers, requests and their answers wait.
BOOST_AUTO_TEST_CASE(reports_of_many_serving_instances_leave_the_link_to_requests) {
    constexpr std::size_t instances = 24;
    constexpr std::uint64_t targets = 200;
    constexpr std::uint64_t accounts = 70;
    constexpr std::uint16_t first_port = 18900;
    // A tenth of a link of 10 Mbit/s.
    constexpr double report_bytes_per_s = 125'000;
    loop events;
    std::list<reporter> fleet;
    for (std::size_t i = 0; i < instances; ++i) {
        const auto port = static_cast<std::uint16_t>(first_port + 2 * i);
        reporter& added = fleet.emplace_back(events, describe("i" + std::to_string(i), i + 1, port),
                                             report_times{});
        added.own.serving = true;
        for (std::uint64_t target = 1; target <= targets; ++target) {
            added.own.targets[target] = {1, 0.5, 0.5, milliseconds(0)};
        }
        for (std::uint64_t account = 1; account <= accounts; ++account) {
            added.own.accounts[account] = {1, 10};
        }
        added.start();
        added.network.learn({"127.0.0.1", first_port}, false);
    }
    const auto is_whole = [&] {
        return std::all_of(fleet.begin(), fleet.end(), [](const reporter& item) {
            return item.reports.count_serving(boot_clock::now()).heard == instances - 1;
        });
    };
    BOOST_REQUIRE(run_until(events, is_whole));
    const std::uint64_t before = fleet.front().network.traffic().sent;
    const time_point began = boot_clock::now();
    // Accounts press, so that each admission should be told soon.
    const timer pressing = events.every(milliseconds(20), [&] {
        for (reporter& item : fleet) {
            ++item.own.accounts[1].admitted;
            item.reports.hurry();
        }
    });
    run_until(events, [&] { return boot_clock::now() - began > seconds(4); });
    const double sent = static_cast<double>(fleet.front().network.traffic().sent - before);
    BOOST_TEST(sent / to_seconds(boot_clock::now() - began) < report_bytes_per_s);
    // The admissions are told all the same.
    const auto& told = fleet.back().reports.peers().begin()->second;
    BOOST_TEST((boot_clock::now() - told.heard < milliseconds(450)));
    BOOST_TEST(told.report->accounts.at(1).admitted + 40 > fleet.front().own.accounts[1].admitted);
}
