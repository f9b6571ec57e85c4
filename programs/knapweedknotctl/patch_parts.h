#pragma once

#include <vector>

#include <nlohmann/json.hpp>

/// \file
/// Splits a large merge patch into smaller ones that are valid one after another.

namespace knapweedknot {

/// Parts of \p patch, each of about \p max_bytes at most, in an order in which no route refers to
/// an account or service that is missing: routes are removed first and added last. A patch that
/// is small enough stays whole. Thread safe.
[[nodiscard]] std::vector<nlohmann::json> split_patch(const nlohmann::json& patch,
                                                      std::size_t max_bytes);

} // namespace knapweedknot
