#pragma once

#include <algorithm>
#include <string>

#include "event/http_client.h"
#include "event/loop.h"
#include "executions.h"
#include "fetched.h"
#include "fleet.h"

/// \file
/// Single blocking requests for system tests.

namespace knapweedknot::harness {

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
    nlohmann::json service = running.service_settings();
    service["request_timeout_ms"] = 2000;
    return {{"accounts", {{"shop", {{"rate_per_s", 500}, {"burst", 100}}}}},
            {"services", {{"work", service}}},
            {"routes",
             {{"work", {{"path_prefix", "/work"}, {"service", "work"}}},
              {"once", {{"path_prefix", "/once"}, {"service", "work"}, {"idempotent", "never"}}},
              {"open", {{"path_prefix", "/open"}, {"service", "work"}, {"open", true}}}}}};
}

/// A fleet with the usual configuration and one key.
struct served_fleet {
    fleet running;
    std::string key;

    explicit served_fleet(const fleet_options& options = {}) : running(options) {
        this->running.start();
        this->running.patch(usual_configuration(this->running));
        this->key = this->running.add_api_key("shop");
        // Loans are made with the next heartbeats.
        run_for(this->running.events(), seconds(2));
    }
    fetched get(const std::string& uri, const http_headers& extra = {}, int instance = 0) {
        http_headers headers = with_key(this->key);
        headers.insert(headers.end(), extra.begin(), extra.end());
        return fetch(this->running, this->running.callers_address(instance), "GET", uri, headers);
    }
    /// Executions of exactly this URI in the targets' log.
    std::size_t executions_of(const std::string& uri) {
        run_for(this->running.events(), milliseconds(300));
        const auto all = read_executions(this->running.execution_log());
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto& item) { return item.uri == uri; }));
    }
};

} // namespace knapweedknot::harness
