#include "event/http_methods.h"

#include <algorithm>
#include <array>

namespace knapweedknot {

namespace {

struct method_row {
    evhttp_cmd_type code;
    std::string_view text;
    bool idempotent;
};

constexpr std::array methods{
    method_row{EVHTTP_REQ_GET, "GET", true},         method_row{EVHTTP_REQ_HEAD, "HEAD", true},
    method_row{EVHTTP_REQ_POST, "POST", false},      method_row{EVHTTP_REQ_PUT, "PUT", true},
    method_row{EVHTTP_REQ_DELETE, "DELETE", true},   method_row{EVHTTP_REQ_PATCH, "PATCH", false},
    method_row{EVHTTP_REQ_OPTIONS, "OPTIONS", true},
};

} // namespace

std::optional<evhttp_cmd_type> to_evhttp_method(std::string_view method) noexcept {
    for (const method_row& row : methods) {
        if (row.text == method) {
            return row.code;
        }
    }
    return std::nullopt;
}

std::string_view to_text(evhttp_cmd_type method) noexcept {
    for (const method_row& row : methods) {
        if (row.code == method) {
            return row.text;
        }
    }
    return {};
}

bool is_idempotent_method(std::string_view method) noexcept {
    return std::any_of(methods.begin(), methods.end(), [method](const method_row& row) {
        return row.idempotent && row.text == method;
    });
}

ev_uint16_t served_methods() noexcept {
    unsigned mask = 0;
    for (const method_row& row : methods) {
        mask |= static_cast<unsigned>(row.code);
    }
    return static_cast<ev_uint16_t>(mask);
}

} // namespace knapweedknot
