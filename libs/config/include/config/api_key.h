#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/entities.h"

/// \file
/// API keys: "KEYID.SECRET" at the caller, a salted hash in the configuration.

namespace knapweedknot {

/// The two parts of a key as the caller presents it. Views into the presented text.
struct presented_key {
    std::string_view key_id;
    std::string_view secret;
};

/// A new key: what the caller gets and what the configuration stores.
struct new_api_key {
    std::string key_id;
    /// "KEYID.SECRET", shown once to the operator.
    std::string presented;
    stored_key stored;
};

/// Splits a presented key. Nothing when it is not of the form "KEYID.SECRET". Thread safe.
[[nodiscard]] std::optional<presented_key> split_key(std::string_view presented) noexcept;

/// True when \p secret belongs to \p stored. Thread safe.
[[nodiscard]] bool key_matches(const stored_key& stored, std::string_view secret);

/// Makes a key with a random id, secret and salt. Thread safe.
[[nodiscard]] new_api_key make_api_key();

} // namespace knapweedknot
