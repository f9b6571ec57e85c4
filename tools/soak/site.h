#pragma once

#include <array>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/clock.h"

/// \file
/// What the soak serves: kinds of requests, services and policies.

namespace knapweedknot::soak {

/// One kind of request, with the bounds from which each request's work and response are drawn.
struct request_kind {
    std::string name;
    std::string method;
    std::string service;
    /// Mean and spread (of the logarithm) of the work time, and its limit.
    double mean_work_ms;
    double spread;
    double max_work_ms;
    double max_answer_bytes;
    duration deadline;
    duration timeout;
    /// Callers send further ones before the first is answered.
    bool is_pipelined;
    /// Share among the kinds that the same callers send.
    double weight;

    /// May run more than once.
    [[nodiscard]] bool is_safe() const { return this->method == "GET"; }
};

inline const std::array<request_kind, 4> kinds{{
    {"layout-lookup", "GET", "layoutdesk", 610, 0.8, 4500, 30000, seconds(10), seconds(5), false,
     1.8},
    {"code-register", "POST", "coderegistry", 460, 0.8, 2800, 2400, seconds(12), seconds(6), false,
     5.7},
    {"stock-list", "GET", "stockbook", 1100, 0.5, 8700, 30000, seconds(20), seconds(10), true, 2.2},
    {"margin-spec", "GET", "marginsheet", 180, 0.3, 1400, 2400, seconds(5), seconds(5), true, 1.5},
}};

/// Targets of each service of `kinds`, of 31.
inline constexpr std::array<int, 4> target_shares{6, 10, 9, 6};

inline constexpr const char* host_name = "soak.example";
inline constexpr const char* api_key = "soak-key-1";
/// Time from SIGTERM to SIGKILL.
inline constexpr duration stop_grace = seconds(6);
inline constexpr duration policy_apply = seconds(2);

/// What policies change.
struct policy {
    duration idle_timeout{seconds(15)};
    double timeout_factor{1};
    duration header_timeout{seconds(3)};
    std::size_t max_body_bytes{1 << 20};
    /// Routes that no caller uses.
    int idle_routes{4};
    /// Share of the last kind's requests that another service runs; 0: no split.
    int split_weight{0};
    /// Service of the last kind.
    std::string moved_to{"marginsheet"};
};

/// The document for the store.
[[nodiscard]] nlohmann::json policy_document(const policy& wanted, unsigned version);
/// The service of each of \p count targets.
[[nodiscard]] std::vector<std::string> services_of_targets(int count);

} // namespace knapweedknot::soak
