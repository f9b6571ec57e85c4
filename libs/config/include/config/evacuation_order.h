#pragma once

#include <cstdint>

#include "base/ids.h"

/// \file
/// An operator's order to send no requests to the targets of a failure domain.

namespace knapweedknot {

/// The evacuation order of a failure domain as it was last changed.
struct evacuation_order {
    failure_domain_id failure_domain;
    /// False when the order has been removed.
    bool in_force{true};
    /// Store revision of the change.
    std::uint64_t revision{0};
    /// False when the order's value is malformed. The order is in force all the same, because its
    /// key contains all the information.
    bool readable{true};
};

} // namespace knapweedknot
