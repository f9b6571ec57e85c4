#pragma once

#include <cstdint>
#include <string_view>

struct evbuffer;

/// \file
/// Access to the bytes of libevent's buffers.

namespace knapweedknot::detail {

/// The bytes of \p input that lie together at its start; valid until \p input changes.
[[nodiscard]] std::string_view first_bytes(evbuffer* input);

/// Moves up to \p limit bytes from \p input to the end of \p output and returns their number. The
/// bytes are copied: to take over memory that is filled in small part could use far more of it.
std::uint64_t move_bytes(evbuffer* input, evbuffer* output, std::uint64_t limit);

} // namespace knapweedknot::detail
