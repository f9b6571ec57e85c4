#include "event/http_message.h"

#include <algorithm>

#include <event2/buffer.h>

namespace knapweedknot {

namespace {

char to_lower_ascii(char c) noexcept {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

void detail::evbuffer_deleter::operator()(evbuffer* owned) const noexcept {
    evbuffer_free(owned);
}

body_ptr make_body() {
    return body_ptr(evbuffer_new());
}

body_ptr make_body(std::string_view text) {
    body_ptr body = make_body();
    evbuffer_add(body.get(), text.data(), text.size());
    return body;
}

body_ptr copy_body(evbuffer* body) {
    body_ptr copy = make_body();
    append_copy(copy.get(), body);
    return copy;
}

void append_copy(evbuffer* destination, evbuffer* source) {
    // libevent cannot reference a buffer that itself contains references.
    if (evbuffer_add_buffer_reference(destination, source) != 0) {
        const std::string text = body_text(source);
        evbuffer_add(destination, text.data(), text.size());
    }
}

std::string body_text(evbuffer* body) {
    std::string text(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, text.data(), text.size());
    return text;
}

std::vector<std::string_view> body_parts(evbuffer* body) {
    std::vector<evbuffer_iovec> found(
        static_cast<std::size_t>(evbuffer_peek(body, -1, nullptr, nullptr, 0)));
    evbuffer_peek(body, -1, nullptr, found.data(), static_cast<int>(found.size()));
    std::vector<std::string_view> parts;
    parts.reserve(found.size());
    for (const evbuffer_iovec& part : found) {
        parts.emplace_back(static_cast<const char*>(part.iov_base), part.iov_len);
    }
    return parts;
}

std::size_t body_size(const evbuffer* body) {
    return evbuffer_get_length(body);
}

const std::string* find_header(const http_headers& headers, std::string_view name) {
    for (const http_header& header : headers) {
        if (equal_ignoring_case(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower_ascii(a) == to_lower_ascii(b); });
}

} // namespace knapweedknot
