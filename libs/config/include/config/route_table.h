#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "config/entities.h"

/// \file
/// Look-up of routes by host and path, independent of the number of routes.

namespace knapweedknot {

/// Finds the route with the longest matching path prefix. Not thread safe.
class route_table {
public:
    /// Adds \p added. Returns false, and changes nothing, when another route has its host and
    /// prefix.
    bool insert(const route_ptr& added);
    /// Removes \p removed if it is in the table.
    void erase(const route& removed);
    /// The route for \p host (no port) and \p path (no query); null when none matches. A route
    /// that names the host goes before one for every host.
    [[nodiscard]] route_ptr find(std::string_view host, std::string_view path) const;
    /// The route with exactly this host and prefix; null when there is none.
    [[nodiscard]] route_ptr find_exact(const std::string& host, const std::string& prefix) const;

private:
    [[nodiscard]] route_ptr find_for_host(std::string_view host, std::string_view path) const;

    std::unordered_map<std::string, route_ptr> by_host_and_prefix;
};

} // namespace knapweedknot
