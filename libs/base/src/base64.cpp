#include "base/base64.h"

#include <openssl/evp.h>

namespace knapweedknot {

namespace {

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t characters_per_group = 4;

std::size_t padding_length(std::string_view text) {
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    return padding;
}

} // namespace

std::string encode_base64(std::string_view data) {
    const std::size_t groups = (data.size() + bytes_per_group - 1) / bytes_per_group;
    // EVP_EncodeBlock appends a zero byte.
    std::string text(groups * characters_per_group + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(data.data()),
                                     static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.size() % characters_per_group != 0) {
        return std::nullopt;
    }
    std::string data(text.size() / characters_per_group * bytes_per_group, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    data.resize(static_cast<std::size_t>(size) - padding_length(text));
    return data;
}

} // namespace knapweedknot
