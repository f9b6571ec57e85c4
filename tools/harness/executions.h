#pragma once

#include <map>
#include <string>
#include <vector>

/// \file
/// What the targets ran, read from their logs, and the checks on it.

namespace knapweedknot::harness {

/// One started execution.
struct execution_record {
    double at_s{0};
    std::string account;
    std::string target;
    std::string idempotency_key;
    std::string uri;
};

/// Started executions in the log at \p path, by time.
[[nodiscard]] std::vector<execution_record> read_executions(const std::string& path);

/// Most executions over rate * T + burst in any window of length T; negative when always below.
/// \pre times ascend, in seconds
[[nodiscard]] double worst_excess(const std::vector<double>& times_s, double rate_per_s,
                                  double burst);

/// Start times by account.
[[nodiscard]] std::map<std::string, std::vector<double>>
times_by_account(const std::vector<execution_record>& executions);

} // namespace knapweedknot::harness
