#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "event/loop.h"
#include "fleet/policy_follower.h"
#include "fleet/target_directory.h"

/// \file
/// Metrics on evacuation orders, and log lines about orders that an operator has probably written
/// by mistake.

namespace knapweedknot {

/// Reports malformed orders, and orders for failure domains without registered targets, each
/// revision once. Does nothing if the evacuation orders are not followed. Not thread safe.
class evacuation_monitor {
public:
    /// Sources of the orders and of the known failure domains. All must outlive the monitor.
    struct dependencies {
        loop& owner;
        const policy_follower& policy;
        const target_directory& directory;
    };

    explicit evacuation_monitor(const dependencies& given) : sources(given) {}

    /// Starts to check the orders at an interval.
    void start();
    /// Reports an order whose value is malformed.
    void record_malformed(const evacuation_order& order);
    /// Appends the metrics in the Prometheus text exposition format.
    void write_metrics(std::string& text) const;

private:
    void check_domains();
    void report(const failure_domain_id& domain, std::uint64_t revision, const char* problem);

    dependencies sources;
    std::uint64_t unusable{0};
    /// Orders that were reported as naming an unknown failure domain.
    std::map<failure_domain_id, evacuation_state> unknown_domains;
    timer check_timer;
};

} // namespace knapweedknot
