#pragma once

#include <string>

#include "base/error.h"
#include "config/traffic_policy.h"
#include "event/http_server.h"
#include "proxy/header_names.h"
#include "proxy/proxied_request.h"

/// \file
/// Route matching, authentication and header rewriting. All functions are thread safe.

namespace knapweedknot {

/// Route and client account of a request under a traffic policy.
struct matched_request {
    traffic_route_ptr route;
    /// Account of the presented API key; null for a request without a valid key on an open route.
    traffic_account_ptr account;
};

/// Finds the route and the account of a request. The error is route_not_found, key_missing or
/// key_unknown.
[[nodiscard]] result<matched_request> match_request(const incoming_request& incoming,
                                                    const traffic_policy& policy,
                                                    const header_names& names);

/// Time left until the caller's deadline, by its header; the route's timeout if the header is
/// missing or invalid.
[[nodiscard]] duration remaining_time(const incoming_request& incoming, const traffic_route& route,
                                      const header_names& names);

/// Builds the request to send; takes over the body of \p incoming. Removes the API key, hop-by-hop
/// headers and headers that the proxy sets itself, and adds the account's name.
[[nodiscard]] proxied_request make_proxied_request(incoming_request& incoming,
                                                   const matched_request& matched,
                                                   const header_names& names);

/// Builds the response to forward: the target's response without hop-by-hop headers. The response
/// to a HEAD request keeps its Content-Length.
[[nodiscard]] http_response make_forwarded_response(http_response&& answer, bool is_head);

} // namespace knapweedknot
