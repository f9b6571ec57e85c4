#pragma once

#include <map>
#include <string>
#include <vector>

/// \file
/// Reads the execution log of the stand-in targets and checks it against rate bounds.

namespace knapweedknot::harness {

/// One execution that a target has started.
struct execution_record {
    /// Boot-clock time of the start, in seconds.
    double started_at_s{0};
    std::string account;
    std::string target;
    std::string idempotency_key;
    std::string uri;
};

/// Started executions in the log at \p path, ordered by start time.
[[nodiscard]] std::vector<execution_record> read_executions(const std::string& path);

/// Largest excess of the number of executions over rate_per_s * T + burst in any window of T
/// seconds; negative when the bound is never reached. \pre \p times_s ascends
[[nodiscard]] double max_rate_excess(const std::vector<double>& times_s, double rate_per_s,
                                     double burst);

/// Start times in seconds of each account, in the order of \p executions.
[[nodiscard]] std::map<std::string, std::vector<double>>
start_times_by_account(const std::vector<execution_record>& executions);

} // namespace knapweedknot::harness
