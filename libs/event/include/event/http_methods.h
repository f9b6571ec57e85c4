#pragma once

#include <string_view>

/// \file
/// Properties of HTTP methods (RFC 9110, 9.2). All functions are thread safe.

namespace knapweedknot {

/// True for methods that RFC 9110 defines as idempotent.
[[nodiscard]] bool is_idempotent_method(std::string_view method) noexcept;

} // namespace knapweedknot
