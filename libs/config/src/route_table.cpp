#include "config/route_table.h"

namespace knapweedknot {

namespace {

std::string table_key(std::string_view host, std::string_view prefix) {
    std::string key(host);
    key += ' ';
    key += prefix;
    return key;
}

/// Removes the last path segment: "/a/b" becomes "/a", "/a" becomes "/", "/" becomes empty.
std::string_view parent_path(std::string_view path) {
    if (path.size() <= 1) {
        return {};
    }
    const std::size_t slash = path.rfind('/');
    return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

} // namespace

bool route_table::insert(const route_ptr& added) {
    return this->by_host_and_prefix.emplace(table_key(added->host, added->path_prefix), added)
        .second;
}

void route_table::erase(const route& removed) {
    this->by_host_and_prefix.erase(table_key(removed.host, removed.path_prefix));
}

route_ptr route_table::find_exact(const std::string& host, const std::string& prefix) const {
    const auto found = this->by_host_and_prefix.find(table_key(host, prefix));
    return found == this->by_host_and_prefix.end() ? nullptr : found->second;
}

route_ptr route_table::find(std::string_view host, std::string_view path) const {
    if (route_ptr specific = this->find_for_host(host, path); specific != nullptr) {
        return specific;
    }
    return this->find_for_host("", path);
}

route_ptr route_table::find_for_host(std::string_view host, std::string_view path) const {
    for (std::string_view prefix = path; !prefix.empty(); prefix = parent_path(prefix)) {
        const auto found = this->by_host_and_prefix.find(table_key(host, prefix));
        if (found != this->by_host_and_prefix.end()) {
            return found->second;
        }
    }
    return nullptr;
}

} // namespace knapweedknot
