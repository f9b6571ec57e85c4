#pragma once

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/ids.h"
#include "event/http_server.h"

/// \file
/// Responses that an instance generates itself.

namespace knapweedknot {

/// Sends the response for the error kind of \p problem: its HTTP status, a JSON body, and headers
/// with the error kind and whether the request ran.
void send_error_response(incoming_request& request, const error& problem,
                         const instance_id& instance);

/// Responds to \p request with \p body as JSON.
void send_json_response(incoming_request& request, int status, const nlohmann::json& body);

/// Responds to \p request with \p body as text of \p content_type.
void send_text_response(incoming_request& request, int status, const std::string& body,
                        const std::string& content_type);

} // namespace knapweedknot
