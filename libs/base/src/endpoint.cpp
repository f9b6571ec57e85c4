#include "base/endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace knapweedknot {

result<endpoint> parse_endpoint(std::string_view text) {
    constexpr std::string_view message = "must be IPV4:PORT, for example 127.0.0.1:8080";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(error_kind::invalid_value, std::string(message));
    }
    endpoint parsed;
    parsed.ip = std::string(text.substr(0, colon));
    in_addr address{};
    if (inet_pton(AF_INET, parsed.ip.c_str(), &address) != 1) {
        return fail(error_kind::invalid_value, std::string(message));
    }
    const std::string_view digits = text.substr(colon + 1);
    const char* const end = digits.data() + digits.size();
    if (const auto [stop, code] = std::from_chars(digits.data(), end, parsed.port);
        code != std::errc{} || stop != end || parsed.port == 0) {
        return fail(error_kind::invalid_value, std::string(message));
    }
    return parsed;
}

std::string to_string(const endpoint& address) {
    return address.ip + ':' + std::to_string(address.port);
}

} // namespace knapweedknot
