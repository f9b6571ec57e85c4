#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event/http_server.h"
#include "fleet/instance_registry.h"
#include "fleet/policy_follower.h"
#include "fleet/report_exchange.h"
#include "fleet/store_relay.h"
#include "fleet/target_directory.h"
#include "peers/mesh.h"
#include "platform/store_client.h"
#include "proxy/edge_gateway.h"
#include "proxy/edge_settings.h"
#include "proxy/evacuation_monitor.h"

#include "load_monitor.h"

/// \file
/// An instance on the users' platform: creates, connects and shuts down the components of one
/// process.

namespace knapweedknot {

/// A running edge instance. Not thread safe; lives on the thread of its loop.
class edge_instance {
public:
    edge_instance(loop& owner, const edge_settings& settings);

    /// Listens on all addresses and starts to follow the store. Returns an error if it cannot
    /// listen on one of them.
    [[nodiscard]] result<void> start();
    /// Starts a graceful shutdown: callers are directed to other instances, running requests are
    /// completed, and then the loop is stopped.
    void drain();
    /// Applies the settings that may change while the process runs.
    void apply_settings(const edge_settings& changed);

private:
    [[nodiscard]] mesh_handlers make_mesh_handlers();
    [[nodiscard]] instance_report make_report(report_kind kind);
    void update_directory_options();
    [[nodiscard]] relay_choice choose_relay() const;
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_eligible(const reporting_peer& peer, time_point now) const;
    void handle_readiness(const std::shared_ptr<incoming_request>& request);
    void handle_addresses(const std::shared_ptr<incoming_request>& request);
    void handle_metrics(const std::shared_ptr<incoming_request>& request);
    void stop_accepting();
    void check_drained();
    [[nodiscard]] std::string metrics_text() const;

    loop& owner;
    edge_settings settings;
    header_names headers;
    store_client store;
    peer_info self;
    mesh network;
    report_exchange reports;
    instance_registry registry;
    policy_follower policy;
    target_directory directory;
    store_relay relay;
    edge_gateway gateway;
    evacuation_monitor evacuations;
    load_monitor load;
    http_server readiness;
    http_server addresses;
    http_server metrics;
    time_point started_at;
    time_point drain_started_at;
    bool draining{false};
    timer directory_options_timer;
    timer stop_accepting_timer;
    timer drain_check_timer;
};

} // namespace knapweedknot
