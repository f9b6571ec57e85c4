#include "benches.h"

#include <cstdio>

#include "fleet.h"
#include "load_generator.h"

namespace knapweedknot::bench {

namespace {

constexpr double request_rate_per_s = 1000;
constexpr duration latency_run_time = seconds(20);
constexpr duration throughput_run_time = seconds(10);
constexpr int closed_loop_clients = 32;
constexpr double ms_per_second = 1000;

std::vector<double> latencies_ms(const harness::load_generator& callers) {
    std::vector<double> values;
    for (const harness::request_record& record : callers.records()) {
        if (record.status == 200) {
            values.push_back(to_seconds(record.latency) * ms_per_second);
        }
    }
    return values;
}

std::string start_fleet(harness::fleet& fleet) {
    fleet.start();
    nlohmann::json service = fleet.service_settings();
    service["slots_per_target"] = 1000;
    service["connections_per_target"] = 40000;
    fleet.patch({{"accounts", {{"bench", {{"rate_per_s", 1e6}, {"burst", 1e6}}}}},
                 {"services", {{"work", service}}},
                 {"routes", {{"all", {{"path_prefix", "/"}, {"service", "work"}}}}}});
    std::string key = fleet.add_api_key("bench");
    // Quota leases are issued with the next heartbeats.
    harness::run_for(fleet.events(), seconds(3));
    return key;
}

void print_latency(const char* name, const std::vector<double>& values) {
    std::printf("%-22s %9zu %9.3f %9.3f\n", name, values.size(), harness::quantile(values, 0.5),
                harness::quantile(values, 0.99));
}

/// Sends each request when the previous one has completed, on one connection.
class closed_loop_client {
public:
    closed_loop_client(loop& owner, const endpoint& address, std::string key)
        : pool(owner, address, http_client_limits{}), api_key(std::move(key)) {}

    void send() {
        http_request request;
        request.uri = "/work";
        request.headers = {{"Host", "fleet"}, {"Authorization", "Bearer " + this->api_key}};
        this->pool.send(request, seconds(5), [this](const http_outcome& outcome) {
            this->answered += outcome && outcome->status == 200 ? 1 : 0;
            this->send();
        });
    }
    std::uint64_t answered{0};

private:
    http_pool pool;
    std::string api_key;
};

void measure_latency(const bench_options& options) {
    harness::fleet_options wanted;
    wanted.network = bench_network;
    wanted.instances = 1;
    wanted.behaviour = {{"latency_ms", 1}, {"slots", 1000}, {"connections", 100000}};
    harness::fleet fleet(wanted);
    const std::string key = start_fleet(fleet);
    harness::load_options through{
        "through the instance",     key,  "/work", "GET", request_rate_per_s,
        {fleet.callers_address(0)}, false};
    harness::load_options direct = through;
    direct.instances.clear();
    for (int i = 0; i < wanted.targets; ++i) {
        direct.instances.push_back(fleet.target_address(i));
    }
    harness::load_generator proxied(fleet.events(), through, options.seed);
    harness::load_generator unproxied(fleet.events(), direct, options.seed + 1);
    proxied.start();
    unproxied.start();
    harness::run_for(fleet.events(), latency_run_time);
    proxied.stop();
    unproxied.stop();
    harness::run_for(fleet.events(), seconds(1));
    const std::vector<double> proxied_ms = latencies_ms(proxied);
    const std::vector<double> direct_ms = latencies_ms(unproxied);
    std::printf("%-22s %9s %9s %9s\n", "at 1,000 requests/s", "answered", "p50 ms", "p99 ms");
    print_latency("direct to targets", direct_ms);
    print_latency("through one instance", proxied_ms);
    std::printf("%-22s %9s %9.3f %9.3f\n", "added", "",
                harness::quantile(proxied_ms, 0.5) - harness::quantile(direct_ms, 0.5),
                harness::quantile(proxied_ms, 0.99) - harness::quantile(direct_ms, 0.99));
}

void measure_throughput() {
    harness::fleet_options wanted;
    wanted.network = bench_network;
    wanted.instances = 1;
    wanted.behaviour = {{"latency_ms", 0}, {"slots", 1000}, {"connections", 100000}};
    harness::fleet fleet(wanted);
    const std::string key = start_fleet(fleet);
    std::vector<std::unique_ptr<closed_loop_client>> callers;
    for (int i = 0; i < closed_loop_clients; ++i) {
        callers.push_back(
            std::make_unique<closed_loop_client>(fleet.events(), fleet.callers_address(0), key));
        callers.back()->send();
    }
    const auto answered = [&callers] {
        std::uint64_t sum = 0;
        for (const auto& one : callers) {
            sum += one->answered;
        }
        return static_cast<double>(sum);
    };
    harness::run_for(fleet.events(), seconds(2));
    const double before = answered();
    const double cpu_before = fleet.instance(0).cpu_seconds();
    harness::run_for(fleet.events(), throughput_run_time);
    const double requests = answered() - before;
    const double cpu = fleet.instance(0).cpu_seconds() - cpu_before;
    std::printf("\nclosed loop, %d connections: %.0f requests/s, instance used %.2f of a core,\n"
                "%.0f requests per core second, %.1f us of processor time a request\n",
                closed_loop_clients, requests / to_seconds(throughput_run_time),
                cpu / to_seconds(throughput_run_time), requests / cpu, cpu / requests * 1e6);
}

} // namespace

int measure_requests(const bench_options& options) {
    measure_latency(options);
    measure_throughput();
    return 0;
}

} // namespace knapweedknot::bench
