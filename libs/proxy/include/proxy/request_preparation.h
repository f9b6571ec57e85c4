#pragma once

#include <string>

#include "base/error.h"
#include "config/traffic_policy.h"
#include "event/http_server.h"
#include "proxy/header_names.h"
#include "proxy/proxied_request.h"

/// \file
/// The steps from a caller's message to a request for a service. All functions are thread safe.

namespace knapweedknot {

/// What the policy says of a request.
struct matched_request {
    traffic_route_ptr route;
    /// Owner of the presented key; null without one on an open route.
    traffic_account_ptr account;
};

/// Finds the route and the account. The error is route_not_found, key_missing or key_unknown.
[[nodiscard]] result<matched_request> match_request(const incoming_request& incoming,
                                                    const traffic_policy& policy,
                                                    const header_names& names);

/// Time that the caller still waits; the route's timeout when it does not say.
[[nodiscard]] duration remaining_time(const incoming_request& incoming, const traffic_route& route,
                                      const header_names& names);

/// The request to send: the caller's, without its key, the headers that belong to its connection
/// and those that the proxy sets itself, and with the account's name.
[[nodiscard]] proxied_request make_proxied_request(const incoming_request& incoming,
                                                   const matched_request& matched,
                                                   const header_names& names);

/// The answer to pass on: the target's, without the headers that belong to its connection.
[[nodiscard]] http_answer make_forwarded_response(http_answer&& answer, bool is_head);

} // namespace knapweedknot
