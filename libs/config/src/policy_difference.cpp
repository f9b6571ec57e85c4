#include "config/policy_difference.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

namespace knapweedknot {

namespace {

/// A field of an entry as text.
struct field_text {
    std::string field;
    std::string value;
};

/// Fields of an entry, always in the same order.
using field_texts = std::vector<field_text>;

std::string format_number(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string format_time(duration value) {
    return std::to_string(to_milliseconds(value)) + " ms";
}

std::string format_flag(bool value) {
    return value ? "yes" : "no";
}

std::string format_split(const std::vector<weighted_service>& split) {
    std::string text;
    for (const weighted_service& row : split) {
        text += (text.empty() ? "" : ", ") + row.service.value + ' ' + format_number(row.weight);
    }
    return text;
}

std::string format_regions(const std::vector<region_id>& regions) {
    std::string text;
    for (const region_id& region : regions) {
        text += (text.empty() ? "" : ", ") + region.value;
    }
    return text;
}

field_texts fields_of(const traffic_route& route) {
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"split", format_split(route.split)},
            {"idempotent", format_flag(route.idempotent)},
            {"timeout", format_time(route.timeout)},
            {"latency_target", format_time(route.latency_target)},
            {"max_attempts", std::to_string(route.max_attempts)},
            {"priority", std::to_string(route.priority)},
            {"open", format_flag(route.open)},
            {"allowed_regions", format_regions(route.allowed_regions)}};
}

field_texts fields_of(const traffic_account& account) {
    return {{"priority", account.priority ? std::to_string(*account.priority) : "of the route"},
            {"rate_per_s", format_number(account.rate_per_s)},
            {"burst", format_number(account.burst)},
            {"allowed_regions", format_regions(account.allowed_regions)}};
}

field_texts fields_of(const traffic_service& service) {
    return {{"health_path", service.health_path},
            {"max_connections", std::to_string(service.max_connections)},
            {"warm_up_rate_per_s", format_number(service.warm_up_rate_per_s)}};
}

field_texts fields_of(const request_limits& limits) {
    return {{"max_header_bytes", std::to_string(limits.max_header_bytes)},
            {"max_body_bytes", std::to_string(limits.max_body_bytes)},
            {"header_timeout", format_time(limits.header_timeout)},
            {"idle_timeout", format_time(limits.idle_timeout)}};
}

template <typename Entry>
std::vector<field_change> changed_fields(const Entry& before, const Entry& after) {
    const field_texts old_fields = fields_of(before);
    const field_texts new_fields = fields_of(after);
    std::vector<field_change> changes;
    for (std::size_t i = 0; i < new_fields.size(); ++i) {
        if (old_fields[i].value != new_fields[i].value) {
            changes.push_back({new_fields[i].field, old_fields[i].value, new_fields[i].value});
        }
    }
    return changes;
}

/// Number of keys in \p keys that are not among \p others. Both are sorted.
std::size_t count_missing(const std::vector<std::string>& keys,
                          const std::vector<std::string>& others) {
    std::vector<std::string> missing;
    std::set_difference(keys.begin(), keys.end(), others.begin(), others.end(),
                        std::back_inserter(missing));
    return missing.size();
}

/// Adds a change of an account's keys. The keys are secrets.
void add_key_change(std::vector<field_change>& changes, const traffic_account& before,
                    const traffic_account& after) {
    std::vector<std::string> old_keys = before.keys;
    std::vector<std::string> new_keys = after.keys;
    std::sort(old_keys.begin(), old_keys.end());
    std::sort(new_keys.begin(), new_keys.end());
    const std::size_t removed = count_missing(old_keys, new_keys);
    const std::size_t added = count_missing(new_keys, old_keys);
    if (removed + added > 0) {
        changes.push_back(
            {"keys",
             std::to_string(old_keys.size()) + ", of which " + std::to_string(removed) + " removed",
             std::to_string(new_keys.size()) + ", of which " + std::to_string(added) + " added"});
    }
}

std::vector<field_change> changed_fields(const traffic_account& before,
                                         const traffic_account& after) {
    std::vector<field_change> changes = changed_fields<traffic_account>(before, after);
    add_key_change(changes, before, after);
    return changes;
}

template <typename Entry>
std::map<std::string, const Entry*> by_name(const std::vector<Entry>& entries) {
    std::map<std::string, const Entry*> named;
    for (const Entry& entry : entries) {
        named[entry.id.value] = &entry;
    }
    return named;
}

template <typename Entry>
void compare_entries(std::vector<entry_difference>& differences, const std::string& kind,
                     const std::vector<Entry>& before, const std::vector<Entry>& after) {
    const auto old_entries = by_name(before);
    const auto new_entries = by_name(after);
    for (const auto& [name, entry] : old_entries) {
        if (!new_entries.contains(name)) {
            differences.push_back({entry_change::removed, kind, name, {}});
        }
    }
    for (const auto& [name, entry] : new_entries) {
        const auto old_entry = old_entries.find(name);
        if (old_entry == old_entries.end()) {
            differences.push_back({entry_change::added, kind, name, {}});
        } else if (auto fields = changed_fields(*old_entry->second, *entry); !fields.empty()) {
            differences.push_back({entry_change::changed, kind, name, std::move(fields)});
        }
    }
}

} // namespace

std::string_view to_string(entry_change change) noexcept {
    switch (change) {
    case entry_change::added:
        return "added";
    case entry_change::removed:
        return "removed";
    case entry_change::changed:
        return "changed";
    }
    return "changed";
}

std::vector<entry_difference> compare_policies(const traffic_policy::parts& before,
                                               const traffic_policy::parts& after) {
    std::vector<entry_difference> differences;
    compare_entries(differences, "route", before.routes, after.routes);
    compare_entries(differences, "account", before.accounts, after.accounts);
    compare_entries(differences, "service", before.services, after.services);
    if (auto fields = changed_fields(before.limits, after.limits); !fields.empty()) {
        differences.push_back({entry_change::changed, "limits", {}, std::move(fields)});
    }
    return differences;
}

} // namespace knapweedknot
