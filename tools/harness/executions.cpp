#include "executions.h"

#include <algorithm>
#include <fstream>
#include <limits>

#include <nlohmann/json.hpp>

namespace knapweedknot::harness {

std::vector<execution_record> read_executions(const std::string& path) {
    constexpr double ms_per_second = 1000;
    std::vector<execution_record> all;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const nlohmann::json item = nlohmann::json::parse(line, nullptr, false);
        if (item.is_object() && item.value("step", "") == "started") {
            all.push_back({item.at("at_ms").get<double>() / ms_per_second,
                           item.value("account", ""), item.value("target", ""),
                           item.value("idempotency_key", ""), item.value("uri", "")});
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
        return left.started_at_s < right.started_at_s;
    });
    return all;
}

double max_rate_excess(const std::vector<double>& times_s, double rate_per_s, double burst) {
    // Maximum over all i <= j of (j - i + 1) - rate * (t_j - t_i) - burst, in one pass with a
    // running minimum of i - rate * t_i.
    double max_excess = -std::numeric_limits<double>::infinity();
    double min_level = std::numeric_limits<double>::infinity();
    for (std::size_t j = 0; j < times_s.size(); ++j) {
        const double level = static_cast<double>(j) - rate_per_s * times_s[j];
        min_level = std::min(min_level, level);
        max_excess = std::max(max_excess, level + 1 - min_level - burst);
    }
    return max_excess;
}

std::map<std::string, std::vector<double>>
start_times_by_account(const std::vector<execution_record>& executions) {
    std::map<std::string, std::vector<double>> times;
    for (const execution_record& item : executions) {
        times[item.account].push_back(item.started_at_s);
    }
    return times;
}

} // namespace knapweedknot::harness
