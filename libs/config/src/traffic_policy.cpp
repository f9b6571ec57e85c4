#include "config/traffic_policy.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace knapweedknot {

namespace {

std::string to_lower(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

policy_problem describe_hidden_route(const traffic_route& hidden, const traffic_route& later) {
    return {{std::nullopt, "route", hidden.id.value, "prefix"},
            "never matches: the later route " + later.id.value + " has the same host and prefix",
            problem_effect::entry_skipped};
}

/// Names the key by its place, because it is a secret.
policy_problem describe_lost_key(const traffic_account& account, const traffic_account& later,
                                 const std::string& key) {
    const auto position =
        std::find(account.keys.begin(), account.keys.end(), key) - account.keys.begin();
    return {{std::nullopt, "account", account.id.value, "keys/" + std::to_string(position)},
            "never matches: the later account " + later.id.value + " holds the same key",
            problem_effect::field_replaced};
}

} // namespace

traffic_policy::traffic_policy(parts&& content)
    : version(content.number), request_bounds(content.limits), total_routes(content.routes.size()) {
    for (traffic_route& route : content.routes) {
        assert(!route.split.empty());
        const auto shared = std::make_shared<const traffic_route>(std::move(route));
        traffic_route_ptr& found = this->by_host[to_lower(shared->host)][shared->prefix];
        if (found != nullptr) {
            this->found_conflicts.push_back(describe_hidden_route(*found, *shared));
        }
        found = shared;
    }
    for (traffic_account& account : content.accounts) {
        const auto shared = std::make_shared<const traffic_account>(std::move(account));
        this->all_accounts.push_back(shared);
        for (const std::string& key : shared->keys) {
            traffic_account_ptr& found = this->by_key[key];
            if (found != nullptr && found != shared) {
                this->found_conflicts.push_back(describe_lost_key(*found, *shared, key));
            }
            found = shared;
        }
    }
    for (traffic_service& service : content.services) {
        const service_id id = service.id;
        if (!this->services_by_id.emplace(id, std::move(service)).second) {
            this->found_conflicts.push_back({{std::nullopt, "service", id.value, {}},
                                             "never used: an earlier service has the same name",
                                             problem_effect::entry_skipped});
        }
    }
}

traffic_route_ptr traffic_policy::find_route(std::string_view host, std::string_view path) const {
    const auto host_routes = this->by_host.find(to_lower(host));
    if (host_routes == this->by_host.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the slashes in the path can end a matching prefix.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = host_routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != host_routes->second.end()) {
            return found->second;
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

traffic_account_ptr traffic_policy::find_account(const std::string& key) const {
    const auto found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

} // namespace knapweedknot
