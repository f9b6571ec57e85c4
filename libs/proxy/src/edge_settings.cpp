#include "proxy/edge_settings.h"

#include <string>
#include <vector>

#include "base/settings_reader.h"

namespace knapweedknot {

namespace {

constexpr long long max_time_ms = 3'600'000;

endpoint read_endpoint(settings_reader& reader, std::string_view name) {
    const auto parsed = parse_endpoint(reader.required_text(name));
    if (!parsed) {
        reader.report(name, "must be IPV4:PORT");
        return {};
    }
    return *parsed;
}

duration read_ms(settings_reader& reader, std::string_view name, duration fallback) {
    return milliseconds(reader.integer(name, to_milliseconds(fallback), 1, max_time_ms, "ms"));
}

duration read_s(settings_reader& reader, std::string_view name, duration fallback) {
    constexpr double max_s = 3600;
    return from_seconds(reader.number(name, to_seconds(fallback), 0.001, max_s, "s"));
}

fleet_bounds read_bounds(const nlohmann::json& source, std::vector<std::string>& problems) {
    constexpr double max_requests = 1e9;
    settings_reader reader(source, "/bounds", problems);
    fleet_bounds bounds;
    bounds.key_withdrawal = read_ms(reader, "key_withdrawal_ms", bounds.key_withdrawal);
    bounds.policy_apply = read_ms(reader, "policy_apply_ms", bounds.policy_apply);
    bounds.strict_withdrawal = reader.flag("strict_withdrawal", bounds.strict_withdrawal);
    bounds.target_drain = read_ms(reader, "target_drain_ms", bounds.target_drain);
    bounds.stop_grace = read_s(reader, "stop_grace_s", bounds.stop_grace);
    bounds.address_lifetime = read_s(reader, "address_lifetime_s", bounds.address_lifetime);
    bounds.resend_share =
        reader.number("resend_share", bounds.resend_share, 0, 1, "requests for each request");
    bounds.resend_allowance =
        reader.number("resend_allowance", bounds.resend_allowance, 0, max_requests, "requests");
    bounds.resend_window = read_s(reader, "resend_window_s", bounds.resend_window);
    bounds.floor_share = reader.number("floor_share", bounds.floor_share, 0, 1, "of the targets");
    reader.reject_unknown_fields();
    return bounds;
}

machine_resources read_machine(const nlohmann::json& source, std::vector<std::string>& problems) {
    constexpr double max_cores = 1024;
    constexpr double max_mbit_per_s = 1e6;
    constexpr double bytes_per_mbit = 125'000;
    settings_reader reader(source, "/machine", problems);
    machine_resources resources;
    resources.cores = reader.number("cores", resources.cores, 0.001, max_cores, "cores");
    resources.link_bytes_per_s =
        bytes_per_mbit * reader.number("link_mbit_per_s",
                                       resources.link_bytes_per_s / bytes_per_mbit, 0.1,
                                       max_mbit_per_s, "Mbit/s");
    reader.reject_unknown_fields();
    return resources;
}

} // namespace

result<edge_settings> parse_edge_settings(std::string_view text) {
    const auto source = parse_json_with_comments(text);
    if (!source) {
        return tl::unexpected(source.error());
    }
    if (!source->is_object()) {
        return fail(error_kind::invalid_value, "the settings are not a JSON object");
    }
    std::vector<std::string> problems;
    settings_reader reader(*source, "", problems);
    edge_settings settings;
    settings.instance.value = reader.required_text("instance");
    settings.failure_domain.value = reader.required_text("failure_domain");
    settings.callers_address = read_endpoint(reader, "callers_address");
    settings.readiness_address = read_endpoint(reader, "readiness_address");
    if (!reader.text("directory_address", "").empty()) {
        settings.directory_address = read_endpoint(reader, "directory_address");
    }
    settings.metrics_address = read_endpoint(reader, "metrics_address");
    settings.peers_address = read_endpoint(reader, "peers_address");
    settings.store_address = read_endpoint(reader, "store_address");
    settings.lowest_log_level = parse_log_level(reader.text("log_level", "info"));
    settings.bounds = read_bounds(reader.object("bounds"), problems);
    settings.machine = read_machine(reader.object("machine"), problems);
    reader.reject_unknown_fields();
    if (!problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(problems));
    }
    return settings;
}

} // namespace knapweedknot
