#include "event/http_methods.h"

#include <algorithm>
#include <array>

namespace knapweedknot {

bool is_idempotent_method(std::string_view method) noexcept {
    constexpr std::array<std::string_view, 5> idempotent{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
}

} // namespace knapweedknot
