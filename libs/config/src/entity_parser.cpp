#include "config/entity_parser.h"

#include "base/settings_reader.h"

namespace knapweedknot {

namespace {

constexpr double max_rate_per_s = 1e7;
constexpr double max_burst = 1e7;
// With a burst of 1, losing any part of the fleet would block the account completely.
constexpr double min_burst = 2;
constexpr double min_rate_per_s = 0.01;
constexpr long long max_timeout_ms = 600'000;
constexpr std::size_t sha256_hex_digits = 64;

bool is_lower_hex(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

stored_key parse_stored_key(const nlohmann::json& source, const std::string& path,
                            std::vector<std::string>& problems) {
    settings_reader reader(source, path, problems);
    stored_key key;
    key.salt = reader.required_text("salt");
    key.sha256 = reader.required_text("sha256");
    if (!is_lower_hex(key.sha256) || key.sha256.size() != sha256_hex_digits) {
        reader.report("sha256", "must be 64 lower-case hexadecimal digits");
    }
    reader.reject_unknown_fields();
    return key;
}

target parse_target(const std::string& name, const nlohmann::json& source, const std::string& path,
                    std::vector<std::string>& problems) {
    settings_reader reader(source, path, problems);
    target parsed;
    parsed.id.value = name;
    if (auto address = parse_endpoint(reader.required_text("address")); address) {
        parsed.address = *address;
    } else {
        reader.report("address", address.error().detail);
    }
    parsed.failure_domain.value = reader.required_text("failure_domain");
    reader.reject_unknown_fields();
    return parsed;
}

service_policy parse_policy(settings_reader& reader) {
    service_policy policy;
    const auto time = [&reader](std::string_view name, duration fallback) {
        return milliseconds(
            reader.integer(name, to_milliseconds(fallback), 1, max_timeout_ms, "ms"));
    };
    policy.slots_per_target = static_cast<int>(
        reader.integer("slots_per_target", policy.slots_per_target, 1, 10'000, "requests"));
    policy.connections_per_target = static_cast<int>(reader.integer(
        "connections_per_target", policy.connections_per_target, 1, 100'000, "connections"));
    policy.floor = static_cast<int>(reader.integer("floor", policy.floor, 0, 100'000, "targets"));
    policy.request_timeout = time("request_timeout_ms", policy.request_timeout);
    policy.queue_limit = static_cast<int>(
        reader.integer("queue_limit", policy.queue_limit, 0, 1'000'000, "requests"));
    policy.retry_budget =
        reader.number("retry_budget", policy.retry_budget, 0, 1, "retries for each request");
    policy.failures_to_eject = static_cast<int>(
        reader.integer("failures_to_eject", policy.failures_to_eject, 1, 1000, "failures"));
    policy.slow_factor =
        reader.number("slow_factor", policy.slow_factor, 1.5, 1000, "times the median");
    policy.ejection_time = time("ejection_time_ms", policy.ejection_time);
    policy.ejection_limit = time("ejection_limit_ms", policy.ejection_limit);
    return policy;
}

idempotency parse_idempotency(settings_reader& reader) {
    const std::string text = reader.text("idempotent", "by_method");
    if (text == "always") {
        return idempotency::always;
    }
    if (text == "never") {
        return idempotency::never;
    }
    if (text != "by_method") {
        reader.report("idempotent", "must be by_method, always or never");
    }
    return idempotency::by_method;
}

void check_path_prefix(settings_reader& reader, const std::string& prefix) {
    const bool whole_segments = prefix == "/" || (!prefix.empty() && prefix.back() != '/');
    if (prefix.empty() || prefix.front() != '/' || !whole_segments ||
        prefix.find("//") != std::string::npos || prefix.find('?') != std::string::npos) {
        reader.report("path_prefix", "must start with / and hold whole path segments");
    }
}

} // namespace

client_account parse_account(const std::string& name, const nlohmann::json& source,
                             std::vector<std::string>& problems) {
    settings_reader reader(source, "/accounts/" + name, problems);
    client_account account;
    account.id.value = name;
    account.rate_per_s =
        reader.number("rate_per_s", 0, min_rate_per_s, max_rate_per_s, "requests per second");
    account.burst = reader.number("burst", 0, min_burst, max_burst, "requests");
    for (const std::string_view required : {"rate_per_s", "burst"}) {
        if (!reader.has(required)) {
            reader.report(required, "is required");
        }
    }
    for (const auto& [key_id, key] : reader.object("keys").items()) {
        const std::string path = reader.path_of("keys") + '/' + key_id;
        if (key_id.empty() || key_id.find('.') != std::string::npos) {
            problems.push_back(path + ": a key id must not be empty or hold a dot");
        }
        account.keys.emplace(key_id, parse_stored_key(key, path, problems));
    }
    reader.reject_unknown_fields();
    return account;
}

service parse_service(const std::string& name, const nlohmann::json& source,
                      std::vector<std::string>& problems) {
    settings_reader reader(source, "/services/" + name, problems);
    service parsed;
    parsed.id.value = name;
    parsed.policy = parse_policy(reader);
    for (const auto& [target_name, value] : reader.object("targets").items()) {
        const std::string path = reader.path_of("targets") + '/' + target_name;
        target item = parse_target(target_name, value, path, problems);
        parsed.targets.emplace(item.id, std::move(item));
    }
    reader.reject_unknown_fields();
    return parsed;
}

route parse_route(const std::string& name, const nlohmann::json& source,
                  std::vector<std::string>& problems) {
    settings_reader reader(source, "/routes/" + name, problems);
    route parsed;
    parsed.id.value = name;
    parsed.host = reader.text("host", "");
    parsed.path_prefix = reader.required_text("path_prefix");
    check_path_prefix(reader, parsed.path_prefix);
    parsed.service.value = reader.required_text("service");
    parsed.open = reader.flag("open", false);
    for (const std::string& account : reader.texts("accounts")) {
        parsed.accounts.insert(account);
    }
    for (const std::string& method : reader.texts("methods")) {
        parsed.methods.insert(method);
    }
    parsed.repeatable = parse_idempotency(reader);
    reader.reject_unknown_fields();
    return parsed;
}

} // namespace knapweedknot
