#include "config/configuration.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "base/settings_reader.h"
#include "config/entity_parser.h"

namespace knapweedknot {

namespace {

constexpr std::array<std::string_view, 3> sections{"accounts", "services", "routes"};

bool contains_null(const nlohmann::json& value) {
    if (value.is_null()) {
        return true;
    }
    if (!value.is_structured()) {
        return false;
    }
    for (const nlohmann::json& item : value) {
        if (contains_null(item)) {
            return true;
        }
    }
    return false;
}

bool is_valid_name(const std::string& name) {
    constexpr std::size_t max_name_bytes = 128;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789-_.";
    return !name.empty() && name.size() <= max_name_bytes &&
           name.find_first_not_of(allowed) == std::string::npos;
}

/// Parses the merged value of each entity that the patch names in \p section, and adds it to
/// \p planned; null for a removed entity.
template <typename Id, typename Entity, typename Parse>
void plan_section(const nlohmann::json& source, const nlohmann::json& merge_patch,
                  const std::string& section, std::vector<std::string>& problems,
                  std::map<Id, std::shared_ptr<const Entity>>& planned, Parse parse) {
    const auto patched = merge_patch.find(section);
    if (patched == merge_patch.end()) {
        return;
    }
    if (!patched->is_object()) {
        problems.push_back('/' + section + ": must be an object");
        return;
    }
    const nlohmann::json& existing = source.at(section);
    for (const auto& [name, value] : patched->items()) {
        if (value.is_null()) {
            planned[Id{name}] = nullptr;
            continue;
        }
        if (!is_valid_name(name)) {
            problems.push_back(std::string("/").append(section).append("/").append(name) +
                               ": a name has 1 to 128 letters, digits, '-', '_' or '.'");
            continue;
        }
        nlohmann::json merged = existing.value(name, nlohmann::json::object());
        merged.merge_patch(value);
        planned[Id{name}] = std::make_shared<const Entity>(parse(name, merged, problems));
    }
}

} // namespace

configuration::changes configuration::plan(const nlohmann::json& merge_patch) const {
    changes planned;
    if (!merge_patch.is_object()) {
        planned.problems.emplace_back("/: a patch must be an object");
        return planned;
    }
    for (const auto& [section, value] : merge_patch.items()) {
        if (std::find(sections.begin(), sections.end(), section) == sections.end()) {
            planned.problems.push_back('/' + section + ": is not a known field");
        }
    }
    plan_section(this->source, merge_patch, "accounts", planned.problems, planned.accounts,
                 parse_account);
    plan_section(this->source, merge_patch, "services", planned.problems, planned.services,
                 parse_service);
    plan_section(this->source, merge_patch, "routes", planned.problems, planned.routes,
                 parse_route);
    this->check_keys(planned);
    this->check_references(planned);
    return planned;
}

void configuration::check_keys(changes& planned) const {
    std::map<std::string, account_id> seen;
    for (const auto& [id, account] : planned.accounts) {
        if (account == nullptr) {
            continue;
        }
        for (const auto& [key_id, key] : account->keys) {
            const std::string path = "/accounts/" + id.value + "/keys/" + key_id;
            const auto [other, is_new] = seen.emplace(key_id, id);
            const auto existing = this->accounts_by_key_id.find(key_id);
            const bool taken = existing != this->accounts_by_key_id.end() &&
                               existing->second->id != id &&
                               !planned.accounts.contains(existing->second->id);
            if (!is_new || taken) {
                planned.problems.push_back(path + ": this key id belongs to another account");
            }
        }
    }
}

void configuration::check_route(changes& planned, const route& checked) const {
    const std::string path = "/routes/" + checked.id.value;
    const auto exists = [](const auto& changed, const auto& present, const auto& id) {
        const auto found = changed.find(id);
        return found == changed.end() ? present.contains(id) : found->second != nullptr;
    };
    if (!exists(planned.services, this->services_by_id, checked.service)) {
        planned.problems.push_back(path + "/service: no service " + checked.service.value);
    }
    for (const std::string& account : checked.accounts) {
        if (!exists(planned.accounts, this->accounts_by_id, account_id{account})) {
            std::string problem = path;
            problem.append("/accounts: no account ").append(account);
            planned.problems.push_back(std::move(problem));
        }
    }
}

void configuration::check_references(changes& planned) const {
    std::map<std::pair<std::string, std::string>, route_id> prefixes;
    for (const auto& [id, changed] : planned.routes) {
        if (changed == nullptr) {
            continue;
        }
        this->check_route(planned, *changed);
        const auto [other, is_new] =
            prefixes.emplace(std::pair(changed->host, changed->path_prefix), id);
        const route_ptr present = this->table.find_exact(changed->host, changed->path_prefix);
        const bool taken =
            present != nullptr && present->id != id && !planned.routes.contains(present->id);
        if (!is_new || taken) {
            planned.problems.push_back("/routes/" + id.value +
                                       "/path_prefix: another route has this host and prefix");
        }
    }
    // Only a removal can invalidate a route that the patch does not name.
    const auto is_removal = [](const auto& change) { return change.second == nullptr; };
    if (std::any_of(planned.services.begin(), planned.services.end(), is_removal) ||
        std::any_of(planned.accounts.begin(), planned.accounts.end(), is_removal)) {
        for (const auto& [id, present] : this->routes_by_id) {
            if (!planned.routes.contains(id)) {
                this->check_route(planned, *present);
            }
        }
    }
}

result<void> configuration::check(const nlohmann::json& merge_patch) const {
    if (const changes planned = this->plan(merge_patch); !planned.problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(planned.problems));
    }
    return {};
}

