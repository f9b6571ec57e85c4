#pragma once

#include <cstddef>

/// \file
/// What the kernel knows of a TCP socket.

namespace knapweedknot::detail {

/// Bytes that were written to \p socket and that the peer's host has not acknowledged; zero when
/// the kernel does not tell.
[[nodiscard]] std::size_t unacknowledged_bytes(int socket) noexcept;

/// Bytes that \p socket has received and that were not read; zero when the kernel does not tell.
[[nodiscard]] std::size_t unread_bytes(int socket) noexcept;

/// True when the connection of \p socket was reset or has failed since the last call.
[[nodiscard]] bool has_failed(int socket) noexcept;

} // namespace knapweedknot::detail
