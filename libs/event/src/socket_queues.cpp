#include "socket_queues.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

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

bool has_failed(int socket) noexcept {
    int problem = 0;
    socklen_t size = sizeof problem;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &problem, &size) == 0 && problem != 0;
}

} // namespace knapweedknot::detail
