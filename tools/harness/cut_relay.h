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
/// A relay of connections and datagrams that can swallow the bytes of one direction between two IP
/// addresses, for tests of one-way partitions.

namespace knapweedknot::harness {

/// Directions that are cut: bytes from the first address to the second are swallowed. Thread safe.
class cut_set {
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

/// Relays connections to one endpoint. Not thread safe.
class cut_relay {
public:
    /// \param cuts must outlive the relay; changes take effect at once
    cut_relay(loop& owner, const endpoint& listen, const endpoint& target, const cut_set& cuts);
    ~cut_relay();
    cut_relay(const cut_relay&) = delete;
    cut_relay& operator=(const cut_relay&) = delete;

private:
    struct pair;
    void relay_datagrams();
    static void accepted(evconnlistener* listener, int socket, sockaddr* address, int size,
                         void* argument);
    static void forward(bufferevent* from, void* argument);
    static void closed(bufferevent* stream, short what, void* argument);

    loop& owner;
    endpoint target;
    const cut_set& cuts;
    std::list<std::unique_ptr<pair>> pairs;
    evconnlistener* listener{nullptr};
    int datagram_socket{-1};
    std::unique_ptr<event, knapweedknot::detail::event_deleter> datagram_event;
};

} // namespace knapweedknot::harness
