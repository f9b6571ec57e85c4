#pragma once

#include <map>
#include <vector>

#include "base/ids.h"

/// \file
/// The regions whose targets may get a request.
///
/// All functions are pure and thread safe.

namespace knapweedknot {

/// Region of each failure domain.
using domain_regions = std::map<failure_domain_id, region_id>;

/// The regions whose targets may get a request.
struct allowed_regions {
    /// False when targets of all regions may get it.
    bool restricted{false};
    /// The permitted regions if restricted; may be empty.
    std::vector<region_id> regions;
};

/// Regions that a route and a client account both permit. An empty list permits all regions.
[[nodiscard]] allowed_regions combine_regions(const std::vector<region_id>& of_route,
                                              const std::vector<region_id>& of_account);

/// Whether targets in \p domain may get the request. A domain whose region is not known may get it
/// only if it is not restricted.
[[nodiscard]] bool is_allowed(const allowed_regions& allowed, const domain_regions& regions,
                              const failure_domain_id& domain);

} // namespace knapweedknot
