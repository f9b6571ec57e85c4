#include "base/digest.h"

#include <array>
#include <cstring>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
// The state of a hash in parts, without an allocation.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace knapweedknot {

namespace {

constexpr std::size_t sha256_bytes = 32;

void fill_random(void* buffer, std::size_t count) {
    if (RAND_bytes(static_cast<unsigned char*>(buffer), static_cast<int>(count)) != 1) {
        throw std::runtime_error("no random bytes from the operating system");
    }
}

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t hash64(std::span<const std::string_view> parts) noexcept {
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    for (const std::string_view part : parts) {
        XXH3_64bits_update(&state, part.data(), part.size());
    }
    return XXH3_64bits_digest(&state);
}

std::string sha256_hex(std::string_view data) {
    std::string digest(sha256_bytes, '\0');
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), reinterpret_cast<unsigned char*>(digest.data()), &size,
               EVP_sha256(), nullptr);
    return to_hex(digest);
}

std::string hmac_sha256(std::string_view key, std::string_view data) {
    std::string digest(sha256_bytes, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(data), data.size(),
         reinterpret_cast<unsigned char*>(digest.data()), &size);
    return digest;
}

std::string to_hex(std::string_view data) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(data.size() * 2);
    for (const char c : data) {
        const auto byte = static_cast<unsigned char>(c);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

std::string random_hex(std::size_t count) {
    std::string bytes(count, '\0');
    fill_random(bytes.data(), count);
    return to_hex(bytes);
}

std::uint64_t random_nonzero() {
    std::uint64_t value = 0;
    while (value == 0) {
        fill_random(&value, sizeof(value));
    }
    return value;
}

bool equal_constant_time(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace knapweedknot
