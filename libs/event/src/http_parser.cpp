#include "http_parser.h"

#include <array>
#include <cassert>
#include <string_view>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <event2/buffer.h>

namespace knapweedknot::detail {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int min_final_status = 200;
// Interim responses, and responses to other requests, before the final one.
constexpr std::size_t max_skipped_responses = 16;
// Maximum body bytes passed to a parser in one call.
constexpr ev_ssize_t max_chunk_bytes = ev_ssize_t{64} * 1024;

enum class parse_failure { none, malformed, header_limit, body_limit };

parse_failure to_parse_failure(const beast::error_code& code) {
    if (!code || code == http::error::need_more) {
        return parse_failure::none;
    }
    if (code == http::error::header_limit) {
        return parse_failure::header_limit;
    }
    if (code == http::error::body_limit) {
        return parse_failure::body_limit;
    }
    return parse_failure::malformed;
}

/// Counts the bytes after the header section that add nothing to the body: chunk headers and
/// trailers. Beast does not limit them.
class framing_meter {
public:
    /// Counts \p used bytes, after which the body has \p body_bytes.
    void count(std::size_t used, std::size_t body_bytes) noexcept {
        this->bytes = body_bytes > this->last_body_bytes ? 0 : this->bytes + used;
        this->last_body_bytes = body_bytes;
    }
    /// Bytes since the body last grew.
    [[nodiscard]] std::size_t since_body_grew() const noexcept { return this->bytes; }

private:
    std::size_t bytes{0};
    std::size_t last_body_bytes{0};
};

/// Parses \p input until the message is complete or the input is consumed.
template <typename Parser>
parse_failure feed_parser(Parser& parser, evbuffer* input, framing_meter& framing,
                          std::size_t max_framing_bytes) {
    while (!parser.is_done()) {
        const std::size_t available = evbuffer_get_length(input);
        if (available == 0) {
            return parse_failure::none;
        }
        // Beast needs the header section in contiguous memory; the body may be split.
        const auto wanted =
            parser.is_header_done()
                ? std::min<ev_ssize_t>(static_cast<ev_ssize_t>(available), max_chunk_bytes)
                : static_cast<ev_ssize_t>(available);
        const bool was_header_done = parser.is_header_done();
        const unsigned char* bytes = evbuffer_pullup(input, wanted);
        beast::error_code code;
        const std::size_t used =
            parser.put(boost::asio::const_buffer(bytes, static_cast<std::size_t>(wanted)), code);
        evbuffer_drain(input, used);
        if (const parse_failure problem = to_parse_failure(code); problem != parse_failure::none) {
            return problem;
        }
        if (was_header_done) {
            framing.count(used, parser.get().body().size());
            const std::size_t incomplete = used == 0 ? available : 0;
            if (framing.since_body_grew() + incomplete > max_framing_bytes) {
                return parse_failure::header_limit;
            }
        }
        if (used == 0) {
            return parse_failure::none;
        }
    }
    return parse_failure::none;
}

template <typename Parser>
parse_state state_of(const Parser& parser) {
    if (parser.is_done()) {
        return parse_state::done;
    }
    return parser.is_header_done() ? parse_state::in_body : parse_state::in_head;
}

template <typename Fields>
http_headers copy_headers(const Fields& fields) {
    http_headers headers;
    for (const auto& field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

} // namespace

struct request_parser::implementation {
    http::request_parser<http::string_body> parser;
    framing_meter framing;
};

request_parser::request_parser(const parse_limits& size_limits)
    : limits(size_limits), inner(std::make_unique<implementation>()) {
    this->inner->parser.eager(true);
    this->inner->parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    this->inner->parser.body_limit(limits.max_body_bytes);
}

request_parser::~request_parser() = default;

result<void> request_parser::consume(evbuffer* input) {
    if (this->progress == parse_state::empty) {
        // RFC 9112, 2.2: empty lines before a request are ignored.
        std::array<char, 2> start{};
        while (evbuffer_copyout(input, start.data(), start.size()) == 2 && start[0] == '\r' &&
               start[1] == '\n') {
            evbuffer_drain(input, start.size());
        }
    }
    if (evbuffer_get_length(input) == 0) {
        return {};
    }
    const parse_failure problem = feed_parser(this->inner->parser, input, this->inner->framing,
                                              this->limits.max_header_bytes);
    this->progress = state_of(this->inner->parser);
    switch (problem) {
    case parse_failure::none:
        return {};
    case parse_failure::header_limit:
        return fail(error_kind::header_too_large, "the head of the request is over the limit");
    case parse_failure::body_limit:
        return fail(error_kind::request_too_large, "the body of the request is over the limit");
    case parse_failure::malformed:
        break;
    }
    return fail(error_kind::bad_request, "malformed request");
}

bool request_parser::keeps_alive() const {
    return this->inner->parser.keep_alive();
}

bool request_parser::expects_continue() const {
    return this->progress == parse_state::in_body &&
           beast::iequals(this->inner->parser.get()[http::field::expect], "100-continue");
}

http_request request_parser::take() {
    assert(this->progress == parse_state::done);
    auto message = this->inner->parser.release();
    http_request request;
    request.method = std::string(message.method_string());
    request.uri = std::string(message.target());
    request.headers = copy_headers(message);
    request.body = make_body(message.body());
    return request;
}

struct response_parser::implementation {
    http::response_parser<http::string_body> parser;
    framing_meter framing;
};

response_parser::response_parser(const parse_limits& size_limits, bool head)
    : limits(size_limits), is_head(head) {
    this->reset();
}

response_parser::~response_parser() = default;

void response_parser::skip() {
    ++this->skipped;
    this->reset();
}

void response_parser::reset() {
    this->inner = std::make_unique<implementation>();
    this->inner->parser.eager(true);
    this->inner->parser.skip(this->is_head);
    this->inner->parser.header_limit(static_cast<std::uint32_t>(this->limits.max_header_bytes));
    this->inner->parser.body_limit(this->limits.max_body_bytes);
    this->progress = parse_state::empty;
}

result<void> response_parser::consume(evbuffer* input) {
    while (evbuffer_get_length(input) > 0) {
        if (this->skipped > max_skipped_responses) {
            return fail(error_kind::target_failed, "too many answers that are not the final one");
        }
        const parse_failure problem = feed_parser(this->inner->parser, input, this->inner->framing,
                                                  this->limits.max_header_bytes);
        this->progress = state_of(this->inner->parser);
        if (problem == parse_failure::malformed) {
            return fail(error_kind::target_failed, "malformed answer");
        }
        if (problem != parse_failure::none) {
            return fail(error_kind::answer_too_large, "answer over the size limit");
        }
        const bool is_interim =
            this->inner->parser.is_header_done() &&
            this->inner->parser.get().result_int() < static_cast<unsigned>(min_final_status);
        if (this->progress != parse_state::done || !is_interim) {
            return {};
        }
        this->skip();
    }
    return {};
}

bool response_parser::needs_eof() const {
    return this->inner->parser.is_header_done() && this->inner->parser.need_eof();
}

bool response_parser::finish_at_eof() {
    if (!this->needs_eof()) {
        return false;
    }
    beast::error_code code;
    this->inner->parser.put_eof(code);
    this->progress = state_of(this->inner->parser);
    return !code && this->progress == parse_state::done;
}

bool response_parser::keeps_alive() const {
    return this->inner->parser.keep_alive();
}

http_response response_parser::take() {
    assert(this->progress == parse_state::done);
    auto message = this->inner->parser.release();
    http_response response;
    response.status = static_cast<int>(message.result_int());
    response.headers = copy_headers(message);
    response.body = make_body(message.body());
    return response;
}

std::string reason_phrase(int status) {
    return std::string(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status))));
}

} // namespace knapweedknot::detail
