#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/entities.h"

/// \file
/// Checked parsing of single entities. Each function appends one line, with the path of the bad
/// value, to \p problems for each problem; the entity is usable only when none was added.
/// All functions are thread safe.

namespace knapweedknot {

[[nodiscard]] client_account parse_account(const std::string& name, const nlohmann::json& source,
                                           std::vector<std::string>& problems);
[[nodiscard]] service parse_service(const std::string& name, const nlohmann::json& source,
                                    std::vector<std::string>& problems);
[[nodiscard]] route parse_route(const std::string& name, const nlohmann::json& source,
                                std::vector<std::string>& problems);

} // namespace knapweedknot
