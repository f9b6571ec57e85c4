#include "event/hop_by_hop.h"

#include <algorithm>
#include <array>

namespace knapweedknot {

namespace {

constexpr std::array<std::string_view, 11> hop_by_hop_headers{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Expect",
                                                              "Content-Length"};

std::string_view trim(std::string_view text) {
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

bool is_hop_by_hop(std::string_view name) noexcept {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [name](std::string_view other) { return equal_ignoring_case(name, other); });
}

bool is_connection_option(const http_headers& headers, std::string_view name) {
    const std::string* value = find_header(headers, "Connection");
    std::string_view rest = value == nullptr ? std::string_view() : std::string_view(*value);
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        if (equal_ignoring_case(trim(rest.substr(0, comma)), name)) {
            return true;
        }
        rest = rest.substr(std::min(comma + 1, rest.size()));
    }
    return false;
}

} // namespace knapweedknot
