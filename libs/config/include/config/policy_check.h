#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/policy_problem.h"
#include "config/traffic_policy.h"

/// \file
/// Findings of a traffic policy before it is sent: entries that can never match and limits that
/// contradict each other. All functions are thread safe.

namespace knapweedknot {

/// How much a finding matters.
enum class finding_severity : std::uint8_t {
    /// A part of the policy is not in force, never matches, or contradicts another one.
    error,
    /// Probably not intended.
    warning,
    /// Intended in many policies, but easily misunderstood.
    note,
};

/// A finding at a place of a policy.
struct policy_finding {
    finding_severity severity{finding_severity::error};
    policy_place place;
    /// One line for people. Contains no API key.
    std::string message;
};

/// What a check has to know of the deployment.
struct policy_check_options {
    /// Retries that the shared retry budget allows, as a share of the requests.
    double retry_share{0.2};
};

/// Stable name of \p severity: "error", "warning" or "note".
[[nodiscard]] std::string_view to_string(finding_severity severity) noexcept;

/// Findings for the problems of decoding a document: entries of unknown kinds are warnings, all
/// others errors.
[[nodiscard]] std::vector<policy_finding> to_findings(const std::vector<policy_problem>& problems);

/// Checks the entries of a policy, each alone and against each other.
[[nodiscard]] std::vector<policy_finding> check_policy(const traffic_policy::parts& policy,
                                                       const policy_check_options& options);

/// Error if \p number does not replace \p in_force: instances keep the policy with the higher
/// number.
[[nodiscard]] std::vector<policy_finding> check_number(config_number number,
                                                       config_number in_force);

/// Number of findings of \p severity.
[[nodiscard]] std::size_t count_findings(const std::vector<policy_finding>& findings,
                                         finding_severity severity);

} // namespace knapweedknot
