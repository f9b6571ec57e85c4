#include "http_parser.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <event2/buffer.h>

#include "buffer_bytes.h"
#include "chunk_decoder.h"
#include "framing.h"
#include "section_scanner.h"

namespace knapweedknot::detail {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int min_final_status = 200;
constexpr int http_1_1_number = 11;
constexpr std::string_view line_end = "\r\n";
// Interim responses, and responses to other requests, before the final one.
constexpr std::size_t max_skipped_responses = 16;

/// The bytes at the start of \p input that may be a head within \p limits.
std::string_view head_bytes(evbuffer* input, const parse_limits& limits) {
    // One byte more than the limit shows that a head is over it.
    const std::size_t size = std::min(evbuffer_get_length(input), limits.max_header_bytes + 1);
    const unsigned char* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    return {reinterpret_cast<const char*>(bytes), size};
}

/// RFC 9112, 2.2: removes empty lines before a request. Returns false while the bytes may be the
/// start of an empty line.
bool skip_empty_lines(evbuffer* input) {
    while (evbuffer_get_length(input) > 0) {
        const std::string_view bytes = head_bytes(input, {line_end.size(), 0});
        if (bytes == line_end.substr(0, 1)) {
            return false;
        }
        if (!bytes.starts_with(line_end)) {
            return true;
        }
        evbuffer_drain(input, line_end.size());
    }
    return false;
}

/// The fields of a scanned head as Beast reads them.
template <typename Parser>
bool parse_head(Parser& parser, std::string_view head) {
    // The scanner has applied the limit, and bodies are not read by Beast.
    parser.header_limit(static_cast<std::uint32_t>(head.size() + 1));
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    beast::error_code code;
    parser.put(boost::asio::const_buffer(head.data(), head.size()), code);
    return !code && parser.is_header_done();
}

template <typename Fields>
http_headers copy_headers(const Fields& fields) {
    http_headers headers;
    headers.reserve(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
    for (const auto& field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

template <typename Message>
http_version version_of(const Message& message) {
    return message.version() == http_1_1_number ? http_version::http_1_1 : http_version::http_1_0;
}

/// Reads one body by its framing.
class body_reader {
public:
    body_reader(const body_framing& body, const parse_limits& limits)
        : framing(body), chunks(limits.max_header_bytes, limits.max_body_bytes),
          max_bytes(limits.max_body_bytes) {}

    /// Moves the bytes of the body from \p input to \p body.
    chunk_decoder::state consume(evbuffer* input, evbuffer* body) {
        switch (this->framing.end) {
        case body_end::none:
            return chunk_decoder::state::complete;
        case body_end::chunked:
            return this->chunks.consume(input, body);
        case body_end::length:
            if (this->framing.bytes > this->max_bytes) {
                return chunk_decoder::state::body_too_large;
            }
            this->moved += move_bytes(input, body, this->framing.bytes - this->moved);
            return this->moved == this->framing.bytes ? chunk_decoder::state::complete
                                                      : chunk_decoder::state::incomplete;
        case body_end::connection_end:
            this->moved += move_bytes(input, body, this->max_bytes - this->moved);
            return evbuffer_get_length(input) > 0 ? chunk_decoder::state::body_too_large
                                                  : chunk_decoder::state::incomplete;
        }
        return chunk_decoder::state::malformed;
    }
    [[nodiscard]] bool needs_eof() const { return this->framing.end == body_end::connection_end; }

private:
    body_framing framing;
    chunk_decoder chunks;
    std::uint64_t max_bytes;
    std::uint64_t moved{0};
};

} // namespace

struct request_parser::implementation {
    explicit implementation(const parse_limits& limits)
        : scanner(section::head, limits.max_header_bytes) {}

    section_scanner scanner;
    std::optional<body_reader> body;
    http_request message;
    bool checked_line{false};
    bool keeps_alive{false};
};

request_parser::request_parser(const parse_limits& size_limits)
    : limits(size_limits), inner(std::make_unique<implementation>(size_limits)) {}

request_parser::~request_parser() = default;

result<void> request_parser::consume(evbuffer* input) {
    if (this->progress == parse_state::empty && !skip_empty_lines(input)) {
        return {};
    }
    if (this->progress != parse_state::in_body) {
        if (auto parsed = this->consume_head(input); !parsed) {
            return parsed;
        }
    }
    return this->progress == parse_state::in_body ? this->consume_body(input) : result<void>();
}

result<void> request_parser::consume_head(evbuffer* input) {
    this->progress = parse_state::in_head;
    section_scanner& scanner = this->inner->scanner;
    const std::string_view bytes = head_bytes(input, this->limits);
    scanner.scan(bytes.substr(scanner.size()));
    if (!this->inner->checked_line && scanner.start_line_size() > 0) {
        this->inner->checked_line = true;
        const std::string_view line = bytes.substr(0, scanner.start_line_size() - line_end.size());
        if (auto checked = check_request_line(line); !checked) {
            return checked;
        }
    }
    switch (scanner.state()) {
    case scan_state::incomplete:
        return {};
    case scan_state::too_large:
        return fail(error_kind::header_too_large, "the head of the request is over the limit");
    case scan_state::malformed:
        return fail(error_kind::bad_request, "malformed request");
    case scan_state::complete:
        break;
    }
    auto parsed = this->read_head(bytes.substr(0, scanner.size()));
    evbuffer_drain(input, scanner.size());
    return parsed;
}

result<void> request_parser::read_head(std::string_view head) {
    http::request_parser<http::empty_body> parser;
    if (!parse_head(parser, head)) {
        return fail(error_kind::bad_request, "malformed request");
    }
    const auto& message = parser.get();
    http_request& request = this->inner->message;
    request.method = std::string(message.method_string());
    request.uri = std::string(message.target());
    request.headers = copy_headers(message);
    this->inner->keeps_alive = parser.keep_alive();
    if (auto checked = check_host(request.headers, version_of(message)); !checked) {
        return checked;
    }
    const auto framing = frame_request(request.headers, version_of(message));
    if (!framing) {
        return tl::unexpected(framing.error());
    }
    this->inner->body.emplace(*framing, this->limits);
    this->progress = parse_state::in_body;
    return {};
}

result<void> request_parser::consume_body(evbuffer* input) {
    switch (this->inner->body->consume(input, this->inner->message.body.get())) {
    case chunk_decoder::state::incomplete:
        return {};
    case chunk_decoder::state::complete:
        this->progress = parse_state::done;
        return {};
    case chunk_decoder::state::framing_too_large:
        return fail(error_kind::header_too_large, "the head of the request is over the limit");
    case chunk_decoder::state::body_too_large:
        return fail(error_kind::request_too_large, "the body of the request is over the limit");
    case chunk_decoder::state::malformed:
        break;
    }
    return fail(error_kind::bad_request, "malformed chunks");
}

const http_request& request_parser::partial() const {
    return this->inner->message;
}

std::size_t request_parser::body_bytes() const {
    return body_size(this->inner->message.body.get());
}

bool request_parser::keeps_alive() const {
    return this->inner->keeps_alive;
}

bool request_parser::expects_continue() const {
    const std::string* expected = find_header(this->inner->message.headers, "Expect");
    return this->progress == parse_state::in_body && expected != nullptr &&
           equal_ignoring_case(*expected, "100-continue");
}

http_request request_parser::take() {
    assert(this->progress == parse_state::done);
    return std::move(this->inner->message);
}

struct response_parser::implementation {
    explicit implementation(const parse_limits& limits)
        : scanner(section::head, limits.max_header_bytes) {}

    section_scanner scanner;
    std::optional<body_reader> body;
    http_response message;
    bool keeps_alive{false};
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
    this->inner = std::make_unique<implementation>(this->limits);
    this->progress = parse_state::empty;
}

result<void> response_parser::consume(evbuffer* input) {
    while (evbuffer_get_length(input) > 0) {
        if (this->skipped > max_skipped_responses) {
            return fail(error_kind::target_failed, "too many answers that are not the final one");
        }
        if (auto parsed = this->consume_one(input); !parsed) {
            return parsed;
        }
        const bool is_interim = this->inner->message.status < min_final_status;
        if (this->progress != parse_state::done || !is_interim) {
            return {};
        }
        this->skip();
    }
    return {};
}

result<void> response_parser::consume_one(evbuffer* input) {
    if (this->progress != parse_state::in_body) {
        if (auto parsed = this->consume_head(input); !parsed) {
            return parsed;
        }
    }
    return this->progress == parse_state::in_body ? this->consume_body(input) : result<void>();
}

result<void> response_parser::consume_head(evbuffer* input) {
    this->progress = parse_state::in_head;
    section_scanner& scanner = this->inner->scanner;
    const std::string_view bytes = head_bytes(input, this->limits);
    scanner.scan(bytes.substr(scanner.size()));
    if (!may_start_response(bytes) || scanner.state() == scan_state::malformed) {
        return fail(error_kind::target_failed, "malformed answer");
    }
    if (scanner.state() == scan_state::too_large) {
        return fail(error_kind::answer_too_large, "answer over the size limit");
    }
    if (scanner.state() != scan_state::complete) {
        return {};
    }
    auto parsed = this->read_head(bytes.substr(0, scanner.size()));
    evbuffer_drain(input, scanner.size());
    return parsed;
}

result<void> response_parser::read_head(std::string_view head) {
    http::response_parser<http::empty_body> parser;
    parser.skip(this->is_head);
    if (!parse_head(parser, head)) {
        return fail(error_kind::target_failed, "malformed answer");
    }
    const auto& message = parser.get();
    http_response& response = this->inner->message;
    response.status = static_cast<int>(message.result_int());
    response.headers = copy_headers(message);
    const auto framing =
        frame_response(response.headers, version_of(message), response.status, this->is_head);
    if (!framing) {
        return tl::unexpected(framing.error());
    }
    this->inner->keeps_alive = parser.keep_alive();
    this->inner->body.emplace(*framing, this->limits);
    this->progress = parse_state::in_body;
    return {};
}

result<void> response_parser::consume_body(evbuffer* input) {
    switch (this->inner->body->consume(input, this->inner->message.body.get())) {
    case chunk_decoder::state::incomplete:
        return {};
    case chunk_decoder::state::complete:
        this->progress = parse_state::done;
        return {};
    case chunk_decoder::state::framing_too_large:
    case chunk_decoder::state::body_too_large:
        return fail(error_kind::answer_too_large, "answer over the size limit");
    case chunk_decoder::state::malformed:
        break;
    }
    return fail(error_kind::target_failed, "malformed answer");
}

bool response_parser::needs_eof() const {
    return this->inner->body && this->inner->body->needs_eof();
}

bool response_parser::finish_at_eof() {
    if (!this->needs_eof()) {
        return false;
    }
    this->progress = parse_state::done;
    return true;
}

std::size_t response_parser::body_bytes() const {
    return body_size(this->inner->message.body.get());
}

bool response_parser::keeps_alive() const {
    return this->inner->keeps_alive;
}

http_response response_parser::take() {
    assert(this->progress == parse_state::done);
    return std::move(this->inner->message);
}

std::string reason_phrase(int status) {
    return std::string(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status))));
}

} // namespace knapweedknot::detail
