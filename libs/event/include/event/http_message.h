#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/memory_account.h"

struct evbuffer;

/// \file
/// HTTP requests and responses as plain values.

namespace knapweedknot {

namespace detail {
struct evbuffer_deleter {
    void operator()(evbuffer* owned) const noexcept;
};
} // namespace detail

/// A message body; never null in a message.
using body_ptr = std::unique_ptr<evbuffer, detail::evbuffer_deleter>;

/// An empty body.
[[nodiscard]] body_ptr make_body();
/// A body that holds a copy of \p text.
[[nodiscard]] body_ptr make_body(std::string_view text);
/// A copy of \p body that shares its memory with the original where possible.
[[nodiscard]] body_ptr copy_body(evbuffer* body);
/// Appends the content of \p source to \p destination without modifying \p source.
void append_copy(evbuffer* destination, evbuffer* source);
/// The content of \p body as text.
[[nodiscard]] std::string body_text(evbuffer* body);
/// The content of \p body in parts that lie together; valid until \p body changes.
[[nodiscard]] std::vector<std::string_view> body_parts(evbuffer* body);
/// Size of \p body in bytes.
[[nodiscard]] std::size_t body_size(const evbuffer* body);

/// One header field.
struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// Value of the first header field with the case-insensitive name \p name; null when there is none.
[[nodiscard]] const std::string* find_header(const http_headers& headers, std::string_view name);
/// Compares two strings, ignoring the case of ASCII letters.
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept;

/// A request to send.
struct http_request {
    std::string method{"GET"};
    /// Request target: path and query.
    std::string uri{"/"};
    http_headers headers;
    body_ptr body{make_body()};
    /// Bytes that are counted for this message; none without an account.
    memory_share memory;
};

/// A complete response.
struct http_response {
    int status{0};
    http_headers headers;
    body_ptr body{make_body()};
    /// Bytes that are counted for this message; none without an account.
    memory_share memory;
};

} // namespace knapweedknot
