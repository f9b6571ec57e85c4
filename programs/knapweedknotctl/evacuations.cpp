#include "evacuations.h"

#include <iomanip>
#include <iostream>

#include <nlohmann/json.hpp>

#include "exit_codes.h"
#include "log_reader/metrics_text.h"

namespace knapweedknot {

namespace {

constexpr int status_ok = 200;

int print_json(const std::vector<metric_sample>& evacuated, double confirmation_age_s) {
    nlohmann::json domains = nlohmann::json::array();
    for (const metric_sample& domain : evacuated) {
        domains.push_back({{"failure_domain", domain.label}, {"known_for_s", domain.value}});
    }
    std::cout
        << nlohmann::json{{"evacuated", domains}, {"confirmation_age_s", confirmation_age_s}}.dump()
        << '\n';
    return exit_success;
}

} // namespace

int run_evacuations(const command_input& input) {
    const auto response = call(input.target, "GET", "/metrics", "", "");
    if (!response || response->status != status_ok) {
        std::cerr << "knapweedknotctl: "
                  << (response ? "the instance answered " + std::to_string(response->status)
                               : response.error().detail)
                  << '\n';
        return response ? exit_refused : exit_unreachable;
    }
    const auto age = read_metric(response->text, "evacuation_proof_age_seconds");
    if (age.empty()) {
        std::cerr << "knapweedknotctl: the instance does not follow evacuation orders, or this is "
                     "not its metrics address\n";
        return exit_refused;
    }
    const double confirmation_age_s = age.front().value;
    const auto evacuated = read_metric(response->text, "failure_domain_evacuated_seconds");
    if (input.json) {
        return print_json(evacuated, confirmation_age_s);
    }
    std::cout << std::fixed << std::setprecision(1);
    for (const metric_sample& domain : evacuated) {
        std::cout << std::left << std::setw(20) << domain.label << " evacuated, known for "
                  << domain.value << " s\n";
    }
    if (evacuated.empty()) {
        std::cout << "no failure domain is evacuated\n";
    }
    if (confirmation_age_s < 0) {
        std::cout << "not confirmed yet\n";
    } else {
        std::cout << "confirmed " << confirmation_age_s << " s ago\n";
    }
    return exit_success;
}

} // namespace knapweedknot
