#include "proxy/request_preparation.h"

#include <charconv>

#include "base/digest.h"
#include "event/hop_by_hop.h"
#include "event/uri.h"

namespace knapweedknot {

namespace {

/// True for headers that the proxy consumes or sets itself, so that the caller's are not forwarded.
bool is_own_header(std::string_view name, const header_names& names) {
    return equal_ignoring_case(name, names.api_key) || equal_ignoring_case(name, names.account) ||
           equal_ignoring_case(name, names.time_left_ms) ||
           equal_ignoring_case(name, names.intended_target) ||
           equal_ignoring_case(name, names.not_executed);
}

std::uint64_t fingerprint_of(const incoming_request& incoming, const account_id& account) {
    std::string text(incoming.method());
    text.append(" ").append(incoming.uri()).append("\n").append(account.value).append("\n");
    return hash64(text + body_text(incoming.body()));
}

} // namespace

result<matched_request> match_request(const incoming_request& incoming,
                                      const traffic_policy& policy, const header_names& names) {
    matched_request matched;
    matched.route = policy.find_route(host_without_port(incoming.header("Host")), incoming.path());
    if (matched.route == nullptr) {
        return fail(error_kind::route_not_found, "no route for this host and path");
    }
    const std::string key(incoming.header(names.api_key));
    if (!key.empty()) {
        matched.account = policy.find_account(key);
    }
    if (matched.account == nullptr && !matched.route->open && !policy.accounts().empty()) {
        return fail(key.empty() ? error_kind::key_missing : error_kind::key_unknown,
                    "the route needs a valid key");
    }
    return matched;
}

duration remaining_time(const incoming_request& incoming, const traffic_route& route,
                        const header_names& names) {
    const std::string_view text = incoming.header(names.time_left_ms);
    long long value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, value);
    if (text.empty() || code != std::errc() || value < 0) {
        return route.timeout;
    }
    return milliseconds(value);
}

proxied_request make_proxied_request(const incoming_request& incoming,
                                     const matched_request& matched, const header_names& names) {
    proxied_request request;
    request.id = std::string(incoming.header(names.request_id));
    request.route = matched.route;
    request.priority = matched.route->priority;
    request.arrived_at = incoming.arrived();
    request.deadline =
        request.arrived_at +
        std::min(matched.route->timeout, remaining_time(incoming, *matched.route, names));
    request.message.method = std::string(incoming.method());
    request.message.uri = incoming.uri();
    for (const auto& [name, value] : incoming.headers()) {
        if (!is_hop_by_hop(name) && !is_own_header(name, names) &&
            !is_connection_option(incoming.headers(), name)) {
            request.message.headers.push_back({name, value});
        }
    }
    if (matched.account != nullptr) {
        request.account = matched.account->id;
        request.priority = matched.account->priority.value_or(request.priority);
        request.message.headers.push_back({names.account, matched.account->id.value});
    }
    request.regions = combine_regions(
        matched.route->allowed_regions,
        matched.account == nullptr ? std::vector<region_id>() : matched.account->allowed_regions);
    request.message.body = copy_body(incoming.body());
    request.fingerprint = fingerprint_of(incoming, request.account);
    return request;
}

http_response make_forwarded_response(http_response&& answer, bool is_head) {
    const http_headers all = answer.headers;
    std::erase_if(answer.headers, [&](const http_header& header) {
        const bool is_length_of_head =
            is_head && equal_ignoring_case(header.name, "Content-Length");
        return (is_hop_by_hop(header.name) && !is_length_of_head) ||
               is_connection_option(all, header.name);
    });
    return std::move(answer);
}

} // namespace knapweedknot
