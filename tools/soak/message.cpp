#include "message.h"

#include <cstdlib>

namespace knapweedknot::soak {

std::string_view message::header(std::string_view name) const {
    const std::string* found = find_header(this->headers, name);
    return found == nullptr ? std::string_view{} : std::string_view{*found};
}

std::string_view message::uri() const {
    const std::string_view line = this->start_line;
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    return first == last ? std::string_view{} : line.substr(first + 1, last - first - 1);
}

int message::status() const {
    const std::size_t space = this->start_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(this->start_line.c_str() + space);
}

std::optional<message> take_message(std::string& input) {
    const std::size_t head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return std::nullopt;
    }
    message taken;
    std::size_t at = input.find("\r\n");
    taken.start_line = input.substr(0, at);
    while (at < head_end) {
        const std::size_t begin = at + 2;
        at = input.find("\r\n", begin);
        const std::string line = input.substr(begin, at - begin);
        if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            taken.headers.push_back(
                {line.substr(0, colon), value == std::string::npos ? "" : line.substr(value)});
        }
    }
    const std::string length(taken.header("Content-Length"));
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    const std::size_t body = head_end + 4;
    if (input.size() < body + size) {
        return std::nullopt;
    }
    taken.body = input.substr(body, size);
    input.erase(0, body + size);
    return taken;
}

double query_number(std::string_view uri, std::string_view name, double fallback) {
    const std::string text(uri);
    const std::size_t at = text.find(std::string(name) + '=');
    return at == std::string::npos ? fallback
                                   : std::strtod(text.c_str() + at + name.size() + 1, nullptr);
}

} // namespace knapweedknot::soak
