#pragma once

#include <string>

#include "event/http_client.h"
#include "event/loop.h"
#include "fleet.h"

/// \file
/// Single blocking requests for system tests.

namespace knapweedknot::harness {

/// What a caller received. Status zero means that there was no answer.
struct fetched {
    int status{0};
    http_headers headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const {
        const std::string* value = find_header(this->headers, name);
        return value == nullptr ? "" : *value;
    }
};

/// Sends one request on a connection of its own.
inline fetched fetch(fleet& running, const endpoint& address, const std::string& method,
                     const std::string& uri, const http_headers& headers) {
    http_request request;
    request.method = method;
    request.uri = uri;
    request.headers = headers;
    request.headers.push_back({"Host", "fleet"});
    fetched answer;
    send_once(running.events(), address, request, seconds(8), {}, [&](http_outcome outcome) {
        if (outcome) {
            answer = {outcome->status, std::move(outcome->headers), body_text(outcome->body.get())};
        }
        running.events().stop();
    });
    running.events().run();
    return answer;
}

/// The header that carries a caller's key.
inline http_headers with_key(const std::string& key) {
    return {{"Authorization", "Bearer " + key}};
}

/// Accounts, one service of all targets, and routes "/work", "/once" and "/open".
inline nlohmann::json usual_configuration(const fleet& running) {
    nlohmann::json service = running.service();
    service["request_timeout_ms"] = 2000;
    return {{"accounts", {{"shop", {{"rate_per_s", 500}, {"burst", 100}}}}},
            {"services", {{"work", service}}},
            {"routes",
             {{"work", {{"path_prefix", "/work"}, {"service", "work"}}},
              {"once", {{"path_prefix", "/once"}, {"service", "work"}, {"idempotent", "never"}}},
              {"open", {{"path_prefix", "/open"}, {"service", "work"}, {"open", true}}}}}};
}

} // namespace knapweedknot::harness
