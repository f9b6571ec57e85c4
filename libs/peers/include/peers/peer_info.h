#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

/// \file
/// What instances tell each other of themselves when they connect.

namespace knapweedknot {

/// Identity and addresses of an instance.
struct peer_info {
    instance_id instance;
    incarnation_id incarnation;
    failure_domain_id failure_domain;
    /// Where other instances connect.
    endpoint peers_address;
    /// Where this instance listens for others; not told to them.
    endpoint peers_listen;
    /// Where callers connect.
    endpoint callers_address;
    /// Requests per second that its machine serves with ease.
    double capacity{0};
};

} // namespace knapweedknot
