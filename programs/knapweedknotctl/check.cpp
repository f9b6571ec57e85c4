#include "check.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "config/policy_check.h"
#include "config/policy_difference.h"
#include "exit_codes.h"
#include "platform/store_documents.h"

namespace knapweedknot {

namespace {

/// The result of a check.
struct check_report {
    std::vector<policy_finding> findings;
    /// Empty without a document to compare with.
    std::optional<std::vector<entry_difference>> differences;
};

int fail_check(const std::string& problem) {
    std::cerr << "knapweedknotctl: " << problem << '\n';
    return exit_usage;
}

std::optional<std::string> read_text(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    // A directory can be opened, but not read.
    file.peek();
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void append(std::vector<policy_finding>& all, std::vector<policy_finding> added) {
    std::move(added.begin(), added.end(), std::back_inserter(all));
}

/// Checks a document, and compares it with \p in_force if that is given.
check_report check_document(const std::string& text, const traffic_policy::parts* in_force) {
    check_report report;
    std::vector<policy_problem> problems;
    const auto policy = platform::decode_policy(text, problems);
    if (!policy) {
        report.findings.push_back({finding_severity::error, {}, policy.error().detail});
        return report;
    }
    append(report.findings, to_findings(problems));
    append(report.findings, check_policy(*policy, policy_check_options{}));
    if (in_force != nullptr) {
        append(report.findings, check_number(policy->number, in_force->number));
        report.differences = compare_policies(*in_force, *policy);
    }
    return report;
}

/// For example "entry 3, route r-2, timeout: ".
std::string describe(const policy_place& place) {
    std::string text;
    const auto add = [&text](const std::string& part) {
        text += (text.empty() || part.empty() ? "" : ", ") + part;
    };
    add(place.entry ? "entry " + std::to_string(*place.entry) : std::string());
    add(place.kind + (place.kind.empty() || place.name.empty() ? "" : " ") + place.name);
    add(place.field);
    return text.empty() ? text : text + ": ";
}

void print_difference(const entry_difference& difference) {
    std::cout << to_string(difference.change) << ' ' << difference.kind
              << (difference.name.empty() ? "" : " ") << difference.name << '\n';
    for (const field_change& field : difference.fields) {
        std::cout << "  " << field.field << ": " << field.before << " -> " << field.after << '\n';
    }
}

void print_text(const check_report& report) {
    for (const policy_finding& finding : report.findings) {
        std::cout << to_string(finding.severity) << ": " << describe(finding.place)
                  << finding.message << '\n';
    }
    if (report.differences) {
        for (const entry_difference& difference : *report.differences) {
            print_difference(difference);
        }
    }
    std::cout << "errors: " << count_findings(report.findings, finding_severity::error)
              << ", warnings: " << count_findings(report.findings, finding_severity::warning)
              << ", notes: " << count_findings(report.findings, finding_severity::note);
    if (report.differences) {
        std::cout << ", entries that differ: " << report.differences->size();
    }
    std::cout << '\n';
}

nlohmann::json to_json(const policy_finding& finding) {
    nlohmann::json entry;
    if (finding.place.entry) {
        entry = *finding.place.entry;
    }
    return {{"severity", to_string(finding.severity)},
            {"entry", entry},
            {"kind", finding.place.kind},
            {"name", finding.place.name},
            {"field", finding.place.field},
            {"message", finding.message}};
}

nlohmann::json to_json(const entry_difference& difference) {
    nlohmann::json fields = nlohmann::json::array();
    for (const field_change& field : difference.fields) {
        fields.push_back(
            {{"field", field.field}, {"before", field.before}, {"after", field.after}});
    }
    return {{"change", to_string(difference.change)},
            {"kind", difference.kind},
            {"name", difference.name},
            {"fields", fields}};
}

void print_json(const check_report& report) {
    nlohmann::json findings = nlohmann::json::array();
    for (const policy_finding& finding : report.findings) {
        findings.push_back(to_json(finding));
    }
    nlohmann::json body{{"findings", findings},
                        {"errors", count_findings(report.findings, finding_severity::error)},
                        {"warnings", count_findings(report.findings, finding_severity::warning)},
                        {"notes", count_findings(report.findings, finding_severity::note)}};
    if (report.differences) {
        body["differences"] = nlohmann::json::array();
        for (const entry_difference& difference : *report.differences) {
            body["differences"].push_back(to_json(difference));
        }
    }
    // Names in the document may be cut within a character.
    std::cout << body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

} // namespace

int run_check(const command_input& input) {
    if (input.arguments.size() != 1) {
        return fail_check("give one FILE");
    }
    const auto text = read_text(input.arguments.front());
    if (!text) {
        return fail_check("cannot read " + input.arguments.front());
    }
    std::optional<traffic_policy::parts> in_force;
    if (!input.against.empty()) {
        const auto before = read_text(input.against);
        if (!before) {
            return fail_check("cannot read " + input.against);
        }
        std::vector<policy_problem> ignored;
        auto decoded = platform::decode_policy(*before, ignored);
        if (!decoded) {
            return fail_check(input.against + ": " + decoded.error().detail);
        }
        in_force = std::move(*decoded);
    }
    const check_report report = check_document(*text, in_force ? &*in_force : nullptr);
    input.json ? print_json(report) : print_text(report);
    return count_findings(report.findings, finding_severity::error) > 0 ? exit_refused
                                                                        : exit_success;
}

} // namespace knapweedknot
