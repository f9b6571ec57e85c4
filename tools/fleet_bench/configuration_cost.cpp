#include "benches.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "fleet.h"
#include "load_generator.h"

namespace knapweedknot::bench {

namespace {

constexpr int entities_per_patch = 1000;
constexpr int measured_patches = 9;
constexpr double ms_per_second = 1000;

struct configuration_size {
    int accounts;
    int routes;
};
constexpr std::array sizes{configuration_size{100, 20}, configuration_size{1000, 200},
                           configuration_size{10'000, 2000}};

void add_accounts(harness::fleet& fleet, int from, int to) {
    for (int start = from; start < to; start += entities_per_patch) {
        nlohmann::json accounts = nlohmann::json::object();
        for (int i = start; i < std::min(to, start + entities_per_patch); ++i) {
            accounts["account-" + std::to_string(i)] = {{"rate_per_s", 1000}, {"burst", 1000}};
        }
        fleet.patch({{"accounts", accounts}});
    }
}

void add_routes(harness::fleet& fleet, int from, int to) {
    for (int start = from; start < to; start += entities_per_patch) {
        nlohmann::json routes = nlohmann::json::object();
        for (int i = start; i < std::min(to, start + entities_per_patch); ++i) {
            const std::string number = std::to_string(i);
            routes["route-" + number] = {{"path_prefix", "/prefix-" + number}, {"service", "work"}};
        }
        fleet.patch({{"routes", routes}});
    }
}

/// Time until a small patch is in force everywhere, in milliseconds.
double patch_time_ms(harness::fleet& fleet, int round) {
    const time_point start = boot_clock::now();
    fleet.patch({{"accounts", {{"account-1", {{"rate_per_s", 1000 + round}, {"burst", 1000}}}}}});
    return to_seconds(boot_clock::now() - start) * ms_per_second;
}

/// Processor time of instance 0 per answered request, in microseconds.
double request_cost_us(harness::fleet& fleet, const std::string& key, std::uint64_t seed) {
    harness::load_options given{
        "lookups", key, "/prefix-7/x", "GET", 2000, {fleet.callers_address(0)}, false};
    harness::load_generator callers(fleet.events(), given, seed);
    const double before = fleet.instance(0).cpu_seconds();
    callers.start();
    harness::run_for(fleet.events(), seconds(5));
    callers.stop();
    harness::run_for(fleet.events(), milliseconds(300));
    const auto answered =
        std::count_if(callers.records().begin(), callers.records().end(),
                      [](const harness::request_record& record) { return record.status == 200; });
    return (fleet.instance(0).cpu_seconds() - before) / static_cast<double>(answered) * 1e6;
}

} // namespace

int measure_configuration(const bench_options& options) {
    harness::fleet_options wanted;
    wanted.network = bench_network;
    wanted.behaviour = {{"latency_ms", 0}, {"slots", 1000}, {"connections", 100000}};
    harness::fleet fleet(wanted);
    fleet.start();
    nlohmann::json service = fleet.service_settings();
    service["slots_per_target"] = 1000;
    service["connections_per_target"] = 40000;
    fleet.patch({{"services", {{"work", service}}}});
    std::printf("%9s %9s %14s %14s %14s %12s\n", "accounts", "routes", "patch ms p50",
                "patch ms max", "request us", "memory MB");
    configuration_size current_size{0, 0};
    std::string key;
    for (const configuration_size& size : sizes) {
        add_accounts(fleet, current_size.accounts, size.accounts);
        add_routes(fleet, current_size.routes, size.routes);
        current_size = size;
        if (key.empty()) {
            key = fleet.add_api_key("account-7");
        }
        std::vector<double> times;
        times.reserve(measured_patches);
        for (int round = 0; round < measured_patches; ++round) {
            times.push_back(patch_time_ms(fleet, round));
        }
        std::printf("%9d %9d %14.1f %14.1f %14.1f %12.1f\n", size.accounts, size.routes,
                    harness::quantile(times, 0.5), harness::quantile(times, 1.0),
                    request_cost_us(fleet, key, options.seed),
                    fleet.instance(0).resident_bytes() / 1e6);
        std::fflush(stdout);
    }
    return 0;
}

} // namespace knapweedknot::bench
