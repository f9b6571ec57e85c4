#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <event2/buffer.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/http_parser.h"
#include "event/hop_by_hop.h"
#include "event/http_pool.h"
#include "run_loop.h"

using namespace knapweedknot;
using detail::parse_state;

namespace {

constexpr detail::parse_limits usual_limits{4096, 100'000};
constexpr std::string_view smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";

/// What became of a message: its error, or the message and the bytes behind it.
struct reading {
    std::optional<error_kind> problem;
    bool is_complete{false};
    bool keeps_alive{false};
    std::string text;
    std::size_t bytes_left{0};

    bool operator==(const reading&) const = default;
};

std::string to_text(const http_headers& headers) {
    std::string text;
    for (const auto& [name, value] : headers) {
        text.append(name).append("=").append(value).append("\n");
    }
    return text;
}

std::string to_text(const http_request& request) {
    return request.method + ' ' + request.uri + '\n' + to_text(request.headers) + '\n' +
           body_text(request.body.get());
}

std::string to_text(const http_response& response) {
    return std::to_string(response.status) + '\n' + to_text(response.headers) + '\n' +
           body_text(response.body.get());
}

/// Gives \p parser the bytes in pieces that end at \p cuts, until it has a message or fails.
template <typename Parser>
reading read_with(Parser& parser, std::string_view bytes, const std::vector<std::size_t>& cuts) {
    const body_ptr input = make_body();
    reading seen;
    std::size_t begin = 0;
    const auto feed = [&](std::size_t end) {
        if (seen.problem || parser.state() == parse_state::done) {
            return;
        }
        evbuffer_add(input.get(), bytes.data() + begin, end - begin);
        begin = end;
        if (const auto parsed = parser.consume(input.get()); !parsed) {
            seen.problem = parsed.error().kind;
        }
    };
    std::for_each(cuts.begin(), cuts.end(), feed);
    feed(bytes.size());
    if (!seen.problem && parser.state() == parse_state::done) {
        seen.is_complete = true;
        seen.keeps_alive = parser.keeps_alive();
        seen.text = to_text(parser.take());
        seen.bytes_left = body_size(input.get()) + bytes.size() - begin;
    }
    return seen;
}

reading read_request(std::string_view bytes, const std::vector<std::size_t>& cuts = {}) {
    detail::request_parser parser(usual_limits);
    return read_with(parser, bytes, cuts);
}

reading read_answer(std::string_view bytes, const std::vector<std::size_t>& cuts = {}) {
    detail::response_parser parser(usual_limits, false);
    return read_with(parser, bytes, cuts);
}

reading read_answer_to_head(std::string_view bytes) {
    detail::response_parser parser(usual_limits, true);
    return read_with(parser, bytes, {});
}

/// Expects that the request is rejected with \p kind however its bytes arrive.
void expect_rejected(const std::string& bytes, error_kind kind = error_kind::bad_request) {
    const reading seen = read_request(bytes);
    BOOST_TEST((seen.problem == kind), bytes);
    std::vector<std::size_t> every_byte(bytes.size());
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        every_byte[i] = i;
    }
    BOOST_TEST((read_request(bytes, every_byte).problem == kind), "byte by byte: " << bytes);
}

void expect_faulty_answer(const std::string& bytes) {
    BOOST_TEST((read_answer(bytes).problem == error_kind::target_failed), bytes);
}

std::string post_with(const std::string& fields, const std::string& body) {
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string chunked_post(const std::string& body) {
    return post_with("Transfer-Encoding: chunked\r\n", body);
}

std::string answer_with(const std::string& fields, const std::string& body) {
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

/// A target that answers by raw bytes; the answers depend on the number of the connection. Not
/// thread safe.
class raw_target {
public:
    using responder = std::function<std::string(std::size_t connection, std::size_t request)>;

    raw_target(loop& events, const endpoint& address, responder respond)
        : answer(std::move(respond)) {
        const int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
        BOOST_REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
        ::listen(this->listener, 1);
        this->step = events.every(milliseconds(1), [this] { this->serve(); });
    }
    ~raw_target() {
        for (const auto& [connection, requests] : this->connections) {
            close(connection);
        }
        close(this->listener);
    }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

private:
    void serve() {
        if (const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
            accepted >= 0) {
            this->connections.emplace_back(accepted, 0);
        }
        for (std::size_t i = 0; i < this->connections.size(); ++i) {
            auto& [connection, requests] = this->connections[i];
            std::array<char, 4096> buffer{};
            if (recv(connection, buffer.data(), buffer.size(), 0) > 0) {
                const std::string bytes = this->answer(i, requests++);
                send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            }
        }
    }

    responder answer;
    int listener{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
    std::vector<std::pair<int, std::size_t>> connections;
    timer step;
};

} // namespace

// A body whose codings do not end with chunked ran as a request of its own.
BOOST_AUTO_TEST_CASE(a_transfer_encoding_that_leaves_the_end_open_is_rejected) {
    const std::string body = "5\r\nhello\r\n0\r\n\r\n" + std::string(smuggled);
    for (const char* fields :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: \r\n", "Transfer-Encoding: ,\r\n", "Transfer-Encoding: chunked,\r\n",
          "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked;q=1\r\n",
          "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: \"chunked\"\r\n",
          "Transfer-Encoding: chunked chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\ntransfer-encoding: gzip\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n",
          "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"}) {
        expect_rejected(post_with(fields, body));
    }
    expect_rejected("POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
}

// A body in a coding that nobody here decodes went to a target as if it were plain.
BOOST_AUTO_TEST_CASE(an_unknown_transfer_coding_is_not_implemented) {
    for (const char* value : {"gzip, chunked", "br,Chunked", "x-own\t,\tchunked"}) {
        expect_rejected(post_with("Transfer-Encoding: " + std::string(value) + "\r\n", "0\r\n\r\n"),
                        error_kind::coding_unknown);
    }
}

// Names and codings are compared without regard to case, so that no spelling hides a body.
BOOST_AUTO_TEST_CASE(a_chunked_body_is_found_in_every_letter_case) {
    for (const char* field : {"Transfer-Encoding: chunked", "tRANSFER-eNCODING:\tCHUNKED \t",
                              "transfer-encoding:chunked"}) {
        const std::string head = post_with(std::string(field) + "\r\n", "");
        const reading seen = read_request(head + "5\r\nhello\r\n0\r\n\r\n" + std::string(smuggled));
        BOOST_TEST(seen.is_complete, field);
        BOOST_TEST(seen.text.ends_with("\nhello"), seen.text);
        BOOST_TEST(seen.bytes_left == smuggled.size());
    }
}

// A length that two readers take for different numbers lets a body run as a request.
BOOST_AUTO_TEST_CASE(a_length_that_is_not_one_plain_number_is_rejected) {
    for (const char* fields :
         {"Content-Length: 3\r\nContent-Length: 7\r\n", "Content-Length: 3, 7\r\n",
          "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: 5, 5\r\n",
          "Content-Length: +5\r\n", "Content-Length: -5\r\n", "Content-Length: 5 5\r\n",
          "Content-Length: \r\n", "Content-Length: 0x5\r\n", "Content-Length: 5;\r\n",
          "Content-Length: 5.0\r\n", "Content-Length: 18446744073709551621\r\n",
          "Content-Length: ,5\r\n", "Content-Length: 5,\r\n", "Content-Length: \"5\"\r\n"}) {
        expect_rejected(post_with(fields, "hello" + std::string(smuggled)));
    }
}

// A field of the trailers became a header of the request, unseen by who checked the head.
BOOST_AUTO_TEST_CASE(trailers_do_not_become_headers) {
    const std::string chunks = "5\r\nhello\r\n0\r\nX-Key: other\r\nConnection: close\r\n\r\n";
    const reading request = read_request(chunked_post(chunks) + std::string(smuggled));
    BOOST_TEST(request.is_complete);
    BOOST_TEST(request.keeps_alive);
    BOOST_TEST(request.text == "POST /x\nHost=h\nTransfer-Encoding=chunked\n\nhello");
    BOOST_TEST(request.bytes_left == smuggled.size());
    const reading response = read_answer(answer_with("Transfer-Encoding: chunked\r\n", chunks));
    BOOST_TEST(response.is_complete);
    BOOST_TEST(response.text == "200\nTransfer-Encoding=chunked\n\nhello");
}

// What is no chunk or no trailer must not be guessed: another reader may guess differently.
BOOST_AUTO_TEST_CASE(malformed_chunks_are_rejected) {
    for (const char* body : {"5 \r\nhello\r\n0\r\n\r\n",
                             " 5\r\nhello\r\n0\r\n\r\n",
                             "+5\r\nhello\r\n0\r\n\r\n",
                             "0x5\r\nhello\r\n0\r\n\r\n",
                             "\r\nhello\r\n0\r\n\r\n",
                             ";a\r\nhello\r\n0\r\n\r\n",
                             "5\nhello\r\n0\r\n\r\n",
                             "5\rhello\r\n0\r\n\r\n",
                             "5\r\nhello0\r\n\r\n",
                             "5\r\nhelloo\r\n0\r\n\r\n",
                             "5\r\nhello\n0\r\n\r\n",
                             "5;a\nb\r\nhello\r\n0\r\n\r\n",
                             "5;a=\"\n0\r\n\"\r\nhello\r\n0\r\n\r\n",
                             "5;a=\"\x01\"\r\nhello\r\n0\r\n\r\n",
                             "10000000000000005\r\nhello\r\n0\r\n\r\n",
                             "00000000000000005\r\nhello\r\n0\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX : y\r\n\r\n",
                             "5\r\nhello\r\n0\r\n: y\r\n\r\n",
                             "5\r\nhello\r\n0\r\nno colon\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX: y\r\n z\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX: y\n\r\n\r\n",
                             "5\r\nhello\r\n0\r\n y\r\n\r\n"}) {
        expect_rejected(chunked_post(body));
        expect_faulty_answer(answer_with("Transfer-Encoding: chunked\r\n", body));
    }
    expect_rejected(chunked_post("ffffffffffffffff\r\nhello"), error_kind::request_too_large);
}

// A line that readers end at different bytes holds a field for one and none for the other.
BOOST_AUTO_TEST_CASE(a_head_with_two_readings_of_its_lines_is_rejected) {
    using namespace std::string_literals;
    for (const std::string& fields : {"X: a\rY: b\r\n"s,  "X: a\nY: b\r\n"s,
                                      "X: a\n\r\n"s,      "X: a\r\r\n"s,
                                      "X: a\0b\r\n"s,     "X: a\x01\r\n"s,
                                      "X: a\x7f\r\n"s,    "X\0Y: a\r\n"s,
                                      "X : a\r\n"s,       "X\t: a\r\n"s,
                                      " X: a\r\n"s,       "\tX: a\r\n"s,
                                      ": a\r\n"s,         "X\r\n"s,
                                      "X Y: a\r\n"s,      "X(Y): a\r\n"s,
                                      "X\xe9: a\r\n"s,    "X: a\r\n b\r\n"s,
                                      "X: a\r\n\tb\r\n"s, "X:\r\n a\r\n"s,
                                      "X: a\r\n \r\n"s,   "Transfer-Encoding:\r\n chunked\r\n"s}) {
        expect_rejected(post_with(fields, "0\r\n\r\n" + std::string(smuggled)));
        expect_faulty_answer(answer_with("Content-Length: 0\r\n" + fields, ""));
    }
    expect_rejected("POST /x HTTP/1.1\r\n Host: h\r\n\r\n");
    expect_rejected("POST /x HTTP/1.1\nHost: h\n\n");
}

// A request line that is split at other blanks names another target.
BOOST_AUTO_TEST_CASE(a_malformed_request_line_is_rejected) {
    using namespace std::string_literals;
    for (const std::string& line : {"GET  /x HTTP/1.1"s,
                                    "GET /x  HTTP/1.1"s,
                                    "GET /x HTTP/1.1 "s,
                                    " GET /x HTTP/1.1"s,
                                    "GET\t/x HTTP/1.1"s,
                                    "GET /x\tHTTP/1.1"s,
                                    "GET /x y HTTP/1.1"s,
                                    "GET /x"s,
                                    "GET"s,
                                    "GET /x HTTP/1.2"s,
                                    "GET /x HTTP/2.0"s,
                                    "GET /x HTTP/0.9"s,
                                    "GET /x http/1.1"s,
                                    "GET /x HTTP/1.1x"s,
                                    "GET /x HTTP/11"s,
                                    "GET /x HTTP/1.10"s,
                                    "GET /x HTTP/01.1"s,
                                    "G(T /x HTTP/1.1"s,
                                    "GET /\0 HTTP/1.1"s,
                                    "GET /\x01 HTTP/1.1"s,
                                    "GET /\x7f HTTP/1.1"s,
                                    "GET /x#y HTTP/1.1"s,
                                    "GET # HTTP/1.1"s,
                                    "GET x HTTP/1.1"s,
                                    "GET ?x HTTP/1.1"s,
                                    "GET http://h/x HTTP/1.1"s,
                                    "GET HTTP://h/x HTTP/1.1"s,
                                    "GET * HTTP/1.1"s,
                                    "CONNECT h:80 HTTP/1.1"s,
                                    "GET /x\rHTTP/1.1"s,
                                    "GET /x\nHTTP/1.1"s}) {
        expect_rejected(line + "\r\nHost: h\r\n\r\n");
    }
    BOOST_TEST(read_request("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n").is_complete);
    BOOST_TEST(read_request("GET /x?a=b:/?@ HTTP/1.1\r\nHost: h\r\n\r\n").is_complete);
}

// Two hosts are two routes; the target and the instance may each take another one.
BOOST_AUTO_TEST_CASE(a_request_that_does_not_name_one_host_is_rejected) {
    for (const char* fields :
         {"", "Host: h\r\nHost: h\r\n", "Host: h\r\nhost: other\r\n", "Host: h, other\r\n",
          "Host: h other\r\n", "Host: u@h\r\n", "Host: h/x\r\n", "Host: h?\r\n", "Host: h#\r\n",
          "Host: h:80x\r\n", "Host: h:80:90\r\n", "Host: [::1\r\n", "Host: :80\r\n"}) {
        expect_rejected("GET /x HTTP/1.1\r\n" + std::string(fields) + "\r\n");
    }
    BOOST_TEST(read_request("GET /x HTTP/1.0\r\n\r\n").is_complete);
    expect_rejected("GET /x HTTP/1.0\r\nHost: h\r\nHost: h\r\n\r\n");
    for (const char* host : {"h", "h:", "h.example:8080", "127.0.0.1:80", "[::1]:80", "[::1]"}) {
        const std::string request = "GET /x HTTP/1.1\r\nHost: " + std::string(host) + "\r\n\r\n";
        BOOST_TEST(read_request(request).is_complete, host);
    }
}

// A head that came in pieces could be longer than the limit, and an empty line in two pieces was
// an error.
BOOST_AUTO_TEST_CASE(limits_and_empty_lines_do_not_depend_on_the_pieces) {
    std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n";
    std::vector<std::size_t> line_ends;
    while (head.size() < usual_limits.max_header_bytes) {
        line_ends.push_back(head.size());
        head += "Name: value\r\n";
    }
    head += "\r\n";
    BOOST_TEST((read_request(head).problem == error_kind::header_too_large));
    BOOST_TEST((read_request(head, line_ends).problem == error_kind::header_too_large));
    const std::string request = "\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST(read_request(request).is_complete);
    BOOST_TEST(read_request(request, {1, 2, 3}).is_complete);
}

// The faulty answer of a target must not be taken for a good one, nor reach a second caller.
BOOST_AUTO_TEST_CASE(an_answer_with_two_readings_is_the_fault_of_the_target) {
    for (const char* fields :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n",
          "Content-Length: +5\r\n", "Content-Length: 5 5\r\n", "Content-Length: \r\n"}) {
        expect_faulty_answer(answer_with(fields, "5\r\nhello\r\n0\r\n\r\n"));
    }
    expect_faulty_answer("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    expect_faulty_answer("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello");
    expect_faulty_answer("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    expect_faulty_answer("HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello");
    expect_faulty_answer("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
    for (const char* line : {"HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK",
                             "HTTP/1.1  200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK",
                             "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", " HTTP/1.1 200 OK", "200 OK"}) {
        expect_faulty_answer(std::string(line) + "\r\nContent-Length: 0\r\n\r\n");
    }
    // Nothing more is waited for once the bytes cannot become an answer.
    expect_faulty_answer("<html");
    const std::string length = "Content-Length: 5\r\n";
    BOOST_TEST(read_answer_to_head(answer_with(length, "")).is_complete);
    BOOST_TEST(read_answer("HTTP/1.1 304 Not Modified\r\n" + length + "\r\n").is_complete);
    BOOST_TEST(read_answer("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").is_complete);
}

// The body of an answer that has none was read as the answer to the next request on the connection.
BOOST_AUTO_TEST_CASE(bytes_of_an_ambiguous_answer_do_not_reach_a_second_caller) {
    const endpoint address{"127.0.0.1", 18950};
    const std::string stolen = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen";
    for (const char* head : {"HTTP/1.1 204 No Content\r\nContent-Length: 44\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: x\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;\n\r\n\r\n"}) {
        loop events;
        raw_target target(events, address, [&](std::size_t connection, std::size_t request) {
            if (connection > 0) {
                return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
            }
            return request == 0 ? std::string(head) : stolen;
        });
        http_pool pool(events, address, {});
        const auto ask = [&] {
            std::optional<http_outcome> outcome;
            pool.send({}, seconds(2), [&](http_outcome result) { outcome = std::move(result); });
            BOOST_REQUIRE(harness::run_until(
                events, [&] { return outcome.has_value(); }, seconds(3)));
            return std::move(*outcome);
        };
        const http_outcome first = ask();
        BOOST_TEST(!first.has_value(), head);
        if (!first) {
            BOOST_TEST((first.error().problem.kind == error_kind::target_failed), head);
        }
        const http_outcome second = ask();
        BOOST_REQUIRE(second.has_value());
        BOOST_TEST(body_text(second->body.get()) == "own", head);
    }
}

// Options of a second Connection field, or behind a tab, were passed on.
BOOST_AUTO_TEST_CASE(all_connection_options_are_found) {
    const http_headers headers{{"Connection", "A,\tB"}, {"X", "y"}, {"connection", " c , D\t"}};
    for (const char* name : {"a", "b", "C", "d"}) {
        BOOST_TEST(is_connection_option(headers, name), name);
    }
    BOOST_TEST(!is_connection_option(headers, "X"));
    BOOST_TEST(!is_connection_option({{"Connection", "A,,"}}, ""));
}

// What a message means must not depend on the packets that it came in.
BOOST_AUTO_TEST_CASE(readings_do_not_depend_on_how_the_bytes_arrive) {
    using namespace std::string_literals;
    constexpr std::uint64_t seed = 35;
    constexpr int trials = 20'000;
    constexpr std::size_t max_pieces = 6;
    const std::array<std::string, 5> messages{
        "\r\nPOST /x?y HTTP/1.1\r\nHost: h\r\nX: a b\r\nContent-Length: 5\r\n\r\nhello",
        chunked_post("5;a=\"b\"\r\nhello\r\n00a\r\n0123456789\r\n0\r\nX: y\r\nZ:\r\n\r\n"),
        post_with("Transfer-Encoding: gzip, chunked\r\nConnection: close\r\n", "0\r\n\r\n"),
        answer_with("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nX: y\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n" + answer_with("Content-Length: 5\r\n", "hello")};
    const std::string noise = "\r\n\r\n \t\0\x01\x7f:,;0a5X"s;
    std::mt19937_64 random(seed);
    const auto below = [&](std::size_t end) { return random() % end; };
    for (int trial = 0; trial < trials; ++trial) {
        std::string bytes = messages[below(messages.size())] + std::string(smuggled);
        // Zero to two bytes are changed, removed or added, so that most messages are faulty.
        for (std::size_t change = below(3); change > 0; --change) {
            const std::size_t position = below(bytes.size());
            const std::size_t removed = below(2);
            bytes.replace(position, removed, below(3), noise[below(noise.size())]);
        }
        std::vector<std::size_t> cuts(below(max_pieces));
        std::generate(cuts.begin(), cuts.end(), [&] { return below(bytes.size()); });
        std::sort(cuts.begin(), cuts.end());
        const auto& read = bytes.starts_with("HTTP") ? read_answer : read_request;
        const reading whole = read(bytes, {});
        const reading pieces = read(bytes, cuts);
        BOOST_TEST_REQUIRE((whole == pieces),
                           "seed " << seed << " trial " << trial << ": " << bytes);
    }
}
