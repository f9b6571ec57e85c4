#include "control/settings.h"

#include "base/settings_reader.h"

namespace knapweedknot {

namespace {

constexpr std::size_t sha256_hex_digits = 64;
constexpr long long max_bytes = 256LL * 1024 * 1024;

endpoint read_address(settings_reader& reader, std::string_view name) {
    const auto address = parse_endpoint(reader.required_text(name));
    if (!address && reader.has(name)) {
        reader.report(name, address.error().detail);
    }
    return address.value_or(endpoint{});
}

duration read_time(settings_reader& reader, std::string_view name, duration fallback,
                   long long lowest_ms, long long highest_ms) {
    return milliseconds(
        reader.integer(name, to_milliseconds(fallback), lowest_ms, highest_ms, "ms"));
}

std::size_t read_bytes(settings_reader& reader, std::string_view name, std::size_t fallback) {
    return static_cast<std::size_t>(
        reader.integer(name, static_cast<long long>(fallback), 1024, max_bytes, "bytes"));
}

void read_seeds(settings_reader& reader, instance_settings& settings) {
    for (const std::string& text : reader.texts("peer_seeds")) {
        if (const auto seed = parse_endpoint(text)) {
            settings.peer_seeds.push_back(*seed);
        } else {
            reader.report("peer_seeds", text + " " + seed.error().detail);
        }
    }
}

void read_operators(settings_reader& reader, instance_settings& settings) {
    for (const auto& [name, hash] : reader.object("operators").items()) {
        if (!hash.is_string() || hash.get<std::string>().size() != sha256_hex_digits) {
            reader.report("operators", name + " must have the SHA-256 of a token, 64 digits");
        } else {
            settings.operators[name] = hash.get<std::string>();
        }
    }
}

void read_times(settings_reader& reader, instance_settings& settings) {
    settings.heartbeat_interval =
        read_time(reader, "heartbeat_ms", settings.heartbeat_interval, 50, 10'000);
    settings.quota_lease_duration =
        read_time(reader, "loan_ms", settings.quota_lease_duration, 100, 30'000);
    settings.freshness = read_time(reader, "freshness_ms", settings.freshness, 200, 10'000);
    settings.seat_lease = seconds(reader.integer(
        "seat_lease_s", static_cast<long long>(to_seconds(settings.seat_lease)), 10, 604'800, "s"));
    settings.address_lifetime =
        read_time(reader, "address_lifetime_ms", settings.address_lifetime, 100, 600'000);
    settings.store_watch = read_time(reader, "store_watch_ms", settings.store_watch, 1000, 600'000);
    if (settings.quota_lease_duration <= settings.heartbeat_interval) {
        reader.report("loan_ms", "must be greater than heartbeat_ms");
    }
    if (settings.freshness <= settings.heartbeat_interval) {
        reader.report("freshness_ms", "must be greater than heartbeat_ms");
    }
}

admission_mode read_admission(settings_reader& reader) {
    const std::string text = reader.text("admission", "loans");
    if (text != "loans" && text != "static_split") {
        reader.report("admission", "must be loans or static_split");
    }
    return text == "static_split" ? admission_mode::static_split : admission_mode::quota_leases;
}

} // namespace

result<instance_settings> parse_settings(std::string_view text) {
    const auto source = parse_json_with_comments(text);
    if (!source) {
        return tl::unexpected(source.error());
    }
    std::vector<std::string> problems;
    settings_reader reader(*source, "", problems);
    instance_settings settings;
    settings.instance.value = reader.required_text("instance");
    settings.failure_domain.value = reader.required_text("failure_domain");
    settings.callers_address = read_address(reader, "callers_address");
    settings.operators_address = read_address(reader, "operators_address");
    settings.peers_address = read_address(reader, "peers_address");
    settings.peers_listen = settings.peers_address;
    if (reader.has("peers_listen")) {
        settings.peers_listen = read_address(reader, "peers_listen");
    }
    settings.platform_address = read_address(reader, "platform_address");
    read_seeds(reader, settings);
    read_operators(reader, settings);
    const std::string level = reader.text("log_level", "info");
    settings.lowest_log_level = parse_log_level(level);
    if (level != "debug" && level != "info" && level != "warning" && level != "error") {
        reader.report("log_level", "must be debug, info, warning or error");
    }
    settings.seats = static_cast<int>(reader.integer("seats", settings.seats, 1, 10'000, "seats"));
    settings.max_instances = static_cast<int>(
        reader.integer("max_instances", settings.max_instances, 1, 10'000, "instances"));
    settings.max_request_bytes =
        read_bytes(reader, "max_request_bytes", settings.max_request_bytes);
    settings.max_answer_bytes = read_bytes(reader, "max_answer_bytes", settings.max_answer_bytes);
    settings.max_header_bytes = read_bytes(reader, "max_header_bytes", settings.max_header_bytes);
    read_times(reader, settings);
    settings.admission = read_admission(reader);
    reader.reject_unknown_fields();
    if (!problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(problems));
    }
    return settings;
}

} // namespace knapweedknot
