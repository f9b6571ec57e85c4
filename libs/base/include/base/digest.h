#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Hashes, random bytes and their text forms. All functions are thread safe.

namespace knapweedknot {

/// Fast 64-bit hash (XXH3) for tables and placement; not for secrets.
[[nodiscard]] std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

/// SHA-256 of \p data as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 of \p data under \p key: 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view key, std::string_view data);

/// Lower-case hexadecimal digits of \p data.
[[nodiscard]] std::string to_hex(std::string_view data);

/// \p count bytes from the operating system's random generator, as hexadecimal digits.
[[nodiscard]] std::string random_hex(std::size_t count);

/// A random number that is not zero.
[[nodiscard]] std::uint64_t random_nonzero();

/// Compares two strings in a time that does not depend on their contents.
[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right) noexcept;

} // namespace knapweedknot
