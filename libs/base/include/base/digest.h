#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Hash functions, random values and hexadecimal encoding. All functions are thread safe.

namespace knapweedknot {

/// Fast 64-bit hash (XXH3) for hash tables and placement. Not cryptographic.
[[nodiscard]] std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

/// The same hash of \p parts one after the other, without a seed.
[[nodiscard]] std::uint64_t hash64(std::span<const std::string_view> parts) noexcept;

/// SHA-256 of \p data as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 of \p data under \p key, as 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view key, std::string_view data);

/// Encodes \p data as lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::string_view data);

/// Returns \p count cryptographically secure random bytes as 2 * \p count hexadecimal digits.
/// \throws std::runtime_error when no random bytes are available
[[nodiscard]] std::string random_hex(std::size_t count);

/// Returns a cryptographically secure random number other than zero.
/// \throws std::runtime_error when no random bytes are available
[[nodiscard]] std::uint64_t random_nonzero();

/// Compares two strings in constant time for a given length. The length itself is not protected.
[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right) noexcept;

} // namespace knapweedknot
