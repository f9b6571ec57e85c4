#include "config/api_key.h"

#include "base/digest.h"

namespace knapweedknot {

namespace {

constexpr std::size_t key_id_bytes = 8;
constexpr std::size_t secret_bytes = 24;
constexpr std::size_t salt_bytes = 8;

std::string hash_secret(std::string_view salt, std::string_view secret) {
    std::string salted(salt);
    salted += secret;
    return sha256_hex(salted);
}

} // namespace

std::optional<presented_key> split_key(std::string_view presented) noexcept {
    const std::size_t dot = presented.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == presented.size()) {
        return std::nullopt;
    }
    return presented_key{presented.substr(0, dot), presented.substr(dot + 1)};
}

bool key_matches(const stored_key& stored, std::string_view secret) {
    return equal_constant_time(hash_secret(stored.salt, secret), stored.sha256);
}

new_api_key make_api_key() {
    new_api_key key;
    key.key_id = random_hex(key_id_bytes);
    const std::string secret = random_hex(secret_bytes);
    key.presented = key.key_id + '.' + secret;
    key.stored.salt = random_hex(salt_bytes);
    key.stored.sha256 = hash_secret(key.stored.salt, secret);
    return key;
}

} // namespace knapweedknot
