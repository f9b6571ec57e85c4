#include "commands.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "base/digest.h"
#include "base/settings_reader.h"
#include "config/api_key.h"
#include "config/configuration.h"
#include "config/history.h"
#include "exit_codes.h"
#include "split_patch.h"

namespace knapweedknot {

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int indent = 2;
constexpr std::size_t max_patch_bytes = std::size_t{300} * 1024;
constexpr std::size_t patch_id_bytes = 12;
const std::string merge_patch_type = "application/merge-patch+json";
const std::string json_patch_type = "application/json-patch+json";

int print_error(const error& problem) {
    std::cerr << "knapweedknotctl: " << problem.detail << '\n';
    switch (problem.kind) {
    case error_kind::connect_failed:
        return exit_unreachable;
    case error_kind::outcome_unknown:
        return exit_outcome_unknown;
    case error_kind::configuration_conflict:
        return exit_conflict;
    case error_kind::bad_request:
        return exit_usage;
    default:
        return exit_refused;
    }
}

/// Returns the body of a response with status 200 and turns any other response into an error.
result<nlohmann::json> expect_ok(const result<operator_response>& response) {
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->status == status_ok) {
        return response->body;
    }
    const std::string kind = response->body.is_object() ? response->body.value("error", "") : "";
    std::string detail = response->body.is_object() ? response->body.value("detail", "") : "";
    if (response->status == status_conflict) {
        detail +=
            "; changed since: " + response->body.value("changes_since", nlohmann::json()).dump();
        return fail(error_kind::configuration_conflict, detail);
    }
    const bool unknown = kind == answer_for(error_kind::outcome_unknown).name;
    return fail(unknown ? error_kind::outcome_unknown : error_kind::internal, kind + ": " + detail);
}

result<nlohmann::json> get(const command_input& input, const std::string& uri) {
    return expect_ok(call(input.target, "GET", uri, "", ""));
}

