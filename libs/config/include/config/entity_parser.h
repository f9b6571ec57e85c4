#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/entities.h"

/// \file
/// Parses and validates single entities. For each problem, a function appends one line with the
/// path of the invalid value to \p problems; the returned entity is valid only when it appended
/// none. All functions are thread safe.

namespace knapweedknot {

/// Parses the client account at "/accounts/NAME".
[[nodiscard]] client_account parse_account(const std::string& name, const nlohmann::json& source,
                                           std::vector<std::string>& problems);
/// Parses the service at "/services/NAME", with its targets.
[[nodiscard]] service parse_service(const std::string& name, const nlohmann::json& source,
                                    std::vector<std::string>& problems);
/// Parses the route at "/routes/NAME". References to other entities are not checked.
[[nodiscard]] route parse_route(const std::string& name, const nlohmann::json& source,
                                std::vector<std::string>& problems);

} // namespace knapweedknot
