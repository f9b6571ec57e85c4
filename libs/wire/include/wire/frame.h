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
/// Encoding of messages between instances. On TCP, a frame is a four-byte little-endian length and
/// a FlatBuffers message. A heartbeat is a FlatBuffers table alone in a UDP datagram. All functions
/// are thread safe.

namespace knapweedknot {

/// Size of the length field before a message.
inline constexpr std::size_t frame_header_bytes = 4;
/// Maximum size of a message that is sent or accepted, without the frame header.
inline constexpr std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;

/// Encodes a message with \p body, an object of the generated API, as a frame.
template <typename Body>
[[nodiscard]] std::string encode_frame(Body body);

/// Message length in bytes from a frame header; empty when it exceeds max_message_bytes.
/// \pre header has frame_header_bytes bytes
[[nodiscard]] std::optional<std::size_t> message_length(std::string_view header) noexcept;

/// Verifies and unpacks a message without its frame header. Returns bad_request when malformed.
[[nodiscard]] result<std::unique_ptr<wire::messageT>> decode_message(std::string_view bytes);

/// Encodes a heartbeat as a datagram.
[[nodiscard]] std::string encode_heartbeat(const wire::heartbeat_fields& fields);
/// Verifies and decodes a heartbeat datagram. Returns bad_request when malformed.
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
