#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event/http_server.h"
#include "fleet/instance_registry.h"
#include "fleet/policy_follower.h"
#include "fleet/report_exchange.h"
#include "fleet/target_directory.h"
#include "peers/mesh.h"
#include "platform/store_client.h"
#include "proxy/edge_gateway.h"
#include "proxy/edge_settings.h"

#include "load_log.h"

/// \file
/// An instance on the users' platform: all parts of one process and their connections.

namespace knapweedknot {

/// Runs an edge. Not thread safe; lives on the thread of its loop.
class edge_instance {
public:
    edge_instance(loop& owner, const edge_settings& settings);

    /// Listens and begins to follow the store. The error says why not.
    [[nodiscard]] result<void> start();
    /// Stops in order: callers are told to go elsewhere, and what runs is finished.
    void drain();
    /// Takes the settings that may change while the process runs.
    void change_settings(const edge_settings& changed);

private:
    [[nodiscard]] mesh_handlers make_mesh_handlers();
    [[nodiscard]] instance_report make_report(report_kind kind);
    void adjust_pace();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool may_be_named(const reporting_peer& peer, time_point now) const;
    void handle_readiness(const std::shared_ptr<incoming_request>& request);
    void handle_directory(const std::shared_ptr<incoming_request>& request);
    void handle_metrics(const std::shared_ptr<incoming_request>& request);
    void close_callers();
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
    edge_gateway gateway;
    load_log load;
    http_server readiness;
    http_server addresses;
    http_server metrics;
    time_point started;
    time_point drain_started;
    bool draining{false};
    timer pace_watch;
    timer drain_step;
    timer drain_watch;
};

} // namespace knapweedknot
