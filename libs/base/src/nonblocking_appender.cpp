#include "nonblocking_appender.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>

// The library's macro opens a namespace of its own, so it stands outside of ours.
using knapweedknot::detail::nonblocking_appender;
IMPLEMENT_LOG4CXX_OBJECT(nonblocking_appender)

namespace knapweedknot::detail {

namespace {

// A pipe that is ready takes this much without waiting (PIPE_BUF).
constexpr std::size_t piece_bytes = 4096;
// Lines that are kept while nobody reads.
constexpr std::size_t max_kept_bytes = std::size_t{64} * 1024;

bool is_ready(int descriptor) {
    pollfd asked{descriptor, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

} // namespace

nonblocking_appender::nonblocking_appender(const log4cxx::LayoutPtr& line_layout, int written)
    : descriptor(written) {
    this->setLayout(line_layout);
}

void nonblocking_appender::append(const log4cxx::spi::LoggingEventPtr& event,
                                  log4cxx::helpers::Pool& pool) {
    log4cxx::LogString formatted;
    this->getLayout()->format(formatted, event, pool);
    std::string line;
    log4cxx::helpers::Transcoder::encodeUTF8(formatted, line);
    if (this->kept.size() + line.size() > max_kept_bytes) {
        ++this->dropped;
    } else {
        if (this->dropped > 0 && this->kept.empty()) {
            this->kept = "event=lines_dropped count=" + std::to_string(this->dropped) + '\n';
            this->dropped = 0;
        }
        this->kept += line;
    }
    this->flush();
}

void nonblocking_appender::flush() {
    while (!this->kept.empty() && is_ready(this->descriptor)) {
        const ssize_t size =
            write(this->descriptor, this->kept.data(), std::min(piece_bytes, this->kept.size()));
        if (size <= 0) {
            return;
        }
        this->kept.erase(0, static_cast<std::size_t>(size));
    }
}

} // namespace knapweedknot::detail
