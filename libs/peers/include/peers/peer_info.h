#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

/// \file
/// Identity that instances exchange when they connect.

namespace knapweedknot {

/// Identity and addresses of an instance.
struct peer_info {
    instance_id instance;
    incarnation_id incarnation;
    failure_domain_id failure_domain;
    /// Address that other instances connect to.
    endpoint peers_address;
    /// Address on which this instance listens for other instances; not sent to them.
    endpoint peers_listen;
    /// Address that callers connect to.
    endpoint callers_address;
    /// Requests per second that the instance's machine can sustain.
    double capacity{0};
};

} // namespace knapweedknot
