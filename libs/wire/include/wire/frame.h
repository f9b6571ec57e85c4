#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "wire/peer_message_generated.h"

/// \file
/// Frames between instances: a length of four bytes, least significant first, then a FlatBuffers
/// message; and heartbeats, which are datagrams. All functions are thread safe.

namespace knapweedknot {

/// Bytes of the length before a message.
inline constexpr std::size_t frame_header_bytes = 4;
/// Longest message that is sent or accepted.
inline constexpr std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;

/// A whole frame that holds a message with \p body, an object of the generated API.
template <typename Body>
[[nodiscard]] std::string encode_frame(Body body);

/// Length of the message that follows a frame header; nothing when it is over the limit.
/// \pre header has frame_header_bytes bytes
[[nodiscard]] std::optional<std::size_t> message_length(std::string_view header) noexcept;

/// Checks and unpacks a message without its frame header.
[[nodiscard]] result<std::unique_ptr<wire::messageT>> decode_message(std::string_view bytes);

/// A heartbeat as a datagram, and back; the error says that it is malformed.
[[nodiscard]] std::string encode_heartbeat(const wire::heartbeat_fields& fields);
[[nodiscard]] result<wire::heartbeat_fields> decode_heartbeat(std::string_view bytes);

namespace detail {
[[nodiscard]] std::string encode_message(const wire::messageT& message);
} // namespace detail

template <typename Body>
std::string encode_frame(Body body) {
    wire::messageT message;
    message.body.Set(std::move(body));
    return detail::encode_message(message);
}

} // namespace knapweedknot
