#include "socket_queues.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace knapweedknot::detail {

namespace {

std::size_t queue_bytes(int socket, unsigned long question) noexcept {
    int bytes = 0;
    const bool is_known = ioctl(socket, question, &bytes) == 0;
    return is_known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

std::size_t unacknowledged_bytes(int socket) noexcept {
    return queue_bytes(socket, SIOCOUTQ);
}

std::size_t unread_bytes(int socket) noexcept {
    return queue_bytes(socket, FIONREAD);
}

} // namespace knapweedknot::detail
