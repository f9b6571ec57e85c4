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
/// One instance: all parts, wired together, and its graceful stop.

namespace knapweedknot {

/// A running instance. Not thread safe.
class instance {
public:
    instance(loop& owner, const instance_settings& settings);

    /// Starts to listen and to take part in the fleet. The error says why not.
    [[nodiscard]] result<void> start();
    /// Starts a graceful stop: callers are sent elsewhere, what runs is finished, and the loop is
    /// stopped at the end.
    void drain();

private:
    void handle_message(const peer_info& from, const wire::messageT& message);
    [[nodiscard]] mesh_handlers make_mesh_handlers();
    void close_callers();
    void check_drained();

    loop& owner;
    instance_settings settings;
    configuration config;
    store_client store;
    peer_info self;
    mesh network;
    config_follower follower;
    seat_manager seats;
    heartbeat_service loans;
    config_quorum votes;
    patch_committer committer;
    instance_list_poller listing;
    admission_controller tokens;
    gateway front;
    operator_service operators;
    bool draining{false};
    bool seats_left{false};
    time_point drain_started;
    timer drain_step;
    timer drain_watch;
};

} // namespace knapweedknot
