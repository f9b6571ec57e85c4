#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "config/entities.h"

/// \file
/// Lookup of routes by host and path, at a cost independent of the number of routes.

namespace knapweedknot {

/// Finds the route with the longest matching path prefix. Not thread safe.
class route_table {
public:
    /// Adds \p added. Returns false and changes nothing when a route with the same host and prefix
    /// exists.
    bool insert(const route_ptr& added);
    /// Removes the route with the host and prefix of \p removed, if there is one.
    void erase(const route& removed);
    /// Returns the route for \p host (without port) and \p path (without query); null when none
    /// matches. A route for this host takes precedence over one for every host.
    [[nodiscard]] route_ptr find(std::string_view host, std::string_view path) const;
    /// Returns the route with exactly this host and prefix; null when there is none.
    [[nodiscard]] route_ptr find_exact(const std::string& host, const std::string& prefix) const;

private:
    [[nodiscard]] route_ptr find_for_host(std::string_view host, std::string_view path) const;

    std::unordered_map<std::string, route_ptr> by_host_and_prefix;
};

} // namespace knapweedknot
