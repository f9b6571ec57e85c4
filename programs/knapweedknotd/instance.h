#pragma once

#include "control/admission_controller.h"
#include "control/config_follower.h"
#include "control/config_quorum.h"
#include "control/heartbeat_service.h"
#include "control/instance_list_poller.h"
#include "control/patch_committer.h"
#include "control/seat_manager.h"
#include "control/settings.h"
#include "entry/gateway.h"
#include "entry/operator_service.h"

/// \file
/// One instance: creates and connects its components and shuts them down gracefully.

namespace knapweedknot {

/// A running instance. Not thread safe.
class instance {
public:
    instance(loop& owner, const instance_settings& settings);

    /// Listens on all addresses and joins the fleet. Returns an error if it cannot listen on one of
    /// them.
    [[nodiscard]] result<void> start();
    /// Starts a graceful shutdown: callers are directed to other instances, running requests are
    /// completed, and then the loop is stopped.
    void drain();

private:
    void handle_message(const peer_info& from, const wire::messageT& message);
    [[nodiscard]] mesh_handlers make_mesh_handlers();
    void start_closing_connections();
    void check_drained();

    loop& owner;
    instance_settings settings;
    configuration config;
    store_client store;
    peer_info self;
    mesh network;
    config_follower follower;
    seat_manager seats;
    heartbeat_service heartbeats;
    config_quorum quorum;
    patch_committer committer;
    instance_list_poller list_poller;
    admission_controller admission;
    gateway caller_gateway;
    operator_service operators;
    bool draining{false};
    bool seats_released{false};
    time_point drain_started_at;
    timer close_timer;
    timer drain_check_timer;
};

} // namespace knapweedknot
