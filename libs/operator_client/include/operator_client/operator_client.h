#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "base/endpoint.h"
#include "base/error.h"

/// \file
/// Blocking client of an instance's operator API, for command-line tools and tests.

namespace knapweedknot {

/// An HTTP response of an instance.
struct operator_response {
    int status{0};
    /// Discarded value when the response body is not JSON.
    nlohmann::json body;
    /// The response body when it is not JSON.
    std::string text;
};

/// Address of an operator API and the credentials for it.
struct operator_endpoint {
    endpoint address;
    /// Bearer token.
    std::string token;
};

/// Sends a request and waits up to 30 seconds for the response. \p content_type is empty when there
/// is no body. The error is connect_failed when nothing was sent, and outcome_unknown when the
/// request may have been sent. Blocks the calling thread.
[[nodiscard]] result<operator_response> call(const operator_endpoint& server,
                                             const std::string& method, const std::string& uri,
                                             const std::string& content_type,
                                             const std::string& body);

} // namespace knapweedknot
