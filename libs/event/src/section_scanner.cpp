#include "section_scanner.h"

#include <array>
#include <climits>

namespace knapweedknot::detail {

namespace {

constexpr std::size_t byte_values = std::size_t{1} << CHAR_BIT;
using byte_set = std::array<bool, byte_values>;

constexpr byte_set make_token_characters() {
    constexpr std::string_view all = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                     "abcdefghijklmnopqrstuvwxyz";
    byte_set set{};
    for (const char byte : all) {
        set.at(static_cast<unsigned char>(byte)) = true;
    }
    return set;
}

constexpr byte_set make_text_characters() {
    byte_set set{};
    for (std::size_t byte = 0; byte < byte_values; ++byte) {
        set.at(byte) = byte == '\t' || (byte >= ' ' && byte != '\x7f');
    }
    return set;
}

constexpr byte_set token_characters = make_token_characters();
constexpr byte_set text_characters = make_text_characters();

} // namespace

bool is_token_character(char byte) noexcept {
    return token_characters[static_cast<unsigned char>(byte)];
}

bool is_text_character(char byte) noexcept {
    return text_characters[static_cast<unsigned char>(byte)];
}

std::string_view trim_blanks(std::string_view text) noexcept {
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

section_scanner::section_scanner(section kind, std::size_t limit) noexcept
    : max_size(limit), expects_start_line(kind == section::head) {}

std::size_t section_scanner::scan(std::string_view bytes) noexcept {
    const std::string_view usable = bytes.substr(0, this->max_size - this->scanned);
    std::size_t used = 0;
    while (this->progress == scan_state::incomplete && used < usable.size()) {
        used += this->run_length(usable.substr(used));
        if (used == usable.size()) {
            break;
        }
        this->scan_byte(usable[used]);
        ++used;
        if (this->where == position::line_start && this->first_line_size == 0) {
            this->first_line_size = this->scanned + used;
        }
    }
    this->scanned += used;
    if (this->progress == scan_state::incomplete && used < bytes.size()) {
        this->progress = scan_state::too_large;
    }
    return used;
}

/// Number of bytes at the start of \p bytes that continue a name or a text.
std::size_t section_scanner::run_length(std::string_view bytes) const noexcept {
    const bool is_in_text = this->where == position::text || this->where == position::start_line;
    if (!is_in_text && this->where != position::name) {
        return 0;
    }
    const byte_set& continues = is_in_text ? text_characters : token_characters;
    std::size_t length = 0;
    while (length < bytes.size() && continues[static_cast<unsigned char>(bytes[length])]) {
        ++length;
    }
    return length;
}

void section_scanner::scan_byte(char byte) noexcept {
    bool is_valid = true;
    switch (this->where) {
    case position::text:
    case position::start_line:
        is_valid = is_text_character(byte) || byte == '\r';
        this->where = byte == '\r' ? position::line_feed : this->where;
        break;
    case position::name:
        is_valid = is_token_character(byte) || byte == ':';
        this->where = byte == ':' ? position::text : this->where;
        break;
    case position::line_start:
        this->where = this->after_line_start(byte);
        is_valid = this->where != position::line_start;
        break;
    case position::line_feed:
        is_valid = byte == '\n';
        this->where = position::line_start;
        break;
    case position::last_line_feed:
        is_valid = byte == '\n';
        this->progress = scan_state::complete;
        break;
    }
    if (!is_valid) {
        this->progress = scan_state::malformed;
    }
}

/// Where a line with the first byte \p byte continues; line_start when no line starts with it.
section_scanner::position section_scanner::after_line_start(char byte) noexcept {
    if (this->expects_start_line) {
        this->expects_start_line = false;
        return is_token_character(byte) ? position::start_line : position::line_start;
    }
    if (byte == '\r') {
        return position::last_line_feed;
    }
    return is_token_character(byte) ? position::name : position::line_start;
}

} // namespace knapweedknot::detail
