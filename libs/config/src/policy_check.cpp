#include "config/policy_check.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

namespace knapweedknot {

namespace {

// Share of requests that may still fail after the attempts which the retry budget can cover.
constexpr double negligible_share = 0.001;

std::string format_number(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

/// Number of attempts beyond which almost no request uses another one while the retry budget lasts.
/// With a share f of failing attempts, f / (1 - f) retries are needed for each request, so the
/// budget s lasts up to f = s / (1 + s), and one request in f^-n needs more than n attempts.
int covered_attempts(double retry_share) {
    if (retry_share <= 0) {
        return 1;
    }
    const double failing_share = retry_share / (1 + retry_share);
    return static_cast<int>(std::ceil(std::log(negligible_share) / std::log(failing_share)));
}

/// Collects the findings of one policy.
class policy_checker {
public:
    policy_checker(const traffic_policy::parts& checked, const policy_check_options& given)
        : policy(checked), options(given) {
        for (const traffic_service& service : checked.services) {
            this->declared.insert(service.id);
        }
    }

    std::vector<policy_finding> run() && {
        for (const traffic_route& route : this->policy.routes) {
            this->check_address(route);
            this->check_split(route);
            this->check_times(route);
            this->check_attempts(route);
        }
        for (const traffic_account& account : this->policy.accounts) {
            this->check_keys(account);
            this->check_rate(account);
        }
        for (const traffic_service& service : this->policy.services) {
            this->check_service(service);
        }
        this->check_limits();
        this->check_names();
        this->check_conflicts();
        return std::move(this->findings);
    }

private:
    void add(finding_severity severity, policy_place place, std::string message) {
        this->findings.push_back({severity, std::move(place), std::move(message)});
    }
    void add(finding_severity severity, const traffic_route& route, const char* field,
             std::string message) {
        this->add(severity, {std::nullopt, "route", route.id.value, field}, std::move(message));
    }
    void add(finding_severity severity, const traffic_account& account, const char* field,
             std::string message) {
        this->add(severity, {std::nullopt, "account", account.id.value, field}, std::move(message));
    }

    /// Requests are matched by their host without the port and by their path without the query.
    void check_address(const traffic_route& route) {
        if (route.host.empty() || route.host.find_first_of(":/ ") != std::string::npos) {
            this->add(finding_severity::error, route, "host",
                      "never matches: \"" + route.host + "\" is no host name without a port");
        }
        if (route.prefix.find_first_of("?# ") != std::string::npos) {
            this->add(finding_severity::error, route, "prefix",
                      "never matches: no path contains a blank, \"?\" or \"#\"");
        }
    }

    void check_split(const traffic_route& route) {
        std::set<service_id> named;
        for (const weighted_service& row : route.split) {
            if (!named.insert(row.service).second) {
                this->add(finding_severity::warning, route, "split",
                          "names service " + row.service.value + " more than once");
            } else if (!this->declared.contains(row.service)) {
                this->add(this->declared.empty() ? finding_severity::note : finding_severity::error,
                          route, "split",
                          "names service " + row.service.value + ", which no entry declares");
            }
            this->used.insert(row.service);
        }
    }

    void check_times(const traffic_route& route) {
        if (route.timeout < route.latency_target) {
            this->add(finding_severity::error, route, "timeout",
                      "is " + std::to_string(to_milliseconds(route.timeout)) +
                          " ms, below the latency target of " +
                          std::to_string(to_milliseconds(route.latency_target)) + " ms");
        }
    }

    void check_attempts(const traffic_route& route) {
        const int covered = covered_attempts(this->options.retry_share);
        if (!route.idempotent && route.max_attempts > 1) {
            this->add(finding_severity::note, route, "max_attempts",
                      "is above 1, but a request that is not idempotent is only sent again after "
                      "a target has answered that it did not run it");
        } else if (route.idempotent && route.max_attempts > covered) {
            this->add(finding_severity::note, route, "max_attempts",
                      "is " + std::to_string(route.max_attempts) + ", but with retries for " +
                          format_number(this->options.retry_share) +
                          " of the requests, fewer than 1 request in 1000 can use more than " +
                          std::to_string(covered));
        }
    }

    void check_keys(const traffic_account& account) {
        if (account.keys.empty()) {
            this->add(finding_severity::warning, account, "keys",
                      "has none: no request can use the account");
        }
        std::set<std::string> distinct(account.keys.begin(), account.keys.end());
        if (distinct.size() < account.keys.size()) {
            this->add(finding_severity::warning, account, "keys", "lists a key more than once");
        }
        if (distinct.contains("")) {
            this->add(finding_severity::error, account, "keys", "lists an empty key");
        }
    }

    void check_rate(const traffic_account& account) {
        if (account.rate_per_s > 0 && account.burst < 1) {
            this->add(finding_severity::error, account, "burst",
                      "is " + format_number(account.burst) + " with a rate of " +
                          format_number(account.rate_per_s) +
                          " per s: no request fits into it, and it counts as 1");
        } else if (account.rate_per_s <= 0 && account.burst > 0) {
            this->add(finding_severity::warning, account, "burst",
                      "has no effect without a rate: the account is not limited");
        }
    }

    void check_service(const traffic_service& service) {
        const policy_place place{std::nullopt, "service", service.id.value, {}};
        if (!this->used.contains(service.id)) {
            this->add(finding_severity::warning, place, "no route names it");
        }
        if (!service.health_path.starts_with('/')) {
            this->add(finding_severity::error,
                      {std::nullopt, "service", service.id.value, "health_path"},
                      "does not begin with a slash");
        }
        if (service.max_connections < 0) {
            this->add(finding_severity::error,
                      {std::nullopt, "service", service.id.value, "max_connections"}, "is below 0");
        }
    }

    void check_limits() {
        const request_limits& limits = this->policy.limits;
        if (limits.max_header_bytes > limits.max_body_bytes) {
            this->add(finding_severity::warning, {std::nullopt, "limits", {}, "max_header_bytes"},
                      "is " + std::to_string(limits.max_header_bytes) +
                          ", above the limit of the body, " +
                          std::to_string(limits.max_body_bytes));
        }
        if (limits.header_timeout > limits.idle_timeout) {
            this->add(finding_severity::warning, {std::nullopt, "limits", {}, "header_timeout"},
                      "is above the idle timeout");
        }
    }

    template <typename Entry>
    void check_names_of(const std::vector<Entry>& entries, const char* kind,
                        const char* consequence) {
        std::set<decltype(Entry::id)> seen;
        std::set<decltype(Entry::id)> reported;
        for (const Entry& entry : entries) {
            if (!seen.insert(entry.id).second && reported.insert(entry.id).second) {
                this->add(finding_severity::warning, {std::nullopt, kind, entry.id.value, {}},
                          consequence);
            }
        }
    }

    /// Services that share a name are conflicts.
    void check_names() {
        this->check_names_of(this->policy.routes, "route",
                             "several routes have the name and share their response times");
        this->check_names_of(this->policy.accounts, "account",
                             "several accounts have the name and share their rate limit");
    }

    void check_conflicts() {
        const traffic_policy built{traffic_policy::parts(this->policy)};
        for (const policy_problem& conflict : built.conflicts()) {
            this->add(finding_severity::error, conflict.place, conflict.reason);
        }
    }

    const traffic_policy::parts& policy;
    policy_check_options options;
    std::set<service_id> declared;
    std::set<service_id> used;
    std::vector<policy_finding> findings;
};

std::string describe(const policy_problem& problem) {
    switch (problem.effect) {
    case problem_effect::entry_skipped:
        return problem.reason + "; the entry is not used";
    case problem_effect::field_replaced:
        return problem.reason + "; the entry is used without this value";
    case problem_effect::kind_unknown:
        return problem.reason + "; the entry is not used";
    }
    return problem.reason;
}

} // namespace

std::string_view to_string(finding_severity severity) noexcept {
    switch (severity) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::note:
        return "note";
    }
    return "error";
}

std::vector<policy_finding> to_findings(const std::vector<policy_problem>& problems) {
    std::vector<policy_finding> findings;
    findings.reserve(problems.size());
    for (const policy_problem& problem : problems) {
        const bool is_unknown_kind = problem.effect == problem_effect::kind_unknown;
        findings.push_back({is_unknown_kind ? finding_severity::warning : finding_severity::error,
                            problem.place, describe(problem)});
    }
    return findings;
}

std::vector<policy_finding> check_policy(const traffic_policy::parts& policy,
                                         const policy_check_options& options) {
    return policy_checker(policy, options).run();
}

std::vector<policy_finding> check_number(config_number number, config_number in_force) {
    if (number > in_force) {
        return {};
    }
    return {{finding_severity::error,
             {std::nullopt, {}, {}, "number"},
             "is " + std::to_string(number.value) + ", not above " +
                 std::to_string(in_force.value) + ", which is in force"}};
}

std::size_t count_findings(const std::vector<policy_finding>& findings, finding_severity severity) {
    return static_cast<std::size_t>(
        std::count_if(findings.begin(), findings.end(), [severity](const policy_finding& finding) {
            return finding.severity == severity;
        }));
}

} // namespace knapweedknot
