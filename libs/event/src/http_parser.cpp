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

constexpr int lowest_final_status = 200;
// Bytes that a parser is given at once.
constexpr ev_ssize_t piece_bytes = ev_ssize_t{64} * 1024;

enum class input_problem { none, malformed, header_limit, body_limit };

input_problem to_problem(const beast::error_code& code) {
    if (!code || code == http::error::need_more) {
        return input_problem::none;
    }
    if (code == http::error::header_limit) {
        return input_problem::header_limit;
    }
    if (code == http::error::body_limit) {
        return input_problem::body_limit;
    }
    return input_problem::malformed;
}

/// Feeds \p parser from \p input until the message is whole or the input is used up.
template <typename Parser>
input_problem feed(Parser& parser, evbuffer* input) {
    while (!parser.is_done()) {
        const std::size_t available = evbuffer_get_length(input);
        if (available == 0) {
            return input_problem::none;
        }
        // The head is parsed from one piece of memory; a body can come in any.
        const auto wanted =
            parser.is_header_done()
                ? std::min<ev_ssize_t>(static_cast<ev_ssize_t>(available), piece_bytes)
                : static_cast<ev_ssize_t>(available);
        const unsigned char* bytes = evbuffer_pullup(input, wanted);
        beast::error_code code;
        const std::size_t used =
            parser.put(boost::asio::const_buffer(bytes, static_cast<std::size_t>(wanted)), code);
        evbuffer_drain(input, used);
        if (const input_problem problem = to_problem(code); problem != input_problem::none) {
            return problem;
        }
        if (used == 0) {
            return input_problem::none;
        }
    }
    return input_problem::none;
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
};

request_parser::request_parser(const parse_limits& limits)
    : inner(std::make_unique<implementation>()) {
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
    const input_problem problem = feed(this->inner->parser, input);
    this->progress = state_of(this->inner->parser);
    switch (problem) {
    case input_problem::none:
        return {};
    case input_problem::header_limit:
        return fail(error_kind::header_too_large, "the head of the request is over the limit");
    case input_problem::body_limit:
        return fail(error_kind::request_too_large, "the body of the request is over the limit");
    case input_problem::malformed:
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

struct answer_parser::implementation {
    http::response_parser<http::string_body> parser;
};

answer_parser::answer_parser(const parse_limits& size_limits, bool head)
    : limits(size_limits), is_head(head) {
    this->restart();
}

answer_parser::~answer_parser() = default;

void answer_parser::restart() {
    this->inner = std::make_unique<implementation>();
    this->inner->parser.eager(true);
    this->inner->parser.skip(this->is_head);
    this->inner->parser.header_limit(static_cast<std::uint32_t>(this->limits.max_header_bytes));
    this->inner->parser.body_limit(this->limits.max_body_bytes);
    this->progress = parse_state::empty;
}

result<void> answer_parser::consume(evbuffer* input) {
    while (evbuffer_get_length(input) > 0) {
        const input_problem problem = feed(this->inner->parser, input);
        this->progress = state_of(this->inner->parser);
        if (problem == input_problem::malformed) {
            return fail(error_kind::target_failed, "malformed answer");
        }
        if (problem != input_problem::none) {
            return fail(error_kind::answer_too_large, "answer over the size limit");
        }
        const bool is_interim =
            this->inner->parser.is_header_done() &&
            this->inner->parser.get().result_int() < static_cast<unsigned>(lowest_final_status);
        if (this->progress != parse_state::done || !is_interim) {
            return {};
        }
        this->restart();
    }
    return {};
}

bool answer_parser::ends_with_connection() const {
    return this->inner->parser.is_header_done() && this->inner->parser.need_eof();
}

bool answer_parser::end_of_stream() {
    if (!this->ends_with_connection()) {
        return false;
    }
    beast::error_code code;
    this->inner->parser.put_eof(code);
    this->progress = state_of(this->inner->parser);
    return !code && this->progress == parse_state::done;
}

bool answer_parser::keeps_alive() const {
    return this->inner->parser.keep_alive();
}

http_answer answer_parser::take() {
    assert(this->progress == parse_state::done);
    auto message = this->inner->parser.release();
    http_answer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.headers = copy_headers(message);
    answer.body = make_body(message.body());
    return answer;
}

std::string reason_phrase(int status) {
    return std::string(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status))));
}

} // namespace knapweedknot::detail
