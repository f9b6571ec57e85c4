#include "entry/request_preparation.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "base/digest.h"
#include "config/api_key.h"
#include "entry/header_names.h"
#include "event/hop_by_hop.h"
#include "event/http_methods.h"
#include "event/uri.h"

namespace knapweedknot {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr long long max_deadline_ms = 600'000;

constexpr std::array<std::string_view, 2> api_key_headers{"Authorization", "X-Api-Key"};

template <std::size_t Count>
bool is_one_of(std::string_view name, const std::array<std::string_view, Count>& names) {
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view other) { return equal_ignoring_case(name, other); });
}

bool has_product_prefix(std::string_view name) {
    return equal_ignoring_case(name.substr(0, product_header_prefix.size()), product_header_prefix);
}

} // namespace

result<void> read_api_key(request_context& context) {
    const std::string_view authorization = context.incoming->header("Authorization");
    if (!authorization.empty()) {
        if (!equal_ignoring_case(authorization.substr(0, bearer_prefix.size()), bearer_prefix)) {
            return fail(error_kind::key_missing, "use Authorization: Bearer KEY");
        }
        context.api_key = authorization.substr(bearer_prefix.size());
        return {};
    }
    context.api_key = context.incoming->header("X-Api-Key");
    return {};
}

result<void> find_route(request_context& context, const configuration& config) {
    const std::string_view path = context.incoming->path();
    context.route = config.find_route(host_without_port(context.incoming->header("Host")), path);
    if (context.route == nullptr) {
        return fail(error_kind::route_not_found, "no route for this path");
    }
    const auto& methods = context.route->methods;
    if (!methods.empty() && !methods.contains(std::string(context.incoming->method()))) {
        return fail(error_kind::route_not_found, "the route does not serve this method");
    }
    context.service = config.find_service(context.route->service);
    const idempotency rule = context.route->repeatable;
    context.idempotent =
        rule == idempotency::always ||
        (rule == idempotency::by_method && is_idempotent_method(context.incoming->method()));
    return {};
}

result<client_account_ptr> find_account(const std::string& api_key, const configuration& config) {
    if (api_key.empty()) {
        return fail(error_kind::key_missing, "this route needs a key");
    }
    const auto key_parts = split_key(api_key);
    if (!key_parts) {
        return fail(error_kind::key_unknown, "the key is unknown or withdrawn");
    }
    const key_owner owner = config.find_key(key_parts->key_id);
    if (owner.account == nullptr || !key_matches(owner.key, key_parts->secret)) {
        return fail(error_kind::key_unknown, "the key is unknown or withdrawn");
    }
    return owner.account;
}

result<void> authenticate(request_context& context, const configuration& config) {
    if (context.route->open) {
        return {};
    }
    auto account = find_account(context.api_key, config);
    if (!account) {
        return tl::unexpected(account.error());
    }
    const auto& allowed = context.route->accounts;
    if (!allowed.empty() && !allowed.contains((*account)->id.value)) {
        return fail(error_kind::account_not_allowed, "the account may not use this route");
    }
    context.account = std::move(*account);
    return {};
}

result<void> refuse_exposed_key(const request_context& context) {
    const auto key_parts = split_key(context.api_key);
    if (!key_parts) {
        return {};
    }
    const std::string_view secret = key_parts->secret;
    const auto contains_secret = [secret](std::string_view text) {
        return text.find(secret) != std::string_view::npos;
    };
    const std::string& uri = context.incoming->uri();
    if (contains_secret(uri) ||
        (uri.find('%') != std::string::npos && contains_secret(decode_uri_component(uri)))) {
        return fail(error_kind::key_exposed, "the URI holds the key");
    }
    for (const auto& [name, value] : context.incoming->headers()) {
        if (!is_one_of(name, api_key_headers) &&
            (contains_secret(value) || contains_secret(name))) {
            return fail(error_kind::key_exposed, "a header that targets see holds the key");
        }
    }
    return {};
}

result<void> set_deadline(request_context& context) {
    const std::string_view text = context.incoming->header(deadline_header);
    if (text.empty()) {
        context.deadline = context.arrived_at + context.service->policy.request_timeout;
        return {};
    }
    long long value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc{} || stop != end || value < 1 || value > max_deadline_ms) {
        return fail(error_kind::bad_request,
                    std::string(deadline_header) + " must be from 1 to 600000 ms, a whole number");
    }
    context.deadline = context.arrived_at + milliseconds(value);
    return {};
}

http_request make_target_request(const request_context& context) {
    const incoming_request& incoming = *context.incoming;
    http_request request;
    request.method = std::string(incoming.method());
    request.uri = incoming.uri();
    for (const auto& [name, value] : incoming.headers()) {
        const bool is_dropped = is_hop_by_hop(name) || is_one_of(name, api_key_headers) ||
                                has_product_prefix(name) ||
                                is_connection_option(incoming.headers(), name);
        if (!is_dropped) {
            request.headers.push_back({name, value});
        }
    }
    if (context.account != nullptr) {
        request.headers.push_back({std::string(account_header), context.account->id.value});
    }
    request.headers.push_back({"X-Forwarded-For", incoming.caller_ip()});
    request.body = copy_body(incoming.body());
    return request;
}

http_request make_instance_request(const request_context& context, duration left) {
    const incoming_request& incoming = *context.incoming;
    http_request request;
    request.method = std::string(incoming.method());
    request.uri = incoming.uri();
    for (const auto& [name, value] : incoming.headers()) {
        const bool is_dropped = is_hop_by_hop(name) || has_product_prefix(name) ||
                                is_connection_option(incoming.headers(), name);
        if (!is_dropped) {
            request.headers.push_back({name, value});
        }
    }
    request.headers.push_back({std::string(passed_on_header), "1"});
    request.headers.push_back(
        {std::string(deadline_header), std::to_string(std::max(1LL, to_milliseconds(left)))});
    request.body = copy_body(incoming.body());
    return request;
}

std::uint64_t fingerprint_of(const request_context& context) {
    std::string text(context.incoming->method());
    text.append(" ").append(context.incoming->uri()).append("\n");
    return hash64(text + body_text(context.incoming->body()));
}

http_response make_relayed_response(http_response&& answer, bool is_head) {
    std::erase_if(answer.headers, [&](const http_header& header) {
        const bool is_length_of_head =
            is_head && equal_ignoring_case(header.name, "Content-Length");
        return is_hop_by_hop(header.name) && !is_length_of_head;
    });
    return std::move(answer);
}

http_response make_caller_response(http_response&& answer, bool is_head) {
    const http_headers all = answer.headers;
    answer = make_relayed_response(std::move(answer), is_head);
    std::erase_if(answer.headers, [&all](const http_header& header) {
        return has_product_prefix(header.name) || is_connection_option(all, header.name);
    });
    return std::move(answer);
}

} // namespace knapweedknot
