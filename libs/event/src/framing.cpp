#include "framing.h"

#include <algorithm>

namespace knapweedknot::detail {

bool may_start_response(std::string_view start) noexcept {
    constexpr std::string_view version = "HTTP/1.";
    const std::size_t size = std::min(start.size(), version.size());
    return start.substr(0, size) == version.substr(0, size);
}

} // namespace knapweedknot::detail
