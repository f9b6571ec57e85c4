#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "config/configuration.h"
#include "event/http_message.h"
#include "event/http_server.h"

/// \file
/// The steps that a request passes before anything waits: each is a function over the request's
/// context that succeeds or gives the refusal.

namespace knapweedknot {

/// What is known of a request on its way through an instance.
struct request_context {
    std::shared_ptr<incoming_request> incoming;
    time_point arrived_at;
    time_point deadline;
    route_ptr route;
    service_ptr service;
    /// Null on a route that is open to all.
    client_account_ptr account;
    /// The presented key; never logged and never sent on.
    std::string api_key;
    /// True when a target may run the request more than once.
    bool idempotent{false};
};

/// Takes the presented key from "Authorization: Bearer KEY" or "X-Api-Key: KEY", if there is one.
[[nodiscard]] result<void> read_api_key(request_context& context);
/// Finds the route and its service.
[[nodiscard]] result<void> find_route(request_context& context, const configuration& config);
/// Finds the account of the presented key and checks that it may use the route. Open routes pass.
[[nodiscard]] result<void> authenticate(request_context& context, const configuration& config);
/// Finds the account of the presented key, whatever the route.
[[nodiscard]] result<client_account_ptr> find_account(const std::string& api_key,
                                                      const configuration& config);
/// Refuses a request that would show the presented key to a target in its URI or in a header.
[[nodiscard]] result<void> refuse_exposed_key(const request_context& context);
/// Sets the deadline from the caller's header or the service's policy.
[[nodiscard]] result<void> set_deadline(request_context& context);

/// The request to send to a target: without keys, hop-by-hop headers and the product's own ones,
/// with the account's name. The body is shared with the incoming request.
[[nodiscard]] http_request make_target_request(const request_context& context);
/// The request to pass on to another instance, with the key and the time that is left.
[[nodiscard]] http_request make_instance_request(const request_context& context, duration left);
/// The same answer of another instance: without hop-by-hop headers, framed anew.
[[nodiscard]] http_answer make_relayed_response(http_answer&& answer, bool is_head);
/// Hash of what the request asks for: method, URI and body.
[[nodiscard]] std::uint64_t fingerprint_of(const request_context& context);
/// The answer to pass on: without hop-by-hop headers, framed anew.
[[nodiscard]] http_answer make_caller_response(http_answer&& answer, bool is_head);

} // namespace knapweedknot
