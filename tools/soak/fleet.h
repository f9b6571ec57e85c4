#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "platform_service.h"
#include "process.h"
#include "records.h"
#include "site.h"
#include "target.h"

/// \file
/// Edge processes, with a store and targets inside this process.

namespace knapweedknot::soak {

/// Size and place of a fleet.
struct fleet_shape {
    int edges{4};
    int targets{24};
    /// Second number of the loopback addresses 127.N.x.x.
    int network{90};
    std::string program;
    /// Folder of settings and logs; it exists.
    std::string folder;
};

/// Not thread safe.
class fleet {
public:
    /// Throws std::runtime_error if an address cannot be bound.
    fleet(loop& owner, fleet_shape shape, records& seen);

    /// Writes the first policy and all registrations.
    void start_store();
    void start_edge(int number);
    /// Sends SIGTERM to a running edge, which is killed after the grace and then started again.
    void stop_edge(int number);
    void hang_up(int number);
    void write_policy(const policy& wanted);
    /// Kills edges whose grace has ended and starts ended ones again; call it often.
    void step(bool may_restart);

    /// Asks all edges whether they are ready, and returns how many were when last asked.
    [[nodiscard]] int ask_readiness();
    [[nodiscard]] bool is_running(int number) const;
    [[nodiscard]] int size() const noexcept { return this->shape.edges; }
    [[nodiscard]] endpoint address(int number, std::uint16_t port) const;
    /// The edge at \p address; nothing if it is none.
    [[nodiscard]] std::optional<int> edge_at(const std::string& address) const;
    /// Edges that ended without a stop.
    [[nodiscard]] int unexpected_ends() const noexcept { return this->unexpected; }

    static constexpr std::uint16_t callers_port = 8080;
    static constexpr std::uint16_t directory_port = 8082;

private:
    void register_targets();

    loop& owner;
    fleet_shape shape;
    records& seen;
    endpoint store_address;
    standin::platform_service store;
    store_client writer;
    std::vector<std::unique_ptr<target>> targets;
    std::map<int, harness::process> processes;
    std::map<int, time_point> restarts;
    std::vector<bool> ready;
    unsigned version{0};
    std::uint64_t sequence{0};
    int unexpected{0};
    timer heartbeat;
};

} // namespace knapweedknot::soak
