#include "instance.h"

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr double max_clock_drift = 0.01;
constexpr duration drain_check_interval = milliseconds(50);
// A shutdown waits no longer than this for callers that keep their connections busy.
constexpr duration drain_timeout = seconds(60);
// Time for callers to act on "Connection: close" before their idle connections are closed.
constexpr duration connection_close_grace = milliseconds(1000);

peer_info make_peer_info(const instance_settings& settings) {
    return {settings.instance,       incarnation_id{random_nonzero()},
            settings.failure_domain, settings.peers_address,
            settings.peers_listen,   settings.callers_address};
}

heartbeat_options make_heartbeat_options(const instance_settings& settings) {
    heartbeat_options options;
    options.heartbeat_interval = settings.heartbeat_interval;
    options.times = {settings.quota_lease_duration, max_clock_drift};
    options.freshness.lifetime = settings.freshness;
    return options;
}

seat_manager_options make_seat_manager_options(const instance_settings& settings) {
    seat_manager_options options;
    options.total_seats = settings.seats;
    options.store_lease_ttl = settings.seat_lease;
    options.quota_lease_timeout =
        from_seconds(to_seconds(settings.quota_lease_duration) * (1 + max_clock_drift)) +
        milliseconds(1);
    options.watch_wait = settings.store_watch;
    return options;
}

} // namespace

instance::instance(loop& event_loop, const instance_settings& given)
    : owner(event_loop), settings(given), store(event_loop, given.platform_address),
      self(make_peer_info(given)), network(event_loop, self, this->make_mesh_handlers()),
      follower(event_loop, store, config, given.store_watch),
      seats(event_loop, store, follower, self, make_seat_manager_options(given)),
      heartbeats(event_loop, network, seats, make_heartbeat_options(given)),
      quorum(event_loop, network, heartbeats, follower, config),
      committer(event_loop, store, follower, config, quorum),
      list_poller(event_loop, store, network, heartbeats, seats),
      admission(event_loop, network, heartbeats, given),
      caller_gateway(event_loop, settings, config, quorum, admission, heartbeats, list_poller,
                     network),
      operators(event_loop,
                {settings, config, follower, committer, quorum, heartbeats, seats, admission,
                 caller_gateway, store, network},
                [this] { this->drain(); }) {
    this->heartbeats.own_config_number = [this] { return this->config.number(); };
    this->heartbeats.own_confirmation = [this] { return this->quorum.confirms(); };
    this->seats.on_peer_address = [this](const endpoint& address) {
        this->network.add_address(address, false);
    };
    this->seats.must_keep_seats = [this] { return this->quorum.has_pending_announcements(); };
    this->follower.on_adopted = [this] { this->caller_gateway.update_services(); };
}

mesh_handlers instance::make_mesh_handlers() {
    return {[this](const peer_info& from, const wire::messageT& message) {
                this->handle_message(from, message);
            },
            [this](const peer_info& from, const wire::heartbeat_fields& fields) {
                this->heartbeats.handle_heartbeat(from, fields);
            },
            [this](const peer_info& peer) {
                this->heartbeats.peer_connected(peer);
                this->quorum.peer_connected(peer);
            },
            [this](const peer_info& peer) { this->heartbeats.peer_disconnected(peer); }};
}

void instance::handle_message(const peer_info& from, const wire::messageT& message) {
    if (const auto* request = message.body.Astoken_request(); request != nullptr) {
        this->admission.handle_request(from, *request,
                                       this->config.find_account(account_id{request->account}));
    } else if (const auto* reply = message.body.Astoken_reply(); reply != nullptr) {
        this->admission.handle_reply(from, *reply);
    } else if (const auto* prefix_request = message.body.Asprefix_request();
               prefix_request != nullptr) {
        this->caller_gateway.prefixes().handle_request(from, *prefix_request);
    } else if (const auto* prefix_reply = message.body.Asprefix_reply(); prefix_reply != nullptr) {
        this->caller_gateway.prefixes().handle_reply(from, *prefix_reply);
    } else if (const auto* list = message.body.Aslisting(); list != nullptr) {
        this->list_poller.handle_listing(*list);
    } else {
        this->quorum.handle(from, message);
    }
}

result<void> instance::start() {
    for (const endpoint& seed : this->settings.peer_seeds) {
        this->network.add_address(seed, true);
    }
    return this->network.listen()
        .and_then([this] { return this->caller_gateway.listen(); })
        .and_then([this] { return this->operators.listen(); })
        .map([this] {
            this->follower.start();
            this->seats.start();
            this->heartbeats.start();
            log_event(log_level::info, "instance_started",
                      {{"instance", this->settings.instance.value},
                       {"incarnation", std::to_string(this->self.incarnation.value)},
                       {"callers", to_string(this->settings.callers_address)}});
        });
}

void instance::drain() {
    if (this->draining) {
        return;
    }
    this->draining = true;
    this->drain_started_at = boot_clock::now();
    log_event(log_level::info, "drain_started", {});
    this->heartbeats.set_leaving();
    this->seats.leave([this] { this->seats_released = true; });
    // Address responses that list this instance expire before its connections are closed.
    this->close_timer = this->owner.after(this->settings.address_lifetime + connection_close_grace,
                                          [this] { this->start_closing_connections(); });
}

void instance::start_closing_connections() {
    this->caller_gateway.server().close_after_responses();
    this->drain_check_timer =
        this->owner.every(drain_check_interval, [this] { this->check_drained(); });
}

void instance::check_drained() {
    const duration passed = boot_clock::now() - this->drain_started_at;
    const bool grace_expired =
        passed > this->settings.address_lifetime + 2 * connection_close_grace;
    if (grace_expired) {
        this->caller_gateway.server().stop_listening();
        this->caller_gateway.server().close_idle_connections();
    }
    const bool finished =
        grace_expired && this->caller_gateway.server().is_settled() && this->seats_released;
    if (finished || passed > drain_timeout) {
        log_event(log_level::info, "drain_finished",
                  {{"running", std::to_string(this->caller_gateway.server().running_requests())}});
        this->owner.stop();
    }
}

} // namespace knapweedknot
