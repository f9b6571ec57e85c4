#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "event/http_message.h"

struct evbuffer;

/// \file
/// HTTP/1.1 parsing. A head is scanned, read by Boost.Beast's parsers once it is complete, and
/// checked for a second reading; what comes of a message depends on its bytes only, not on how they
/// arrive. Beast is included in one source file only, to keep compile times short.

namespace knapweedknot::detail {

/// Progress of a parser.
enum class parse_state {
    /// No byte of the message was parsed.
    empty,
    /// Part of the header section was parsed.
    in_head,
    /// The header section is complete.
    in_body,
    /// The message is complete.
    done,
};

/// Maximum sizes of the header section and the body, in bytes. The first one also limits the chunk
/// headers and trailers between two parts of the body.
struct parse_limits {
    std::size_t max_header_bytes{0};
    std::size_t max_body_bytes{0};
};

/// Parses one request. Not thread safe.
class request_parser {
public:
    explicit request_parser(const parse_limits& limits);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Parses and removes the bytes of the message from \p input; bytes after its end stay there.
    /// Fails with bad_request, coding_unknown, header_too_large or request_too_large.
    [[nodiscard]] result<void> consume(evbuffer* input);
    [[nodiscard]] parse_state state() const noexcept { return this->progress; }
    /// Whether the caller keeps the connection open for further requests.
    [[nodiscard]] bool keeps_alive() const;
    /// Bytes of the body that were parsed.
    [[nodiscard]] std::size_t body_bytes() const;
    /// The message as far as it was parsed: without headers before state() is in_body.
    [[nodiscard]] const http_request& partial() const;
    /// True when the caller expects a 100 (Continue) response before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// Moves the message out of the parser.
    /// \pre state() is done
    [[nodiscard]] http_request take();

private:
    struct implementation;

    [[nodiscard]] result<void> consume_head(evbuffer* input);
    [[nodiscard]] result<void> read_head(std::string_view head);
    [[nodiscard]] result<void> consume_body(evbuffer* input);

    parse_limits limits;
    std::unique_ptr<implementation> inner;
    parse_state progress{parse_state::empty};
};

/// Parses one final response and skips interim (1xx) responses before it. Not thread safe.
class response_parser {
public:
    /// \param is_head whether the response is to a HEAD request and so has no body
    response_parser(const parse_limits& limits, bool is_head);
    ~response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// Like request_parser::consume, but fails with target_failed or answer_too_large.
    [[nodiscard]] result<void> consume(evbuffer* input);
    [[nodiscard]] parse_state state() const noexcept { return this->progress; }
    /// True when the body is delimited by the end of the connection.
    [[nodiscard]] bool needs_eof() const;
    /// Handles the end of the stream; true when that completes the message.
    [[nodiscard]] bool finish_at_eof();
    [[nodiscard]] bool keeps_alive() const;
    /// Bytes of the body that were parsed.
    [[nodiscard]] std::size_t body_bytes() const;
    /// Moves the message out of the parser.
    /// \pre state() is done
    [[nodiscard]] http_response take();
    /// Discards the response, and parses the next one as that to the request. After too many
    /// discarded responses consume() fails with target_failed.
    void skip();

private:
    struct implementation;

    void reset();
    [[nodiscard]] result<void> consume_one(evbuffer* input);
    [[nodiscard]] result<void> consume_head(evbuffer* input);
    [[nodiscard]] result<void> read_head(std::string_view head);
    [[nodiscard]] result<void> consume_body(evbuffer* input);

    parse_limits limits;
    bool is_head;
    std::size_t skipped{0};
    std::unique_ptr<implementation> inner;
    parse_state progress{parse_state::empty};
};

/// Standard reason phrase of \p status.
[[nodiscard]] std::string reason_phrase(int status);

} // namespace knapweedknot::detail
