#include "site.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace knapweedknot::soak {

namespace {

nlohmann::json route(const request_kind& kind, const policy& wanted) {
    const auto timeout = std::chrono::duration<double, std::milli>(kind.timeout).count();
    nlohmann::json spec{{"hostname", host_name},
                        {"prefix", "/" + kind.name + "/"},
                        {"kind", kind.is_safe() ? "safe" : "unsafe"},
                        {"timeout-ms", static_cast<int>(timeout * wanted.timeout_factor)},
                        {"target-latency-ms", 2000},
                        {"priority", 1},
                        {"service", kind.service},
                        {"max-attempts", 2},
                        {"public", false}};
    if (kind.name == kinds.back().name) {
        spec["service"] = wanted.moved_to;
        if (wanted.split_weight > 0) {
            constexpr int whole = 100;
            spec.erase("service");
            spec["traffic-split"] = {
                {{"service", kind.service}, {"weight", whole - wanted.split_weight}},
                {{"service", kinds.front().service}, {"weight", wanted.split_weight}}};
        }
    }
    return {{"resource-kind", "routes"}, {"metadata", {{"name", kind.name}}}, {"spec", spec}};
}

} // namespace

nlohmann::json policy_document(const policy& wanted, unsigned version) {
    nlohmann::json resources = nlohmann::json::array();
    for (const request_kind& kind : kinds) {
        resources.push_back(route(kind, wanted));
        resources.push_back({{"resource-kind", "services"},
                             {"metadata", {{"name", kind.service}}},
                             {"spec", {{"health-path", "/health"}, {"max-connections", 330}}}});
    }
    for (int number = 0; number < wanted.idle_routes; ++number) {
        request_kind unused = kinds.front();
        unused.name = "unused-" + std::to_string(number);
        resources.push_back(route(unused, wanted));
    }
    resources.push_back({{"resource-kind", "tenants"},
                         {"metadata", {{"name", "soak"}}},
                         {"spec", {{"api-keys", {api_key}}, {"rate-per-s", 0}, {"burst", 0}}}});
    resources.push_back({{"resource-kind", "limits"},
                         {"metadata", {{"name", "limits"}}},
                         {"spec",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", wanted.max_body_bytes},
                           {"header-timeout-ms", to_milliseconds(wanted.header_timeout)},
                           {"idle-timeout-ms", to_milliseconds(wanted.idle_timeout)}}}});
    std::array<char, 16> digits{};
    std::snprintf(digits.data(), digits.size(), "%08x", version);
    return {{"version", digits.data()}, {"resources", resources}};
}

std::vector<std::string> services_of_targets(int count) {
    const int whole = std::accumulate(target_shares.begin(), target_shares.end(), 0);
    std::vector<std::string> services;
    int passed = 0;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        passed += target_shares.at(kind);
        const auto upto = static_cast<std::size_t>(count * passed / whole);
        const std::size_t least = services.size() + 1;
        services.resize(std::max(least, upto), kinds.at(kind).service);
    }
    return services;
}

} // namespace knapweedknot::soak
