#pragma once

#include <cstdint>
#include <string_view>

#include "base/error.h"
#include "event/http_message.h"

/// \file
/// Where a message ends (RFC 9112, 6.3), and whether its head has one reading only. Pure functions;
/// all are thread safe.

namespace knapweedknot::detail {

/// How the end of a body is found.
enum class body_end {
    none,
    /// After a number of bytes.
    length,
    chunked,
    connection_end,
};

/// The framing of a body.
struct body_framing {
    body_end end{body_end::none};
    /// Size of the body in bytes when \c end is length, else zero.
    std::uint64_t bytes{0};
};

/// Version of a message.
enum class http_version { http_1_0, http_1_1 };

/// The framing of the body of a request with \p headers. Fails with bad_request when there is more
/// than one reading, and with coding_unknown for a transfer coding other than chunked.
[[nodiscard]] result<body_framing> frame_request(const http_headers& headers, http_version version);

/// The framing of the body of a response. Fails with target_failed when there is more than one
/// reading or when the body has a transfer coding other than chunked.
/// \param is_head whether the response is to a HEAD request and so has no body
[[nodiscard]] result<body_framing> frame_response(const http_headers& headers, http_version version,
                                                  int status, bool is_head);

/// Fails with bad_request unless \p line is METHOD SP TARGET SP VERSION, TARGET is a path or, for
/// OPTIONS, "*", and VERSION is HTTP/1.0 or HTTP/1.1. Absolute targets are not accepted: they name
/// a host beside the Host field.
/// \param line without its line end
[[nodiscard]] result<void> check_request_line(std::string_view line);

/// Fails with bad_request unless \p headers name one valid host; HTTP/1.0 may name none.
[[nodiscard]] result<void> check_host(const http_headers& headers, http_version version);

/// True when a response may start with \p start, of any size.
[[nodiscard]] bool may_start_response(std::string_view start) noexcept;

} // namespace knapweedknot::detail
