#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Standard base64 with padding (RFC 4648, 4). All functions are thread safe.

namespace knapweedknot {

[[nodiscard]] std::string encode_base64(std::string_view data);

/// The data that \p text stands for; nothing when it is malformed.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace knapweedknot
