#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "config/entities.h"

/// \file
/// Checked parsing of single entities. Each function appends one line, with the path of the bad
/// value, to \p problems for each problem; the entity is usable only when none was added.
/// All functions are thread safe.

namespace knapweedknot {

/// Parses "IPV4:PORT". The port must not be zero. Thread safe.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// Text form "IPV4:PORT".
[[nodiscard]] std::string to_string(const endpoint& address);

[[nodiscard]] client_account parse_account(const std::string& name, const nlohmann::json& source,
                                           std::vector<std::string>& problems);
[[nodiscard]] service parse_service(const std::string& name, const nlohmann::json& source,
                                    std::vector<std::string>& problems);
[[nodiscard]] route parse_route(const std::string& name, const nlohmann::json& source,
                                std::vector<std::string>& problems);

} // namespace knapweedknot
