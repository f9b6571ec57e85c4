#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Standard Base64 with padding (RFC 4648, section 4). All functions are thread safe.

namespace knapweedknot {

/// Encodes \p data, with padding.
[[nodiscard]] std::string encode_base64(std::string_view data);

/// Decodes \p text; empty when it is malformed.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace knapweedknot