result<nlohmann::json> read_file(const command_input& input) {
    if (input.arguments.size() != 1) {
        return fail(error_kind::bad_request, "give one FILE");
    }
    const std::ifstream file(input.arguments.front());
    if (!file) {
        return fail(error_kind::bad_request, "cannot read " + input.arguments.front());
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_json_with_comments(text.str());
}

struct numbered_document {
    std::uint64_t number{0};
    nlohmann::json document;
};

result<numbered_document> get_document(const command_input& input) {
    return get(input, "/v1/configuration").map([](const nlohmann::json& body) {
        return numbered_document{body.at("number").get<std::uint64_t>(), body.at("document")};
    });
}

/// Copies the current keys to every account of \p desired that lists no keys.
void copy_missing_keys(nlohmann::json& desired, const nlohmann::json& current) {
    if (!desired.contains("accounts") || !desired["accounts"].is_object()) {
        return;
    }
    for (auto& [name, account] : desired["accounts"].items()) {
        const auto pointer = nlohmann::json::json_pointer() / "accounts" / name / "keys";
        if (account.is_object() && !account.contains("keys") && current.contains(pointer)) {
            account["keys"] = current.at(pointer);
        }
    }
}

struct planned_change {
    std::uint64_t base{0};
    nlohmann::json patch;
};

result<planned_change> plan_apply(const command_input& input) {
    auto desired = read_file(input);
    if (!desired) {
        return tl::unexpected(desired.error());
    }
    for (const char* section : {"accounts", "services", "routes"}) {
        desired->emplace(section, nlohmann::json::object());
    }
    const auto current = get_document(input);
    if (!current) {
        return tl::unexpected(current.error());
    }
    copy_missing_keys(*desired, current->document);
    const std::uint64_t base = input.base.empty() ? current->number : std::stoull(input.base);
    return planned_change{base, diff_as_merge_patch(current->document, *desired)};
}

result<nlohmann::json> submit(const command_input& input, const std::string& type,
                              const nlohmann::json& patch, std::uint64_t base) {
    // The patch id makes the submission idempotent, so it can be retried if its outcome is unknown.
    const std::string uri = "/v1/configuration?base=" + std::to_string(base) +
                            "&patch_id=" + random_hex(patch_id_bytes);
    const std::string body = patch.dump();
    auto response = call(input.target, "PATCH", uri, type, body);
    if (!response && response.error().kind == error_kind::outcome_unknown) {
        response = call(input.target, "PATCH", uri, type, body);
    }
    return expect_ok(response);
}

int print_accepted(const command_input& input, const nlohmann::json& body) {
    if (input.json) {
        std::cout << body.dump() << '\n';
        return exit_success;
    }
    std::cout << "accepted as " << body.at("number")
              << (body.at("in_force_everywhere").get<bool>()
                      ? ", in force everywhere"
                      : ", not yet everywhere: see status; instances behind serve no keyed route")
              << '\n';
    return exit_success;
}

void print_entry(const nlohmann::json& entry) {
    std::cout << entry.at("number") << "  " << entry.at("accepted_at").get<std::string>() << "  "
              << entry.at("author").get<std::string>() << "  base " << entry.at("base") << "  hash "
              << entry.at("hash").get<std::string>().substr(0, 12) << "  "
              << entry.at("patch").dump() << '\n';
}

int print_history(const command_input& input, const nlohmann::json& body) {
    if (input.json) {
        std::cout << body.dump() << '\n';
        return exit_success;
    }
    for (const nlohmann::json& entry : body.at("entries")) {
        print_entry(entry);
    }
    return exit_success;
}

void print_instances(const nlohmann::json& body) {
    std::cout << "instances:\n";
    for (const nlohmann::json& item : body.at("instances")) {
        std::cout << "  " << std::left << std::setw(20) << item.at("instance").get<std::string>()
                  << std::setw(14) << item.at("failure_domain").get<std::string>() << std::setw(22)
                  << item.at("callers_address").get<std::string>() << "number " << item.at("number")
                  << "  seats " << item.at("held_seats") << "  lends " << item.at("lent_seats")
                  << (item.at("connected").get<bool>() ? "" : "  not connected")
                  << (item.value("leaving", false) ? "  leaving" : "") << '\n';
    }
}

void print_services(const nlohmann::json& body) {
    for (const auto& [name, service] : body.at("services").items()) {
        std::cout << "service " << name << ": " << service.at("queued") << " queued\n";
        for (const auto& [target, state] : service.at("targets").items()) {
            std::cout << "  " << std::left << std::setw(20) << target << "running "
                      << state.at("in_flight") << "  requests " << state.at("requests")
                      << "  failures " << state.at("failures")
                      << (state.at("ejected").get<bool>()
                              ? "  ejected: " + state.at("reason").get<std::string>()
                              : "")
                      << (state.at("leaving").get<bool>() ? "  leaving" : "") << '\n';
        }
    }
}

void print_accounts(const nlohmann::json& body) {
    for (const auto& [name, state] : body.at("accounts").items()) {
        std::cout << "account " << name << ": admitted " << state.at("admitted_here")
                  << " here and " << state.at("admitted_by_grant") << " by grant, refused "
                  << state.at("refused_over_rate") << " over the rate and "
                  << state.at("refused_without_broker") << " without a broker"
                  << (state.at("brokered_here").get<bool>() ? ", brokered here" : "") << '\n';
    }
}

int add_key(const command_input& input, const std::string& account) {
    const auto current = get_document(input);
    if (!current) {
        return print_error(current.error());
    }
    if (!current->document.at("accounts").contains(account)) {
        return print_error({error_kind::not_found, "no account " + account});
    }
    const new_api_key key = make_api_key();
    const nlohmann::json stored = {{"salt", key.stored.salt}, {"sha256", key.stored.sha256}};
    const nlohmann::json patch = {{"accounts", {{account, {{"keys", {{key.key_id, stored}}}}}}}};
    const auto accepted = submit(input, merge_patch_type, patch, current->number);
    if (!accepted) {
        return print_error(accepted.error());
    }
    if (input.json) {
        std::cout << nlohmann::json{{"key", key.presented}, {"key_id", key.key_id}}.dump() << '\n';
    } else {
        std::cout << key.presented << '\n';
    }
    return exit_success;
}

int withdraw_key(const command_input& input, const std::string& account,
                 const std::string& key_id) {
    const auto current = get_document(input);
    if (!current) {
        return print_error(current.error());
    }
    const auto pointer = nlohmann::json::json_pointer() / "accounts" / account / "keys" / key_id;
    if (!current->document.contains(pointer)) {
        return print_error({error_kind::not_found, "account " + account + " has no key " + key_id});
    }
    const nlohmann::json patch = {{"accounts", {{account, {{"keys", {{key_id, nullptr}}}}}}}};
    const auto accepted = submit(input, merge_patch_type, patch, current->number);
    return accepted ? print_accepted(input, *accepted) : print_error(accepted.error());
}

} // namespace

