#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/idempotent_executor.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Collects idempotency key prefixes from the instances listed in an address response.

namespace knapweedknot {

/// Requests prefixes from other instances. Not thread safe.
class prefix_collector {
public:
    /// Prefixes by issuer, without the instances that did not reply in time.
    using prefixes_by_issuer = std::map<incarnation_id, std::string>;
    using handler = std::function<void(const prefixes_by_issuer&)>;

    prefix_collector(loop& owner, mesh& network, const idempotent_executor& executor);

    /// Calls \p done once with the prefixes of \p issuers for \p account, possibly before this
    /// returns.
    void collect(const account_id& account, const std::vector<incarnation_id>& issuers,
                 handler done);
    /// Issues a prefix for an account and sends it to the requesting instance.
    void handle_request(const peer_info& from, const wire::prefix_requestT& request);
    void handle_reply(const peer_info& from, const wire::prefix_replyT& reply);

private:
    struct pending_collection {
        std::size_t outstanding{0};
        prefixes_by_issuer received;
        handler done;
        timer timeout;
    };
    void finish(std::uint64_t id);

    loop& owner;
    mesh& network;
    const idempotent_executor& executor;
    std::unordered_map<std::uint64_t, pending_collection> pending;
    std::uint64_t last_id{0};
};

} // namespace knapweedknot
