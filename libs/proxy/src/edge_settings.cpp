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
    constexpr double max_overshoot = 100;
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
    if (reader.has("evacuation_apply_ms")) {
        bounds.evacuation_apply = read_ms(reader, "evacuation_apply_ms", seconds(5));
    }
    bounds.warm_up_overshoot = reader.number("warm_up_overshoot", bounds.warm_up_overshoot, 1,
                                             max_overshoot, "times the warm-up rate");
    bounds.warm_up_slack =
        reader.number("warm_up_slack", bounds.warm_up_slack, 0, max_requests, "requests");
    reader.reject_unknown_fields();
    return bounds;
}

machine_resources read_machine(const nlohmann::json& source, std::vector<std::string>& problems) {
    constexpr double max_cores = 1024;
    constexpr double max_mbit_per_s = 1e6;
    constexpr double bytes_per_mbit = 125'000;
    constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
    constexpr long long max_memory_mb = 1 << 20;
    constexpr long long min_descriptors = 64;
    constexpr long long max_descriptors = 1 << 20;
    settings_reader reader(source, "/machine", problems);
    machine_resources resources;
    resources.cores = reader.number("cores", resources.cores, 0.001, max_cores, "cores");
    resources.link_bytes_per_s =
        bytes_per_mbit * reader.number("link_mbit_per_s",
                                       resources.link_bytes_per_s / bytes_per_mbit, 0.1,
                                       max_mbit_per_s, "Mbit/s");
    if (reader.has("memory_mb")) {
        resources.memory_bytes =
            bytes_per_mb *
            static_cast<std::size_t>(reader.integer("memory_mb", 1, 1, max_memory_mb, "MB"));
    }
    if (reader.has("max_descriptors")) {
        resources.descriptors = static_cast<std::size_t>(reader.integer(
            "max_descriptors", min_descriptors, min_descriptors, max_descriptors, "descriptors"));
    }
    reader.reject_unknown_fields();
    return resources;
}

locality_mode read_locality(const nlohmann::json& source, std::vector<std::string>& problems) {
    settings_reader reader(source, "/balancing", problems);
    const std::string mode = reader.text("locality", "preference");
    if (mode != "preference" && mode != "overflow") {
        reader.report("locality", "must be \"preference\" or \"overflow\"");
    }
    reader.reject_unknown_fields();
    return mode == "overflow" ? locality_mode::overflow : locality_mode::preference;
}

std::map<failure_domain_id, region_id> read_regions(const nlohmann::json& source,
                                                    std::vector<std::string>& problems) {
    settings_reader reader(source, "/failure_domain_regions", problems);
    std::map<failure_domain_id, region_id> regions;
    for (const auto& [domain, region] : source.items()) {
        regions[failure_domain_id{domain}] = region_id{reader.required_text(domain)};
    }
    return regions;
}

} // namespace

duration policy_confirmation_bound(const fleet_bounds& bounds) noexcept {
    return std::min(bounds.policy_apply, bounds.evacuation_apply.value_or(bounds.policy_apply));
}

result<edge_settings> parse_edge_settings(std::string_view text, std::string_view overlay) {
    auto source = parse_json_with_comments(text);
    if (!source) {
        return tl::unexpected(source.error());
    }
    if (!overlay.empty()) {
        const auto further = parse_json_with_comments(overlay);
        if (!further || !further->is_object()) {
            return fail(error_kind::invalid_value, "the settings overlay is not a JSON object");
        }
        source->merge_patch(*further);
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
    settings.locality = read_locality(reader.object("balancing"), problems);
    settings.regions = read_regions(reader.object("failure_domain_regions"), problems);
    reader.reject_unknown_fields();
    if (!problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(problems));
    }
    return settings;
}

} // namespace knapweedknot
