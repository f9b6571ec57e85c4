#include "framing.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

#include "section_scanner.h"

namespace knapweedknot::detail {

namespace {

constexpr int switching_protocols = 101;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int first_status = 100;
constexpr int first_final_status = 200;

/// The values of a field that frames the message.
struct framing_fields {
    const std::string* length{nullptr};
    const std::string* codings{nullptr};
    bool is_repeated{false};
};

framing_fields find_framing_fields(const http_headers& headers) {
    framing_fields found;
    const auto note = [&found](const std::string*& slot, const std::string& value) {
        found.is_repeated = found.is_repeated || slot != nullptr;
        slot = &value;
    };
    for (const auto& [name, value] : headers) {
        if (equal_ignoring_case(name, "Content-Length")) {
            note(found.length, value);
        } else if (equal_ignoring_case(name, "Transfer-Encoding")) {
            note(found.codings, value);
        }
    }
    return found;
}

/// The number that \p text consists of; none when it is anything else than decimal digits or does
/// not fit.
std::optional<std::uint64_t> parse_length(std::string_view text) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    // from_chars takes no blank, no plus sign and, for an unsigned number, no minus sign.
    const auto [stop, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), &is_token_character);
}

enum class coding_reading { chunked, unknown_before_chunked, ambiguous };

/// Reads a list of transfer codings, which must be names without parameters.
coding_reading read_codings(std::string_view list) {
    bool knows_all = true;
    while (true) {
        const std::size_t comma = list.find(',');
        const std::string_view coding = trim_blanks(list.substr(0, comma));
        const bool is_last = comma == std::string_view::npos;
        const bool is_chunked = equal_ignoring_case(coding, "chunked");
        if (!is_token(coding) || is_chunked != is_last) {
            return coding_reading::ambiguous;
        }
        if (is_last) {
            return knows_all ? coding_reading::chunked : coding_reading::unknown_before_chunked;
        }
        knows_all = false;
        list.remove_prefix(comma + 1);
    }
}

/// The framing that the fields state; \p without when they state none.
result<body_framing> frame_by_fields(const http_headers& headers, http_version version,
                                     body_end without) {
    const framing_fields fields = find_framing_fields(headers);
    if (fields.is_repeated) {
        return fail(error_kind::bad_request, "a repeated Content-Length or Transfer-Encoding");
    }
    if (fields.codings != nullptr) {
        if (fields.length != nullptr) {
            return fail(error_kind::bad_request, "Transfer-Encoding beside Content-Length");
        }
        if (version == http_version::http_1_0) {
            return fail(error_kind::bad_request, "Transfer-Encoding in HTTP/1.0");
        }
        switch (read_codings(*fields.codings)) {
        case coding_reading::chunked:
            return body_framing{body_end::chunked, 0};
        case coding_reading::unknown_before_chunked:
            return fail(error_kind::coding_unknown, "a transfer coding other than chunked");
        case coding_reading::ambiguous:
            break;
        }
        return fail(error_kind::bad_request, "Transfer-Encoding does not end with chunked, once");
    }
    if (fields.length == nullptr) {
        return body_framing{without, 0};
    }
    const std::optional<std::uint64_t> length = parse_length(*fields.length);
    if (!length) {
        return fail(error_kind::bad_request, "Content-Length is not one number");
    }
    return body_framing{body_end::length, *length};
}

bool is_version(std::string_view text) {
    return text == "HTTP/1.0" || text == "HTTP/1.1";
}

bool is_target(std::string_view method, std::string_view target) {
    if (target == "*") {
        return method == "OPTIONS";
    }
    const auto is_allowed = [](char byte) {
        return is_text_character(byte) && byte != '\t' && byte != '#';
    };
    return target.starts_with('/') && std::all_of(target.begin(), target.end(), is_allowed);
}

bool is_port(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte >= '0' && byte <= '9'; });
}

/// True for uri-host [ ":" port ] (RFC 3986, 3.2.2).
bool is_host(std::string_view text) {
    const std::size_t name_end = text.starts_with('[') ? text.find(']') : 0;
    if (name_end == std::string_view::npos) {
        return false;
    }
    const std::size_t colon = text.find(':', name_end);
    const std::string_view port =
        colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    const std::string_view name = text.substr(0, colon);
    constexpr std::string_view forbidden = " \t,/?#@\\\"<>";
    const bool is_bracketed = name_end == 0 || name.size() == name_end + 1;
    return !name.empty() && is_bracketed && is_port(port) &&
           name.find_first_of(forbidden) == std::string_view::npos;
}

} // namespace

result<body_framing> frame_request(const http_headers& headers, http_version version) {
    return frame_by_fields(headers, version, body_end::none);
}

result<body_framing> frame_response(const http_headers& headers, http_version version, int status,
                                    bool is_head) {
    if (status < first_status || status == switching_protocols) {
        return fail(error_kind::target_failed, "an answer with an impossible status");
    }
    result<body_framing> framing = frame_by_fields(headers, version, body_end::connection_end);
    if (!framing) {
        return fail(error_kind::target_failed, std::move(framing.error().detail));
    }
    if (status < first_final_status || status == no_content) {
        const bool states_body = framing->end == body_end::chunked || framing->bytes > 0;
        if (states_body) {
            return fail(error_kind::target_failed, "a body in an answer that has none");
        }
        return body_framing{};
    }
    return is_head || status == not_modified ? body_framing{} : framing;
}

result<void> check_request_line(std::string_view line) {
    const std::size_t method_end = line.find(' ');
    const std::size_t target_end = line.rfind(' ');
    if (method_end == std::string_view::npos || target_end == method_end) {
        return fail(error_kind::bad_request, "malformed request line");
    }
    const std::string_view method = line.substr(0, method_end);
    const std::string_view target = line.substr(method_end + 1, target_end - method_end - 1);
    if (!is_token(method) || target.find(' ') != std::string_view::npos) {
        return fail(error_kind::bad_request, "malformed request line");
    }
    if (!is_version(line.substr(target_end + 1))) {
        return fail(error_kind::bad_request, "the version is neither HTTP/1.0 nor HTTP/1.1");
    }
    if (!is_target(method, target)) {
        return fail(error_kind::bad_request, "the request target is not a path");
    }
    return {};
}

result<void> check_host(const http_headers& headers, http_version version) {
    const std::string* host = nullptr;
    for (const auto& [name, value] : headers) {
        if (equal_ignoring_case(name, "Host")) {
            if (host != nullptr) {
                return fail(error_kind::bad_request, "more than one Host");
            }
            host = &value;
        }
    }
    if (host == nullptr) {
        return version == http_version::http_1_0 ? result<void>()
                                                 : fail(error_kind::bad_request, "no Host");
    }
    return is_host(*host) ? result<void>() : fail(error_kind::bad_request, "malformed Host");
}

bool may_start_response(std::string_view start) noexcept {
    constexpr std::string_view version = "HTTP/1.";
    const std::size_t size = std::min(start.size(), version.size());
    return start.substr(0, size) == version.substr(0, size);
}

} // namespace knapweedknot::detail
