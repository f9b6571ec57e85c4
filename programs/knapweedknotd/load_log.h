#pragma once

#include <string>

#include "event/loop_monitor.h"
#include "fleet/policy_follower.h"
#include "fleet/report_exchange.h"
#include "fleet/target_directory.h"
#include "proxy/edge_gateway.h"

/// \file
/// What an instance is busy with and how current its knowledge is: where a request can have waited.

namespace knapweedknot {

/// Writes a log line each second while the instance serves, and the same as metrics. Not thread
/// safe; lives on the thread of its loop.
class load_log {
public:
    /// What is measured. All must outlive the log.
    struct parts {
        loop& owner;
        const mesh& network;
        const report_exchange& reports;
        store_client& store;
        const policy_follower& policy;
        const target_directory& directory;
        const edge_gateway& gateway;
    };

    explicit load_log(const parts& given);

    /// Appends the metrics in the text exposition format.
    void write_metrics(std::string& text) const;

private:
    void look();

    parts measured;
    loop_monitor monitor;
    mesh_traffic before;
    duration latest_lateness{duration::zero()};
    duration latest_call{duration::zero()};
    timer looking;
};

} // namespace knapweedknot
