#pragma once

#include <cstddef>

#include "event/http_message.h"

struct evbuffer_cb_info;

/// \file
/// Removal of interim (1xx) answers from the input of a client connection. evhttp restarts its
/// write state on "100 Continue" and takes any other interim answer for the final one.

namespace knapweedknot {

/// Watches one input buffer. Not thread safe; must outlive the buffer's use.
class interim_answer_filter {
public:
    /// \param input buffer that the connection reads into
    /// \param max_head_bytes interim answers over this size are left for evhttp to refuse
    interim_answer_filter(evbuffer* input, std::size_t max_head_bytes);
    interim_answer_filter(const interim_answer_filter&) = delete;
    interim_answer_filter& operator=(const interim_answer_filter&) = delete;

    /// A new answer starts with the next byte.
    void expect_head();

private:
    static void input_changed(evbuffer* input, const evbuffer_cb_info* change, void* argument);
    void drop_interim_answers();
    [[nodiscard]] bool must_wait_for_more() const;

    evbuffer* input;
    std::size_t max_head_bytes;
    /// Bytes that may belong to an interim answer and are not shown to evhttp yet.
    body_ptr withheld{make_body()};
    bool at_head{false};
};

} // namespace knapweedknot
