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

} // namespace

traffic_policy::traffic_policy(parts&& content)
    : version(content.number), request_bounds(content.limits), total_routes(content.routes.size()) {
    for (traffic_route& route : content.routes) {
        assert(!route.split.empty());
        const auto shared = std::make_shared<const traffic_route>(std::move(route));
        this->by_host[to_lower(shared->host)][shared->prefix] = shared;
    }
    for (traffic_account& account : content.accounts) {
        const auto shared = std::make_shared<const traffic_account>(std::move(account));
        this->all_accounts.push_back(shared);
        for (const std::string& key : shared->keys) {
            this->by_key[key] = shared;
        }
    }
    for (traffic_service& service : content.services) {
        const service_id id = service.id;
        this->services_by_id.emplace(id, std::move(service));
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
