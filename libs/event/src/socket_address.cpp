#include "event/socket_address.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace knapweedknot {

sockaddr_in to_socket_address(const endpoint& address) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

int make_tcp_socket(const std::string& source_ip) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return descriptor;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (!source_ip.empty()) {
        setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        const sockaddr_in source = to_socket_address({source_ip, 0});
        static_cast<void>(
            bind(descriptor, reinterpret_cast<const sockaddr*>(&source), sizeof source));
    }
    return descriptor;
}

} // namespace knapweedknot
