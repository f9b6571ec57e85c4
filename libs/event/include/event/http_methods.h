#pragma once

#include <string_view>

/// \file
/// What RFC 9110 says of methods. All functions are thread safe.

namespace knapweedknot {

/// True for methods that RFC 9110 defines as idempotent.
[[nodiscard]] bool is_idempotent_method(std::string_view method) noexcept;

} // namespace knapweedknot
