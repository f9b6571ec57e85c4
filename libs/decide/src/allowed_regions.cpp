#include "decide/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace knapweedknot {

namespace {

bool contains(const std::vector<region_id>& regions, const region_id& region) {
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

allowed_regions combine_regions(const std::vector<region_id>& of_route,
                                const std::vector<region_id>& of_account) {
    if (of_route.empty() && of_account.empty()) {
        return {};
    }
    if (of_route.empty() || of_account.empty()) {
        return {true, of_route.empty() ? of_account : of_route};
    }
    allowed_regions both{true, {}};
    std::copy_if(of_route.begin(), of_route.end(), std::back_inserter(both.regions),
                 [&of_account](const region_id& region) { return contains(of_account, region); });
    return both;
}

bool is_allowed(const allowed_regions& allowed, const domain_regions& regions,
                const failure_domain_id& domain) {
    if (!allowed.restricted) {
        return true;
    }
    const auto known = regions.find(domain);
    return known != regions.end() && contains(allowed.regions, known->second);
}

} // namespace knapweedknot
