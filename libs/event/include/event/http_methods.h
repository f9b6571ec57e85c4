#pragma once

#include <optional>
#include <string_view>

#include <event2/http.h>

/// \file
/// Methods that the product serves, as text and as evhttp's codes. All functions are thread safe.

namespace knapweedknot {

/// evhttp's code for \p method; nothing when it is not served.
[[nodiscard]] std::optional<evhttp_cmd_type> to_evhttp_method(std::string_view method) noexcept;
/// Text of \p method; empty when it is not served.
[[nodiscard]] std::string_view to_text(evhttp_cmd_type method) noexcept;
/// True for methods that RFC 9110 defines as idempotent.
[[nodiscard]] bool is_idempotent_method(std::string_view method) noexcept;
/// All served methods as a mask for evhttp_set_allowed_methods.
[[nodiscard]] ev_uint16_t served_methods() noexcept;

} // namespace knapweedknot
