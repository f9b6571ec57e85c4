#include "interim_answer_filter.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <event2/buffer.h>

namespace knapweedknot {

namespace {

constexpr std::string_view status_line_start = "HTTP/1.1 1";
constexpr std::string_view switching_protocols = "HTTP/1.1 101";
constexpr std::size_t minor_version_position = 7;

/// First bytes of \p buffer, with any minor version taken for 1.
std::string_view peek(evbuffer* buffer, std::array<char, switching_protocols.size()>& storage) {
    const ev_ssize_t size = evbuffer_copyout(buffer, storage.data(), storage.size());
    const std::string_view start(storage.data(), static_cast<std::size_t>(size));
    if (start.size() > minor_version_position) {
        storage[minor_version_position] = '1';
    }
    return start;
}

} // namespace

interim_answer_filter::interim_answer_filter(evbuffer* watched, std::size_t head_limit)
    : input(watched), max_head_bytes(head_limit) {
    evbuffer_add_cb(this->input, &interim_answer_filter::input_changed, this);
}

void interim_answer_filter::expect_head() {
    evbuffer_drain(this->withheld.get(), evbuffer_get_length(this->withheld.get()));
    this->at_head = true;
}

void interim_answer_filter::input_changed(evbuffer* /*unused*/, const evbuffer_cb_info* change,
                                          void* argument) {
    auto* self = static_cast<interim_answer_filter*>(argument);
    if (self->at_head && change->n_added > 0) {
        self->at_head = false;
        evbuffer_add_buffer(self->withheld.get(), self->input);
        self->drop_interim_answers();
    }
}

void interim_answer_filter::drop_interim_answers() {
    evbuffer* bytes = this->withheld.get();
    while (true) {
        if (this->must_wait_for_more()) {
            this->at_head = true;
            return;
        }
        std::array<char, switching_protocols.size()> storage{};
        const std::string_view start = peek(bytes, storage);
        const evbuffer_ptr end = evbuffer_search(bytes, "\r\n\r\n", 4, nullptr);
        if (!start.starts_with(status_line_start) || start == switching_protocols || end.pos < 0) {
            evbuffer_add_buffer(this->input, bytes);
            return;
        }
        evbuffer_drain(bytes, static_cast<std::size_t>(end.pos) + 4);
    }
}

bool interim_answer_filter::must_wait_for_more() const {
    evbuffer* bytes = this->withheld.get();
    std::array<char, switching_protocols.size()> storage{};
    const std::string_view start = peek(bytes, storage);
    if (start.size() < switching_protocols.size()) {
        const std::size_t common = std::min(start.size(), status_line_start.size());
        return start.substr(0, common) == status_line_start.substr(0, common);
    }
    return start.starts_with(status_line_start) &&
           evbuffer_search(bytes, "\r\n\r\n", 4, nullptr).pos < 0 &&
           evbuffer_get_length(bytes) <= this->max_head_bytes;
}

} // namespace knapweedknot
