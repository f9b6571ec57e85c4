#pragma once

#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/endpoint.h"
#include "raw_socket.h"

/// \file
/// A target of raw bytes for tests: it accepts connections and ends them as the test says.

namespace knapweedknot::harness {

/// Listens at an address; holds the connection that it accepted last. Never waits.
class raw_target {
public:
    explicit raw_target(const endpoint& address, int backlog = SOMAXCONN) {
        const int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
        BOOST_REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
        BOOST_REQUIRE(listen(this->listener, backlog) == 0);
    }
    ~raw_target() { ::close(this->listener); }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    /// Accepts a connection if one waits, and closes the one held before. Returns whether it did.
    bool accept() {
        const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted < 0) {
            return false;
        }
        this->connection.close();
        this->connection.fd = accepted;
        ++this->accepted_connections;
        return true;
    }
    /// Ends the connection by a reset, whatever it holds.
    void reset() { this->connection.reset(); }

    raw_socket connection;
    int accepted_connections{0};

private:
    int listener{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
};

} // namespace knapweedknot::harness
