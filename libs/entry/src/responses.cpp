#include "entry/responses.h"

#include "entry/header_names.h"

namespace knapweedknot {

namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

void send(incoming_request& request, int status, http_headers headers, const std::string& body) {
    http_response answer;
    answer.status = status;
    answer.headers = std::move(headers);
    if (request.method() == "HEAD") {
        answer.headers.push_back({"Content-Length", std::to_string(body.size())});
    } else {
        answer.body = make_body(body);
    }
    request.respond(std::move(answer));
}

} // namespace

void send_error_response(incoming_request& request, const error& problem,
                         const instance_id& instance) {
    const error_answer& row = answer_for(problem.kind);
    const nlohmann::json body = {
        {"error", row.name}, {"outcome", to_string(row.outcome)}, {"detail", problem.detail}};
    http_headers headers{{"Content-Type", "application/json"},
                         {std::string(error_header), std::string(row.name)},
                         {std::string(outcome_header), std::string(to_string(row.outcome))},
                         {std::string(instance_header), instance.value}};
    if (row.http_status == status_too_many_requests || row.http_status == status_unavailable) {
        headers.push_back({"Retry-After", "1"});
    }
    send(request, row.http_status, std::move(headers), body.dump() + '\n');
}

void send_json_response(incoming_request& request, int status, const nlohmann::json& body) {
    send(request, status, {{"Content-Type", "application/json"}}, body.dump() + '\n');
}

void send_text_response(incoming_request& request, int status, const std::string& body,
                        const std::string& content_type) {
    send(request, status, {{"Content-Type", content_type}}, body);
}

} // namespace knapweedknot
