#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "base/endpoint.h"
#include "base/error.h"

/// \file
/// Blocking calls to an instance, for the operators' tool.

namespace knapweedknot {

/// An answer of an instance.
struct operator_answer {
    int status{0};
    nlohmann::json body;
};

/// Where and as whom to call.
struct operator_target {
    endpoint address;
    std::string token;
};

/// Sends a request and waits for the answer. \p content_type is empty when there is no body. The
/// error is connect_failed when nothing was sent, and outcome_unknown when it may have been.
[[nodiscard]] result<operator_answer> call(const operator_target& target, const std::string& method,
                                           const std::string& uri, const std::string& content_type,
                                           const std::string& body);

} // namespace knapweedknot
