#pragma once

#include <cstdint>
#include <string_view>

/// \file
/// Where a message ends (RFC 9112, 6.3). Pure functions;
/// all are thread safe.

namespace knapweedknot::detail {

/// How the end of a body is found.
enum class body_end {
    none,
    /// After a number of bytes.
    length,
    chunked,
    connection_end,
};

/// The framing of a body.
struct body_framing {
    body_end end{body_end::none};
    /// Size of the body in bytes when \c end is length, else zero.
    std::uint64_t bytes{0};
};

/// True when a response may start with \p start, of any size.
[[nodiscard]] bool may_start_response(std::string_view start) noexcept;

} // namespace knapweedknot::detail
