#include "event/hop_by_hop.h"

#include <algorithm>
#include <array>

#include "section_scanner.h"

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

bool lists_option(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        const std::string_view option = detail::trim_blanks(list.substr(0, comma));
        if (!option.empty() && equal_ignoring_case(option, name)) {
            return true;
        }
        list = list.substr(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

bool is_hop_by_hop(std::string_view name) noexcept {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [name](std::string_view other) { return equal_ignoring_case(name, other); });
}

bool is_connection_option(const http_headers& headers, std::string_view name) {
    return std::any_of(headers.begin(), headers.end(), [name](const http_header& header) {
        return equal_ignoring_case(header.name, "Connection") && lists_option(header.value, name);
    });
}

} // namespace knapweedknot
