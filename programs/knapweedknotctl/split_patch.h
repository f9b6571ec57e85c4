#pragma once

#include <vector>

#include <nlohmann/json.hpp>

/// \file
/// Splits a large merge patch into smaller patches that can be applied in sequence.

namespace knapweedknot {

/// Splits \p patch into parts of about \p max_bytes at most, to be applied in order. Routes are
/// removed first and added after accounts and services, so that no route refers to a missing
/// account or service. A patch that is small enough is returned as the only part. Thread safe.
[[nodiscard]] std::vector<nlohmann::json> split_patch(const nlohmann::json& patch,
                                                      std::size_t max_bytes);

} // namespace knapweedknot
