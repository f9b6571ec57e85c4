#include "instance.h"

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr double clock_drift = 0.01;
constexpr duration drain_look = milliseconds(50);
// A stop never waits longer than this for callers that do not go away.
constexpr duration drain_limit = seconds(60);
// Connections that did not use the last answer's "Connection: close" are idle for this long.
constexpr duration closing_grace = milliseconds(1000);

peer_info describe(const instance_settings& settings) {
    return {settings.instance,       incarnation_id{random_nonzero()},
            settings.failure_domain, settings.peers_address,
            settings.peers_listen,   settings.callers_address};
}

heartbeat_options make_loan_options(const instance_settings& settings) {
    heartbeat_options options;
    options.heartbeat_interval = settings.heartbeat_interval;
    options.times = {settings.quota_lease_duration, clock_drift};
    options.freshness.lifetime = settings.freshness;
    return options;
}

seat_manager_options make_seat_options(const instance_settings& settings) {
    seat_manager_options options;
    options.total_seats = settings.seats;
    options.store_lease_ttl = settings.seat_lease;
    options.quota_lease_timeout =
        from_seconds(to_seconds(settings.quota_lease_duration) * (1 + clock_drift)) +
        milliseconds(1);
    options.watch_wait = settings.store_watch;
    return options;
}

} // namespace

instance::instance(loop& event_loop, const instance_settings& given)
    : owner(event_loop), settings(given), store(event_loop, given.platform_address),
      self(describe(given)), network(event_loop, self, this->make_mesh_handlers()),
      follower(event_loop, store, config, given.store_watch),
      seats(event_loop, store, follower, self, make_seat_options(given)),
      loans(event_loop, network, seats, make_loan_options(given)),
      votes(event_loop, network, loans, follower, config),
      committer(event_loop, store, follower, config, votes),
      listing(event_loop, store, network, loans, seats), tokens(event_loop, network, loans, given),
      front(event_loop, settings, config, votes, tokens, loans, listing, network),
      operators(event_loop,
                {settings, config, follower, committer, votes, loans, seats, tokens, front, store,
                 network},
                [this] { this->drain(); }) {
    this->loans.own_config_number = [this] { return this->config.number(); };
    this->loans.own_confirmation = [this] { return this->votes.confirms(); };
    this->seats.on_peer_address = [this](const endpoint& address) {
        this->network.add_address(address, false);
    };
    this->seats.must_keep_seats = [this] { return this->votes.has_pending_announcements(); };
    this->follower.on_adopted = [this] { this->front.update_services(); };
}

mesh_handlers instance::make_mesh_handlers() {
    return {[this](const peer_info& from, const wire::messageT& message) {
                this->handle_message(from, message);
            },
            [this](const peer_info& from, const wire::heartbeat_fields& fields) {
                this->loans.handle_heartbeat(from, fields);
            },
            [this](const peer_info& peer) {
                this->loans.peer_connected(peer);
                this->votes.peer_connected(peer);
            },
            [this](const peer_info& peer) { this->loans.peer_disconnected(peer); }};
}

void instance::handle_message(const peer_info& from, const wire::messageT& message) {
    if (const auto* request = message.body.Astoken_request(); request != nullptr) {
        this->tokens.handle_request(from, *request,
                                    this->config.find_account(account_id{request->account}));
    } else if (const auto* reply = message.body.Astoken_reply(); reply != nullptr) {
        this->tokens.handle_reply(from, *reply);
    } else if (const auto* asked = message.body.Asprefix_request(); asked != nullptr) {
        this->front.prefixes().handle_request(from, *asked);
    } else if (const auto* issued = message.body.Asprefix_reply(); issued != nullptr) {
        this->front.prefixes().handle_reply(from, *issued);
    } else if (const auto* list = message.body.Aslisting(); list != nullptr) {
        this->listing.handle_listing(*list);
    } else {
        this->votes.handle(from, message);
    }
}

result<void> instance::start() {
    for (const endpoint& seed : this->settings.peer_seeds) {
        this->network.add_address(seed, true);
    }
    return this->network.listen()
        .and_then([this] { return this->front.listen(); })
        .and_then([this] { return this->operators.listen(); })
        .map([this] {
            this->follower.start();
            this->seats.start();
            this->loans.start();
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
    this->drain_started = boot_clock::now();
    log_event(log_level::info, "drain_started", {});
    this->loans.set_leaving();
    this->seats.leave([this] { this->seats_left = true; });
    // Answers of addresses that name this instance run out before callers are turned away.
    this->drain_step = this->owner.after(this->settings.address_lifetime + closing_grace,
                                         [this] { this->close_callers(); });
}

void instance::close_callers() {
    this->front.server().close_after_responses();
    this->drain_watch = this->owner.every(drain_look, [this] { this->check_drained(); });
}

void instance::check_drained() {
    const duration passed = boot_clock::now() - this->drain_started;
    const bool quiet = passed > this->settings.address_lifetime + 2 * closing_grace;
    if (quiet) {
        this->front.server().stop_listening();
        this->front.server().close_idle_connections();
    }
    const bool finished = quiet && this->front.server().running_requests() == 0 &&
                          !this->front.server().is_writing() && this->seats_left;
    if (finished || passed > drain_limit) {
        log_event(log_level::info, "drain_finished",
                  {{"running", std::to_string(this->front.server().running_requests())}});
        this->owner.stop();
    }
}

} // namespace knapweedknot
