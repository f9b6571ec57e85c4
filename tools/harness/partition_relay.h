#pragma once

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "base/endpoint.h"
#include "event/loop.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

/// \file
/// TCP and UDP relay that can discard the traffic of one direction between two IP addresses. Tests
/// use it to simulate one-way network partitions.

namespace knapweedknot::harness {

/// Blocked directions as (source IP, destination IP): their traffic is discarded. Thread safe.
class blocked_directions {
public:
    void insert(const std::pair<std::string, std::string>& direction) {
        const std::lock_guard lock(this->mutex);
        this->directions.insert(direction);
    }
    void erase(const std::pair<std::string, std::string>& direction) {
        const std::lock_guard lock(this->mutex);
        this->directions.erase(direction);
    }
    [[nodiscard]] bool contains(const std::pair<std::string, std::string>& direction) const {
        const std::lock_guard lock(this->mutex);
        return this->directions.contains(direction);
    }

private:
    mutable std::mutex mutex;
    std::set<std::pair<std::string, std::string>> directions;
};

/// Relays TCP connections and UDP datagrams to one endpoint. Not thread safe.
class partition_relay {
public:
    /// Throws std::runtime_error when \p listen cannot be bound.
    /// \param blocked must outlive the relay; changes take effect at once
    partition_relay(loop& owner, const endpoint& listen, const endpoint& destination,
                    const blocked_directions& blocked);
    ~partition_relay();
    partition_relay(const partition_relay&) = delete;
    partition_relay& operator=(const partition_relay&) = delete;

private:
    struct relayed_connection;
    void relay_datagrams();
    static void on_accept(evconnlistener* listener, int socket, sockaddr* address, int size,
                          void* argument);
    static void on_readable(bufferevent* from, void* argument);
    static void on_event(bufferevent* stream, short events, void* argument);

    loop& owner;
    endpoint destination;
    const blocked_directions& blocked;
    std::list<std::unique_ptr<relayed_connection>> connections;
    evconnlistener* listener{nullptr};
    int datagram_socket{-1};
    std::unique_ptr<event, knapweedknot::detail::event_deleter> datagram_event;
};

} // namespace knapweedknot::harness
