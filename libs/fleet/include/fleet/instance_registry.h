#pragma once

#include <string>

#include "event/loop.h"
#include "peers/mesh.h"
#include "platform/store_client.h"

/// \file
/// How instances find each other: each writes its address under its name into the store and reads
/// the others' once. Whoever starts later dials those that it finds; the mesh passes on the rest.

namespace knapweedknot {

/// Registers this instance. Not thread safe.
class instance_registry {
public:
    instance_registry(loop& owner, store_client& store, mesh& network);

    void start();
    /// Removes the entry of this instance; nobody waits for the outcome.
    void leave();

private:
    void write();
    void read(const std::string& after);

    loop& owner;
    store_client& store;
    mesh& network;
    std::uint64_t revision{0};
    timer retry;
};

} // namespace knapweedknot
