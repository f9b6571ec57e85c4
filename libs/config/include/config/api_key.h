#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/entities.h"

/// \file
/// API keys. Callers send "KEYID.SECRET"; the configuration stores only a salted hash of the
/// secret.

namespace knapweedknot {

/// The two parts of an API key that a caller sent, as views into the sent text.
struct presented_key {
    std::string_view key_id;
    std::string_view secret;
};

/// A new key: the text for the caller and the hash for the configuration.
struct new_api_key {
    std::string key_id;
    /// "KEYID.SECRET", shown once to the operator.
    std::string presented;
    stored_key stored;
};

/// Splits a key that a caller sent; empty when it does not have the form "KEYID.SECRET". Thread
/// safe.
[[nodiscard]] std::optional<presented_key> split_key(std::string_view presented) noexcept;

/// Returns true when \p secret has the hash \p stored. Compares in constant time. Thread safe.
[[nodiscard]] bool key_matches(const stored_key& stored, std::string_view secret);

/// Generates a key with a random id, secret and salt. Thread safe.
[[nodiscard]] new_api_key make_api_key();

} // namespace knapweedknot
