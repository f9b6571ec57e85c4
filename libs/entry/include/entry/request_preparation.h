#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "config/configuration.h"
#include "event/http_message.h"
#include "event/http_server.h"

/// \file
/// Route matching, authentication and header rewriting of requests. A step succeeds and fills in
/// the request's context, or returns the error to refuse the request with.

namespace knapweedknot {

/// State of a request while an instance processes it.
struct request_context {
    std::shared_ptr<incoming_request> incoming;
    time_point arrived_at;
    time_point deadline;
    route_ptr route;
    service_ptr service;
    /// Null on open routes, which need no API key.
    client_account_ptr account;
    /// The caller's API key. Never logged and never sent to a target.
    std::string api_key;
    /// True when the request may be run more than once, so that it can be retried.
    bool idempotent{false};
};

/// Reads the API key from "Authorization: Bearer KEY" or "X-Api-Key: KEY". Without either header
/// the key is empty. The error is key_missing.
[[nodiscard]] result<void> read_api_key(request_context& context);
/// Finds the route and its service. The error is route_not_found.
[[nodiscard]] result<void> find_route(request_context& context, const configuration& config);
/// Finds the account of the API key and checks that it may use the route. Open routes need none.
/// The error is key_missing, key_unknown or account_not_allowed.
[[nodiscard]] result<void> authenticate(request_context& context, const configuration& config);
/// Finds the account of \p api_key. The error is key_missing or key_unknown.
[[nodiscard]] result<client_account_ptr> find_account(const std::string& api_key,
                                                      const configuration& config);
/// Refuses a request whose URI or headers would disclose the API key's secret to a target. The
/// error is key_exposed.
[[nodiscard]] result<void> refuse_exposed_key(const request_context& context);
/// Sets the deadline from the caller's header, or from the service's request timeout if there is
/// none. The error is bad_request.
[[nodiscard]] result<void> set_deadline(request_context& context);

/// Builds the request to send to a target. Removes the API key, hop-by-hop headers and headers of
/// the product, and adds the account's name. The body is shared with the incoming request.
[[nodiscard]] http_request make_target_request(const request_context& context);
/// Builds the request to forward to another instance, with the API key and \p left as its time to
/// the deadline.
[[nodiscard]] http_request make_instance_request(const request_context& context, duration left);
/// Builds the response to forward from another instance: its response without hop-by-hop headers.
/// The response to a HEAD request keeps its Content-Length.
[[nodiscard]] http_response make_relayed_response(http_response&& answer, bool is_head);
/// Hash of the method, URI and body.
[[nodiscard]] std::uint64_t fingerprint_of(const request_context& context);
/// Builds the response to forward from a target: like make_relayed_response(), and also without the
/// headers of the product and those that its Connection header lists.
[[nodiscard]] http_response make_caller_response(http_response&& answer, bool is_head);

} // namespace knapweedknot
