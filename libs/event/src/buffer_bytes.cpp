#include "buffer_bytes.h"

#include <algorithm>

#include <event2/buffer.h>

namespace knapweedknot::detail {

std::string_view first_bytes(evbuffer* input) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const unsigned char* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    return {reinterpret_cast<const char*>(bytes), size};
}

std::uint64_t move_bytes(evbuffer* input, evbuffer* output, std::uint64_t limit) {
    std::uint64_t moved = 0;
    while (moved < limit && evbuffer_get_length(input) > 0) {
        const std::string_view bytes = first_bytes(input);
        const std::size_t size = std::min<std::uint64_t>(bytes.size(), limit - moved);
        evbuffer_add(output, bytes.data(), size);
        evbuffer_drain(input, size);
        moved += size;
    }
    return moved;
}

} // namespace knapweedknot::detail
