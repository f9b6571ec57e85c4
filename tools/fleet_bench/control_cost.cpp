#include "benches.h"

#include <array>
#include <cstdio>

#include "fleet.h"

namespace knapweedknot::bench {

namespace {

constexpr std::array instance_counts{8, 16, 32, 44};
constexpr duration warm_up_time = seconds(10);
constexpr duration measurement_time = seconds(20);
// IPv4 and TCP headers of one segment, with the time stamp option.
constexpr double segment_header_bytes = 52;
// IPv4 and UDP headers.
constexpr double datagram_header_bytes = 28;

/// Resource use and traffic, summed over all instances.
struct totals {
    double cpu_s{0};
    double memory_bytes{0};
    double peer_bytes{0};
    double store_calls{0};
    double segments{0};
    double datagrams{0};
};

/// TCP segments sent by all sockets of this network namespace, from the system's counters.
double segments_sent() {
    std::FILE* file = std::fopen("/proc/net/snmp", "r");
    double sent = 0;
    char line[1024];
    bool values_found = false;
    while (file != nullptr && std::fgets(line, sizeof line, file) != nullptr) {
        double values[12] = {};
        if (std::sscanf(line, "Tcp: %lf %lf %lf %lf %lf %lf %lf %lf %lf %lf %lf", &values[0],
                        &values[1], &values[2], &values[3], &values[4], &values[5], &values[6],
                        &values[7], &values[8], &values[9], &values[10]) == 11) {
            // Field 11 is OutSegs.
            sent = values[10];
            values_found = true;
        }
    }
    if (file != nullptr) {
        std::fclose(file);
    }
    return values_found ? sent : 0;
}

totals collect(harness::fleet& fleet, int count) {
    totals sum;
    for (int i = 0; i < count; ++i) {
        sum.cpu_s += fleet.instance(i).cpu_seconds();
        sum.memory_bytes += fleet.instance(i).resident_bytes();
        const auto status = fleet.send_operator_request(i, "GET", "/v1/status");
        if (status && status->body.is_object()) {
            sum.datagrams += status->body.at("peer_datagrams_sent").get<double>();
            sum.peer_bytes += status->body.at("peer_bytes_sent").get<double>();
        }
    }
    sum.store_calls = fleet.platform_counts().value("total", 0.0);
    sum.segments = segments_sent();
    return sum;
}

} // namespace

int measure_control(const bench_options& /*options*/) {
    std::printf("%9s %12s %14s %12s %12s %14s %12s\n", "instances", "payload B/s", "with headers",
                "cpu %", "memory MB", "store calls/s", "per inst 10s");
    for (const int count : instance_counts) {
        harness::fleet_options wanted;
        wanted.network = bench_network;
        wanted.instances = count;
        wanted.targets = 30;
        harness::fleet fleet(wanted);
        fleet.start();
        nlohmann::json accounts = nlohmann::json::object();
        for (int i = 0; i < 8; ++i) {
            accounts["account-" + std::to_string(i)] = {{"rate_per_s", 100}, {"burst", 50}};
        }
        fleet.patch({{"accounts", accounts},
                     {"services", {{"work", fleet.service_settings()}}},
                     {"routes", {{"all", {{"path_prefix", "/"}, {"service", "work"}}}}}});
        harness::run_for(fleet.events(), warm_up_time);
        const totals before = collect(fleet, count);
        const time_point start = boot_clock::now();
        harness::run_for(fleet.events(), measurement_time);
        const double elapsed = to_seconds(boot_clock::now() - start);
        const totals after = collect(fleet, count);
        const double instance_seconds = elapsed * count;
        const double payload = (after.peer_bytes - before.peer_bytes) / instance_seconds;
        const double headers = ((after.segments - before.segments) * segment_header_bytes +
                                (after.datagrams - before.datagrams) * datagram_header_bytes) /
                               instance_seconds;
        const double calls = (after.store_calls - before.store_calls) / elapsed;
        std::printf("%9d %12.0f %14.0f %12.2f %12.1f %14.2f %12.2f\n", count, payload,
                    payload + headers, (after.cpu_s - before.cpu_s) / instance_seconds * 100,
                    after.memory_bytes / count / 1e6, calls, calls / count * 10);
        std::fflush(stdout);
    }
    return 0;
}

} // namespace knapweedknot::bench
