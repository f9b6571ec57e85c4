#pragma once

#include "control/acceptance.h"
#include "control/config_follower.h"
#include "control/list_watcher.h"
#include "control/loan_keeper.h"
#include "control/patch_committer.h"
#include "control/seat_keeper.h"
#include "control/settings.h"
#include "control/token_client.h"
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
    seat_keeper seats;
    loan_keeper loans;
    acceptance votes;
    patch_committer committer;
    list_watcher listing;
    token_client tokens;
    gateway front;
    operator_service operators;
    bool draining{false};
    bool seats_left{false};
    time_point drain_started;
    timer drain_step;
    timer drain_watch;
};

} // namespace knapweedknot
