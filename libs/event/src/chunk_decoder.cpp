#include "chunk_decoder.h"

#include <string_view>

#include <event2/buffer.h>

#include "buffer_bytes.h"

namespace knapweedknot::detail {

namespace {

// Digits of the largest 64-bit number.
constexpr std::size_t max_size_digits = 16;
constexpr unsigned bits_per_digit = 4;

/// Value of the hexadecimal digit \p byte; -1 for other bytes.
int digit_value(char byte) {
    constexpr int first_letter_value = 10;
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    if (byte >= 'a' && byte <= 'f') {
        return byte - 'a' + first_letter_value;
    }
    if (byte >= 'A' && byte <= 'F') {
        return byte - 'A' + first_letter_value;
    }
    return -1;
}

} // namespace

chunk_decoder::chunk_decoder(std::size_t max_framing_bytes, std::size_t max_body_bytes) noexcept
    : max_line_bytes(max_framing_bytes), body_bytes_left(max_body_bytes),
      trailers(section::trailers, max_framing_bytes) {}

chunk_decoder::state chunk_decoder::consume(evbuffer* input, evbuffer* body) {
    while (this->progress == state::incomplete && evbuffer_get_length(input) > 0) {
        if (this->where == position::data) {
            this->take_data(input, body);
        } else if (this->where == position::trailers) {
            this->take_trailers(input);
        } else {
            this->take_line(input);
        }
    }
    return this->progress;
}

void chunk_decoder::take_data(evbuffer* input, evbuffer* body) {
    this->chunk_bytes -= move_bytes(input, body, this->chunk_bytes);
    if (this->chunk_bytes == 0) {
        this->where = position::data_return;
    }
}

void chunk_decoder::take_trailers(evbuffer* input) {
    evbuffer_drain(input, this->trailers.scan(first_bytes(input)));
    switch (this->trailers.state()) {
    case scan_state::incomplete:
        break;
    case scan_state::complete:
        this->progress = state::complete;
        break;
    case scan_state::malformed:
        this->progress = state::malformed;
        break;
    case scan_state::too_large:
        this->progress = state::framing_too_large;
        break;
    }
}

/// Reads the line end after a chunk's data and the line before the next one.
void chunk_decoder::take_line(evbuffer* input) {
    const std::string_view bytes = first_bytes(input);
    std::size_t used = 0;
    while (used < bytes.size() && this->progress == state::incomplete &&
           this->where != position::data && this->where != position::trailers) {
        this->read_byte(bytes[used]);
        ++used;
    }
    evbuffer_drain(input, used);
}

void chunk_decoder::read_byte(char byte) {
    ++this->line_bytes;
    if (this->line_bytes > this->max_line_bytes) {
        this->progress = state::framing_too_large;
        return;
    }
    bool is_valid = true;
    switch (this->where) {
    case position::size:
        this->read_size(byte);
        break;
    case position::extensions:
        is_valid = is_text_character(byte) || byte == '\r';
        this->where = byte == '\r' ? position::line_feed : this->where;
        break;
    case position::data_return:
        is_valid = byte == '\r';
        this->where = position::data_feed;
        break;
    case position::data_feed:
        is_valid = byte == '\n';
        this->where = position::size;
        break;
    case position::line_feed:
        is_valid = byte == '\n';
        if (is_valid) {
            this->end_line();
        }
        break;
    case position::data:
    case position::trailers:
        break;
    }
    if (!is_valid) {
        this->progress = state::malformed;
    }
}

/// Reads a digit of the size, a blank before extensions, or what ends the size.
void chunk_decoder::read_size(char byte) {
    if (const int digit = digit_value(byte); digit >= 0 && !this->had_blank) {
        ++this->size_digits;
        this->chunk_bytes =
            (this->chunk_bytes << bits_per_digit) | static_cast<std::uint64_t>(digit);
        if (this->size_digits > max_size_digits) {
            this->progress = state::malformed;
        }
        return;
    }
    if (this->size_digits > 0 && (byte == ' ' || byte == '\t')) {
        this->had_blank = true;
    } else if (this->size_digits > 0 && byte == ';') {
        this->where = position::extensions;
    } else if (this->size_digits > 0 && byte == '\r' && !this->had_blank) {
        this->where = position::line_feed;
    } else {
        this->progress = state::malformed;
    }
}

void chunk_decoder::end_line() {
    this->line_bytes = 0;
    this->size_digits = 0;
    this->had_blank = false;
    if (this->chunk_bytes == 0) {
        this->where = position::trailers;
    } else if (this->chunk_bytes > this->body_bytes_left) {
        this->progress = state::body_too_large;
    } else {
        this->body_bytes_left -= this->chunk_bytes;
        this->where = position::data;
    }
}

} // namespace knapweedknot::detail
