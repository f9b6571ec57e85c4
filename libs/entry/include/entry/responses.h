#pragma once

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/ids.h"
#include "event/http_server.h"

/// \file
/// Answers that an instance makes itself.

namespace knapweedknot {

/// Answers \p request with the table row of \p problem, as JSON, with the headers that tell a
/// program the kind and whether the request ran.
void send_error_response(incoming_request& request, const error& problem,
                         const instance_id& instance);

/// Answers \p request with \p body as JSON.
void send_json_response(incoming_request& request, int status, const nlohmann::json& body);

/// Answers \p request with plain text.
void send_text_response(incoming_request& request, int status, const std::string& body,
                        const std::string& content_type);

} // namespace knapweedknot