result<void> configuration::apply(config_number number, const nlohmann::json& merge_patch) {
    assert(number > this->current);
    const changes planned = this->plan(merge_patch);
    if (!planned.problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(planned.problems));
    }
    this->source.merge_patch(merge_patch);
    this->commit(planned);
    this->current = number;
    return {};
}

result<void> configuration::load(config_number number, const nlohmann::json& document) {
    assert(number >= this->current);
    configuration fresh;
    if (auto applied = fresh.apply(config_number{number.value + 1}, document); !applied) {
        return applied;
    }
    fresh.current = number;
    *this = std::move(fresh);
    return {};
}

void configuration::commit(const changes& planned) {
    // Old entities are removed first, so that a key id or prefix can move between entities.
    for (const auto& [id, account] : planned.accounts) {
        this->replace_account(id, nullptr);
    }
    for (const auto& [id, account] : planned.accounts) {
        this->replace_account(id, account);
    }
    for (const auto& [id, changed] : planned.services) {
        if (changed == nullptr) {
            this->services_by_id.erase(id);
        } else {
            this->services_by_id[id] = changed;
        }
    }
    for (const auto& [id, changed] : planned.routes) {
        this->replace_route(id, nullptr);
    }
    for (const auto& [id, changed] : planned.routes) {
        this->replace_route(id, changed);
    }
}

void configuration::replace_account(const account_id& id, const client_account_ptr& account) {
    if (const auto present = this->accounts_by_id.find(id); present != this->accounts_by_id.end()) {
        for (const auto& [key_id, key] : present->second->keys) {
            this->accounts_by_key_id.erase(key_id);
        }
        this->accounts_by_id.erase(present);
    }
    if (account == nullptr) {
        return;
    }
    this->accounts_by_id[id] = account;
    for (const auto& [key_id, key] : account->keys) {
        this->accounts_by_key_id[key_id] = account;
    }
}

void configuration::replace_route(const route_id& id, const route_ptr& added) {
    if (const auto present = this->routes_by_id.find(id); present != this->routes_by_id.end()) {
        this->table.erase(*present->second);
        this->routes_by_id.erase(present);
    }
    if (added != nullptr) {
        this->routes_by_id[id] = added;
        this->table.insert(added);
    }
}

key_owner configuration::find_key(std::string_view key_id) const {
    const std::string id(key_id);
    const auto found = this->accounts_by_key_id.find(id);
    if (found == this->accounts_by_key_id.end()) {
        return {};
    }
    return {found->second, found->second->keys.at(id)};
}

client_account_ptr configuration::find_account(const account_id& id) const {
    const auto found = this->accounts_by_id.find(id);
    return found == this->accounts_by_id.end() ? nullptr : found->second;
}

service_ptr configuration::find_service(const service_id& id) const {
    const auto found = this->services_by_id.find(id);
    return found == this->services_by_id.end() ? nullptr : found->second;
}

route_ptr configuration::find_route(std::string_view host, std::string_view path) const {
    return this->table.find(host, path);
}

result<nlohmann::json> to_merge_patch(const nlohmann::json& document,
                                      const nlohmann::json& json_patch) {
    try {
        const nlohmann::json changed = document.patch(json_patch);
        if (contains_null(changed)) {
            return fail(error_kind::invalid_value, "/: a patch must not set a value to null");
        }
        return diff_as_merge_patch(document, changed);
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_kind::invalid_value, problem.what());
    }
}

nlohmann::json diff_as_merge_patch(const nlohmann::json& from, const nlohmann::json& to) {
    if (!from.is_object() || !to.is_object()) {
        return to;
    }
    nlohmann::json patch = nlohmann::json::object();
    for (const auto& [name, value] : from.items()) {
        if (!to.contains(name)) {
            patch[name] = nullptr;
        }
    }
    for (const auto& [name, value] : to.items()) {
        const auto present = from.find(name);
        if (present == from.end()) {
            patch[name] = value;
        } else if (*present != value) {
            patch[name] = diff_as_merge_patch(*present, value);
        }
    }
    return patch;
}

} // namespace knapweedknot
