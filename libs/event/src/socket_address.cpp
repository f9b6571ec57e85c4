#include "event/socket_address.h"

#include <arpa/inet.h>

namespace knapweedknot {

sockaddr_in to_socket_address(const endpoint& address) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

} // namespace knapweedknot