int run_apply(const command_input& input) {
    const auto planned = plan_apply(input);
    if (!planned) {
        return print_error(planned.error());
    }
    if (planned->patch.empty()) {
        std::cout << "nothing to change\n";
        return exit_success;
    }
    std::uint64_t base = planned->base;
    nlohmann::json last;
    for (const nlohmann::json& part : split_patch(planned->patch, max_patch_bytes)) {
        const auto accepted = submit(input, merge_patch_type, part, base);
        if (!accepted) {
            return print_error(accepted.error());
        }
        base = accepted->at("number").get<std::uint64_t>();
        last = *accepted;
    }
    return print_accepted(input, last);
}

int run_patch(const command_input& input) {
    const auto patch = read_file(input);
    if (!patch) {
        return print_error(patch.error());
    }
    if (input.base.empty()) {
        return print_error({error_kind::bad_request, "patch needs --base NUMBER"});
    }
    const auto accepted = submit(input, patch->is_array() ? json_patch_type : merge_patch_type,
                                 *patch, std::stoull(input.base));
    return accepted ? print_accepted(input, *accepted) : print_error(accepted.error());
}

int run_diff(const command_input& input) {
    const auto planned = plan_apply(input);
    if (!planned) {
        return print_error(planned.error());
    }
    std::cout << planned->patch.dump(indent) << '\n';
    return planned->patch.empty() ? exit_success : exit_differs;
}

int run_show(const command_input& input) {
    const auto body = get(input, "/v1/configuration");
    if (!body) {
        return print_error(body.error());
    }
    std::cout << body->dump(input.json ? -1 : indent) << '\n';
    return exit_success;
}

int run_history(const command_input& input) {
    const std::string after = input.after.empty() ? "0" : input.after;
    const auto body = get(input, "/v1/history?after=" + after);
    return body ? print_history(input, *body) : print_error(body.error());
}

int run_audit(const command_input& input) {
    const auto body = get(input, "/v1/history?after=0");
    if (!body) {
        return print_error(body.error());
    }
    std::vector<history_entry> entries;
    for (const nlohmann::json& item : body->at("entries")) {
        auto entry = entry_from_json(item);
        if (!entry) {
            return print_error(entry.error());
        }
        entries.push_back(std::move(*entry));
    }
    if (const std::string problem = find_chain_problem(entries, ""); !problem.empty()) {
        return print_error({error_kind::invalid_value, "the audit trail is invalid: " + problem});
    }
    const int printed = print_history(input, *body);
    if (!input.json) {
        std::cout << entries.size() << " entries, the hash chain is valid\n";
    }
    return printed;
}

int run_status(const command_input& input) {
    const auto body = get(input, "/v1/status");
    if (!body) {
        return print_error(body.error());
    }
    if (input.json) {
        std::cout << body->dump() << '\n';
        return exit_success;
    }
    std::cout << "configuration " << body->at("number")
              << (body->at("fresh").get<bool>() ? "" : "; keyed routes are refused: not fresh")
              << "\nseats: " << body->at("seats").at("total") << " in all, "
              << body->at("seats").at("free") << " free\n";
    print_instances(*body);
    print_services(*body);
    print_accounts(*body);
    return exit_success;
}

int run_addresses(const command_input& input) {
    operator_endpoint caller = input.target;
    caller.token = input.key;
    const auto body = expect_ok(call(caller, "GET", "/v1/addresses", "", ""));
    if (!body) {
        return print_error(body.error());
    }
    if (input.json) {
        std::cout << body->dump() << '\n';
        return exit_success;
    }
    for (const nlohmann::json& item : body->at("addresses")) {
        std::cout << item.at("address").get<std::string>() << "  "
                  << item.at("instance").get<std::string>() << "  "
                  << item.at("failure_domain").get<std::string>() << '\n';
    }
    return exit_success;
}

int run_key(const command_input& input) {
    const auto& arguments = input.arguments;
    if (arguments.size() == 2 && arguments[0] == "add") {
        return add_key(input, arguments[1]);
    }
    if (arguments.size() == 3 && arguments[0] == "withdraw") {
        return withdraw_key(input, arguments[1], arguments[2]);
    }
    return print_error(
        {error_kind::bad_request, "use key add ACCOUNT or key withdraw ACCOUNT KEYID"});
}

int run_drain(const command_input& input) {
    const auto body = expect_ok(call(input.target, "POST", "/v1/drain", "", ""));
    if (!body) {
        return print_error(body.error());
    }
    std::cout << "draining\n";
    return exit_success;
}

} // namespace knapweedknot
