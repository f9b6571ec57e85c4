#pragma once

#include <string>

#include "event/loop.h"
#include "peers/mesh.h"
#include "platform/store_client.h"

/// \file
/// Discovery of peers through the store: each instance writes its address under its name at start
/// and then reads the addresses of the others once. An instance connects to those that it finds;
/// the mesh propagates the remaining addresses.

namespace knapweedknot {

/// Registers this instance in the store and adds the other registered ones to the mesh. Not thread
/// safe.
class instance_registry {
public:
    instance_registry(loop& owner, store_client& store, mesh& network);

    /// Writes the entry of this instance and reads all others; retries on errors.
    void start();
    /// Removes the entry of this instance. The outcome is only logged.
    void deregister();

private:
    void write_entry();
    void read_entries(const std::string& after);

    loop& owner;
    store_client& store;
    mesh& network;
    std::uint64_t revision{0};
    timer retry_timer;
};

} // namespace knapweedknot
