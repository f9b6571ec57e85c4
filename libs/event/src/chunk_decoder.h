#pragma once

#include <cstddef>
#include <cstdint>

#include "section_scanner.h"

struct evbuffer;

/// \file
/// Decoding of the chunked transfer coding (RFC 9112, 7.1).

namespace knapweedknot::detail {

/// Decodes one chunked body. The result depends on the bytes only, not on how they are divided
/// between calls. Not thread safe.
class chunk_decoder {
public:
    enum class state { incomplete, complete, malformed, framing_too_large, body_too_large };

    /// \param max_framing_bytes maximum size of the line before a chunk and of the trailers
    /// \param max_body_bytes maximum size of the decoded body
    chunk_decoder(std::size_t max_framing_bytes, std::size_t max_body_bytes) noexcept;

    /// Moves the chunks' data from \p input to the end of \p body and drops the rest of the body,
    /// with its trailers; bytes after its end stay in \p input.
    /// \pre the result of the call before was incomplete
    state consume(evbuffer* input, evbuffer* body);

private:
    enum class position { size, extensions, line_feed, data, data_return, data_feed, trailers };

    void take_data(evbuffer* input, evbuffer* body);
    void take_line(evbuffer* input);
    void take_trailers(evbuffer* input);
    void read_byte(char byte);
    void read_size(char byte);
    void end_line();

    std::size_t max_line_bytes;
    std::uint64_t body_bytes_left;
    section_scanner trailers;
    position where{position::size};
    state progress{state::incomplete};
    /// Size of the present chunk, then its bytes that are still to come.
    std::uint64_t chunk_bytes{0};
    std::size_t size_digits{0};
    std::size_t line_bytes{0};
    bool had_blank{false};
};

} // namespace knapweedknot::detail
