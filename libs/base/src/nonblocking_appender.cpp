#include "nonblocking_appender.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>

// The log4cxx macro opens a namespace of its own and must be used at file scope.
using knapweedknot::detail::nonblocking_appender;
IMPLEMENT_LOG4CXX_OBJECT(nonblocking_appender)

namespace knapweedknot::detail {

namespace {

// A writable pipe accepts this much without blocking (PIPE_BUF).
constexpr std::size_t max_write_bytes = 4096;
// Limit of the lines that are buffered while the descriptor accepts no data.
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;

bool is_writable(int descriptor) {
    pollfd poll_entry{descriptor, POLLOUT, 0};
    return poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

} // namespace

nonblocking_appender::nonblocking_appender(const log4cxx::LayoutPtr& line_layout,
                                           int output_descriptor)
    : descriptor(output_descriptor) {
    this->setLayout(line_layout);
}

void nonblocking_appender::append(const log4cxx::spi::LoggingEventPtr& event,
                                  log4cxx::helpers::Pool& pool) {
    log4cxx::LogString formatted;
    this->getLayout()->format(formatted, event, pool);
    std::string line;
    log4cxx::helpers::Transcoder::encodeUTF8(formatted, line);
    if (this->buffered.size() + line.size() > max_buffered_bytes) {
        ++this->dropped;
    } else {
        if (this->dropped > 0 && this->buffered.empty()) {
            this->buffered = "event=lines_dropped count=" + std::to_string(this->dropped) + '\n';
            this->dropped = 0;
        }
        this->buffered += line;
    }
    this->flush();
}

void nonblocking_appender::flush() {
    while (!this->buffered.empty() && is_writable(this->descriptor)) {
        const ssize_t size = write(this->descriptor, this->buffered.data(),
                                   std::min(max_write_bytes, this->buffered.size()));
        if (size <= 0) {
            return;
        }
        this->buffered.erase(0, static_cast<std::size_t>(size));
    }
}

} // namespace knapweedknot::detail
