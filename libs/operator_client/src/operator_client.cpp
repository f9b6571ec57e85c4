#include "operator_client/operator_client.h"

#include "event/http_client.h"
#include "event/loop.h"

namespace knapweedknot {

namespace {

constexpr duration call_timeout = seconds(30);
constexpr std::size_t max_response_bytes = std::size_t{256} * 1024 * 1024;

result<operator_response> to_response(http_outcome& outcome) {
    if (!outcome) {
        const bool sent = outcome.error().progress == send_progress::may_be_sent;
        return fail(sent ? error_kind::outcome_unknown : error_kind::connect_failed,
                    outcome.error().problem.detail);
    }
    operator_response response;
    response.status = outcome->status;
    std::string text = body_text(outcome->body.get());
    response.body = nlohmann::json::parse(text, nullptr, false);
    if (response.body.is_discarded()) {
        response.text = std::move(text);
    }
    return response;
}

} // namespace

result<operator_response> call(const operator_endpoint& server, const std::string& method,
                               const std::string& uri, const std::string& content_type,
                               const std::string& body) {
    loop events;
    http_request request;
    request.method = method;
    request.uri = uri;
    request.headers.push_back({"Host", to_string(server.address)});
    request.headers.push_back({"Authorization", "Bearer " + server.token});
    if (!content_type.empty()) {
        request.headers.push_back({"Content-Type", content_type});
    }
    request.body = make_body(body);
    http_client_limits limits;
    limits.max_body_bytes = max_response_bytes;
    result<operator_response> response = fail(error_kind::internal);
    send_once(events, server.address, request, call_timeout, limits, [&](http_outcome outcome) {
        response = to_response(outcome);
        events.stop();
    });
    events.run();
    return response;
}

} // namespace knapweedknot
