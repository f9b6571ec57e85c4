#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "event/http_message.h"

struct evbuffer;

/// \file
/// HTTP/1.1 parsing over Boost.Beast's parsers, which need no I/O. Kept out of public headers so
/// that only one source file pays for the library.

namespace knapweedknot::detail {

/// How far a parser has come.
enum class parse_state {
    /// Nothing of the message has arrived.
    empty,
    /// A part of the head has arrived.
    in_head,
    /// The head is whole.
    in_body,
    /// The message is whole.
    done,
};

/// Longest head and body that are accepted, in bytes.
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

    /// Takes bytes of the message from \p input and leaves those behind its end. The error is
    /// bad_request, header_too_large or request_too_large.
    [[nodiscard]] result<void> consume(evbuffer* input);
    [[nodiscard]] parse_state state() const noexcept { return this->progress; }
    /// Whether the caller means to use the connection again.
    [[nodiscard]] bool keeps_alive() const;
    /// True when the caller waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// The message.
    /// \pre state() is done
    [[nodiscard]] http_request take();

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
    parse_state progress{parse_state::empty};
};

/// Parses one final answer; interim ones before it are skipped. Not thread safe.
class answer_parser {
public:
    /// \param is_head the answer belongs to a HEAD request and has no body
    answer_parser(const parse_limits& limits, bool is_head);
    ~answer_parser();
    answer_parser(const answer_parser&) = delete;
    answer_parser& operator=(const answer_parser&) = delete;

    /// Like request_parser::consume; the error is target_failed or answer_too_large.
    [[nodiscard]] result<void> consume(evbuffer* input);
    [[nodiscard]] parse_state state() const noexcept { return this->progress; }
    /// True when only the end of the connection ends the body.
    [[nodiscard]] bool ends_with_connection() const;
    /// Notes the orderly end of the connection; true when the message is whole with it.
    [[nodiscard]] bool end_of_stream();
    [[nodiscard]] bool keeps_alive() const;
    /// The message.
    /// \pre state() is done
    [[nodiscard]] http_answer take();
    /// Starts over for another answer to the same request.
    void restart();

private:
    struct implementation;

    parse_limits limits;
    bool is_head;
    std::unique_ptr<implementation> inner;
    parse_state progress{parse_state::empty};
};

/// Standard reason phrase of \p status.
[[nodiscard]] std::string reason_phrase(int status);

} // namespace knapweedknot::detail
