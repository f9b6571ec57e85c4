#pragma once

#include <string>

#include "event/loop_monitor.h"
#include "fleet/policy_follower.h"
#include "fleet/report_exchange.h"
#include "fleet/store_relay.h"
#include "fleet/target_directory.h"
#include "proxy/edge_gateway.h"

/// \file
/// Periodic log line and metrics on the load of an instance and the age of its data, which show
/// where requests may have waited.

namespace knapweedknot {

/// Logs `instance_load` each second while the instance serves, and exports the same values as
/// metrics. Not thread safe; lives on the thread of its loop.
class load_monitor {
public:
    /// Sources of the measured values. All must outlive the monitor.
    struct dependencies {
        loop& owner;
        const mesh& network;
        const report_exchange& reports;
        store_client& store;
        const policy_follower& policy;
        const target_directory& directory;
        const store_relay& relay;
        const edge_gateway& gateway;
    };

    explicit load_monitor(const dependencies& given);

    /// Appends the metrics in the Prometheus text exposition format.
    void write_metrics(std::string& text) const;

private:
    void sample();
    void log_store_calls();

    dependencies sources;
    loop_monitor lateness_monitor;
    mesh_traffic previous_traffic;
    duration max_lateness{duration::zero()};
    duration longest_store_call{duration::zero()};
    std::uint64_t logged_store_calls{0};
    timer sample_timer;
    timer store_calls_timer;
};

} // namespace knapweedknot
