#include "event/uri.h"

#include <cstdlib>
#include <memory>

#include <sys/queue.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace knapweedknot {

namespace {

using c_string = std::unique_ptr<char, decltype(&std::free)>;

} // namespace

std::string encode_uri_component(const std::string& text) {
    const c_string encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
                           &std::free);
    return encoded == nullptr ? std::string() : std::string(encoded.get());
}

std::string decode_uri_component(const std::string& text) {
    std::size_t size = 0;
    const c_string decoded(evhttp_uridecode(text.c_str(), 1, &size), &std::free);
    return decoded == nullptr ? text : std::string(decoded.get(), size);
}

std::string_view host_without_port(std::string_view host) noexcept {
    return host.substr(0, host.find(':'));
}

std::string_view path_of(std::string_view uri) noexcept {
    return uri.substr(0, uri.find_first_of("?#"));
}

std::string query_parameter(std::string_view query, const std::string& name) {
    evkeyvalq values{};
    if (evhttp_parse_query_str(std::string(query).c_str(), &values) != 0) {
        return {};
    }
    const char* found = evhttp_find_header(&values, name.c_str());
    std::string value = found == nullptr ? "" : found;
    evhttp_clear_headers(&values);
    return value;
}

} // namespace knapweedknot
