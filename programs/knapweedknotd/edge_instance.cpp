#include "edge_instance.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "decide/instance_choice.h"
#include "entry/responses.h"
#include "platform/edge_protocol.h"
#include "platform/store_documents.h"

namespace knapweedknot {

namespace {

// Lifetime that an address response states to callers.
constexpr duration address_response_lifetime = milliseconds(1000);
// Callers may use an address response for up to this many lifetimes.
constexpr int max_address_response_reuse = 3;
constexpr duration directory_options_interval = seconds(1);
constexpr duration first_watch_delay = milliseconds(1500);
constexpr duration drain_check_interval = milliseconds(50);
// Requests still without a response after this share of the stop grace are failed, so that the
// responses queued behind them on their connections are delivered.
constexpr double request_grace_share = 5.0 / 6;
// The process exits this long before the platform would kill it.
constexpr duration exit_margin = milliseconds(400);
// Share of the link bandwidth that full reports on the targets may use.
constexpr double report_link_share = 0.05;
constexpr duration cross_domain_full_interval = milliseconds(1000);
// Part of the key withdrawal bound that is reserved for the time a request takes to arrive.
constexpr duration confirmation_margin = milliseconds(400);

policy_follower_options make_policy_options(const fleet_bounds& bounds) {
    policy_follower_options options;
    options.confirmation_lifetime =
        std::max<duration>(bounds.key_withdrawal - confirmation_margin, bounds.key_withdrawal / 2);
    options.confirmation_interval = options.confirmation_lifetime / 3;
    options.idle_confirmation_interval = options.confirmation_lifetime * 7 / 10;
    if (bounds.evacuation_apply) {
        const duration longest = *bounds.evacuation_apply / 2;
        options.confirmation_interval = std::min(options.confirmation_interval, longest);
        options.idle_confirmation_interval = std::min(options.idle_confirmation_interval, longest);
    }
    return options;
}

/// Options of the target directory. An instance that serves no requests batches more changes per
/// store call and detects a lost watch later.
target_directory_options make_directory_options(bool is_serving, const fleet_bounds& bounds) {
    target_directory_options options;
    options.vanished_grace = bounds.target_drain * 3 / 4;
    options.batch_window = is_serving ? milliseconds(300) : bounds.target_drain / 2;
    options.watch_wait = is_serving ? seconds(4) : seconds(18);
    return options;
}

/// The first watch waits until the instance has found others to ask.
target_directory_options make_initial_directory_options(const fleet_bounds& bounds) {
    target_directory_options options = make_directory_options(false, bounds);
    options.first_watch_delay = first_watch_delay;
    return options;
}

report_options make_report_options(const edge_settings& settings) {
    report_options options;
    options.full_report_bytes_per_s = settings.machine.link_bytes_per_s * report_link_share;
    if (settings.locality == locality_mode::overflow) {
        // Instances send few requests to targets of other failure domains.
        options.cross_domain_full_interval = cross_domain_full_interval;
        options.introduce_targets = true;
    }
    return options;
}

peer_info make_peer_info(const edge_settings& settings) {
    peer_info self;
    self.instance = settings.instance;
    self.incarnation.value = random_nonzero();
    self.failure_domain = settings.failure_domain;
    self.peers_address = settings.peers_address;
    self.peers_listen = settings.peers_address;
    self.callers_address = settings.callers_address;
    self.capacity = capacity_of(settings.machine.cores, settings.machine.link_bytes_per_s);
    return self;
}

std::unique_ptr<memory_gate> make_memory_gate(loop& owner, const machine_resources& machine) {
    return machine.memory_bytes
               ? std::make_unique<memory_gate>(owner, memory_limits_for(*machine.memory_bytes))
               : nullptr;
}

/// Limits of a listener for readiness, addresses or metrics: it keeps a part of the descriptors of
/// its own, so that callers and other listeners cannot take them.
http_server_limits make_control_limits(const machine_resources& machine) {
    constexpr std::size_t min_connections = 8;
    constexpr std::size_t part = 32;
    http_server_limits limits;
    if (machine.descriptors) {
        limits.max_connections = std::max(min_connections, *machine.descriptors / part);
    }
    return limits;
}

/// Content type of the responses to operators and to the platform.
constexpr const char* plain_text_type = "text/plain";

} // namespace

edge_instance::edge_instance(loop& event_loop, const edge_settings& given)
    : owner(event_loop), settings(given), memory(make_memory_gate(event_loop, given.machine)),
      headers(platform::make_header_names()), store(event_loop, given.store_address),
      self(make_peer_info(given)), network(event_loop, self, this->make_mesh_handlers()),
      reports(event_loop, network, make_report_options(given)),
      registry(event_loop, store, network),
      policy(event_loop, store, std::string(platform::policy_key), &platform::decode_policy,
             make_policy_options(given.bounds)),
      directory(event_loop, store, std::string(platform::targets_prefix), &platform::decode_target,
                make_initial_directory_options(given.bounds)),
      relay({event_loop, network, policy, directory},
            make_store_relay_options(policy_confirmation_bound(given.bounds),
                                     given.bounds.target_drain)),
      gateway({event_loop, settings, headers, policy, directory, reports, memory.get()}),
      evacuations({event_loop, policy, directory}),
      load({event_loop, network, reports, store, policy, directory, relay, gateway}),
      readiness(event_loop, make_control_limits(given.machine),
                [this](const auto& request) { this->handle_readiness(request); }),
      addresses(event_loop, make_control_limits(given.machine),
                [this](const auto& request) { this->handle_addresses(request); }),
      metrics(event_loop, make_control_limits(given.machine),
              [this](const auto& request) { this->handle_metrics(request); }),
      started_at(boot_clock::now()) {
    this->policy.on_adopted = [this] { this->gateway.apply_policy(); };
    this->policy.on_malformed_order = [this](const evacuation_order& order) {
        this->evacuations.record_malformed(order);
    };
    this->policy.on_orders_changed = [this](const auto& /*unused*/) {
        this->gateway.update_evacuations();
    };
    if (given.bounds.evacuation_apply) {
        this->policy.follow_orders(
            {std::string(platform::operator_prefix), &platform::split_operator_items});
    }
    this->directory.on_changed = [this](const service_id& service) {
        this->gateway.update_targets(service);
    };
    this->reports.make_report = [this](report_kind kind) { return this->make_report(kind); };
    this->reports.on_report = [this](const reporting_peer& peer, const instance_report* before) {
        this->policy.note_peer_policy_number(peer.report->policy_number);
        this->directory.note_peer_change(peer.report->last_target_change);
        this->gateway.handle_report(peer, before);
    };
    this->relay.choose = [this] { return this->choose_relay(); };
    this->relay.is_serving = [this] { return this->gateway.is_serving(boot_clock::now()); };
    this->reports.on_peer_lost = [this](const reporting_peer& peer) {
        this->relay.peer_lost(peer.info.incarnation);
        this->gateway.handle_peer_lost(peer);
    };
}

mesh_handlers edge_instance::make_mesh_handlers() {
    return {[this](const peer_info& from, const wire::messageT& message) {
                if (const auto* report = message.body.Asreport(); report != nullptr) {
                    this->reports.handle(from, *report);
                } else if (const auto* request = message.body.Asstore_request();
                           request != nullptr) {
                    this->relay.handle(from, *request);
                } else if (const auto* reply = message.body.Asstore_reply(); reply != nullptr) {
                    this->relay.handle(from, *reply);
                }
            },
            [](const peer_info& /*unused*/, const wire::heartbeat_fields& /*unused*/) {},
            [this](const peer_info& peer) { this->reports.peer_connected(peer); },
            [this](const peer_info& peer) { this->reports.peer_disconnected(peer); }};
}

result<void> edge_instance::start() {
    const auto listen_for_addresses = [this]() -> result<void> {
        return this->settings.directory_address
                   ? this->addresses.listen(*this->settings.directory_address)
                   : result<void>();
    };
    return this->network.listen()
        .and_then([this] { return this->gateway.listen(); })
        .and_then([this] { return this->readiness.listen(this->settings.readiness_address); })
        .and_then([this] { return this->metrics.listen(this->settings.metrics_address); })
        .and_then(listen_for_addresses)
        .map([this] {
            this->relay.start();
            this->policy.start();
            this->directory.start();
            this->registry.start();
            this->reports.start();
            this->evacuations.start();
            this->directory_options_timer = this->owner.every(
                directory_options_interval, [this] { this->update_directory_options(); });
            log_event(log_level::info, "instance_started",
                      {{"instance", this->settings.instance.value},
                       {"incarnation", std::to_string(this->self.incarnation.value)},
                       {"callers", to_string(this->settings.callers_address)},
                       {"metrics", to_string(this->settings.metrics_address)},
                       {"store", to_string(this->settings.store_address)}});
        });
}

/// Whether this instance can serve callers as well as any other: it is not draining, has adopted a
/// policy and has loaded the target directory.
bool edge_instance::is_ready() const {
    return !this->draining && this->policy.current() != nullptr && this->directory.is_loaded();
}

void edge_instance::update_directory_options() {
    const bool is_serving = this->gateway.is_serving(boot_clock::now());
    this->directory.set_options(make_directory_options(is_serving, this->settings.bounds));
}

relay_choice edge_instance::choose_relay() const {
    const time_point now = boot_clock::now();
    std::vector<relay_candidate> others;
    for (const auto& [incarnation, peer] : this->reports.peers()) {
        if (this->reports.is_live(peer, now)) {
            others.push_back({incarnation, peer.info.instance, peer.info.failure_domain,
                              peer.info.capacity, peer.report->can_relay});
        }
    }
    const relay_candidate own{this->self.incarnation, this->self.instance,
                              this->self.failure_domain, this->self.capacity,
                              !this->draining && this->relay.can_relay()};
    return choose_relays(std::move(others), own);
}

instance_report edge_instance::make_report(report_kind kind) {
    const time_point now = boot_clock::now();
    instance_report report;
    report.has_targets = kind == report_kind::full;
    report.ready = this->is_ready();
    report.store_reachable = this->policy.is_store_reachable();
    report.can_relay = !this->draining && this->relay.can_relay();
    report.uptime = now - this->started_at;
    report.policy_number =
        this->policy.current() == nullptr ? config_number{} : this->policy.current()->number();
    report.last_target_change = this->directory.last_change();
    this->gateway.add_to_report(report, kind, now);
    return report;
}

bool edge_instance::is_eligible(const reporting_peer& peer, time_point now) const {
    return this->reports.is_live(peer, now) && peer.report->ready &&
           (peer.report->store_reachable || !this->policy.is_store_reachable());
}

void edge_instance::handle_readiness(const std::shared_ptr<incoming_request>& request) {
    if (request->path() != platform::readiness_path) {
        send_text_response(*request, 404, "no such call\n", plain_text_type);
        return;
    }
    const bool ready = this->is_ready();
    send_text_response(*request, ready ? 200 : 503, ready ? "ready\n" : "not ready\n",
                       plain_text_type);
}

void edge_instance::handle_addresses(const std::shared_ptr<incoming_request>& request) {
    if (request->path() != platform::resolve_path) {
        send_text_response(*request, 404, "no such call\n", plain_text_type);
        return;
    }
    const time_point now = boot_clock::now();
    std::vector<instance_candidate> candidates;
    candidates.push_back({this->self.instance, this->self.failure_domain,
                          this->self.callers_address, this->is_ready(), now - this->started_at,
                          this->gateway.request_rate_at(now), this->self.capacity});
    for (const auto& [incarnation, peer] : this->reports.peers()) {
        const bool eligible = this->is_eligible(peer, now);
        candidates.push_back({peer.info.instance, peer.info.failure_domain,
                              peer.info.callers_address, eligible,
                              eligible ? peer.report->uptime : duration::zero(),
                              eligible ? peer.report->request_rate : 0, peer.info.capacity});
    }
    const failure_domain_id from = platform::requester_failure_domain(request->query());
    std::vector<endpoint> endpoints;
    for (const instance_candidate& chosen :
         choose_instances(std::move(candidates), from, instance_choice_policy{})) {
        endpoints.push_back(chosen.callers_address);
    }
    if (endpoints.empty()) {
        send_text_response(*request, 503, "no instance is ready\n", plain_text_type);
        return;
    }
    ++this->gateway.request_metrics().address_answers;
    request->respond(platform::make_address_response(
        endpoints, std::min(address_response_lifetime, this->settings.bounds.address_lifetime)));
}

void edge_instance::handle_metrics(const std::shared_ptr<incoming_request>& request) {
    send_text_response(*request, 200, this->metrics_text(), plain_text_type);
}

std::string edge_instance::metrics_text() const {
    std::string text = this->gateway.metrics_text();
    for (const auto& [kind, count] : this->store.calls_by_kind()) {
        const std::string label = "call=\"" + kind + '"';
        write_metric(text, "store_calls_total", label, static_cast<double>(count.sent));
        write_metric(text, "store_calls_failed_total", label, static_cast<double>(count.failed));
    }
    this->load.write_metrics(text);
    write_metric(text, "policy_entries_unreadable", "",
                 static_cast<double>(this->policy.unreadable_entries()));
    this->evacuations.write_metrics(text);
    write_metric(text, "ready", "", this->is_ready() ? 1 : 0);
    // The longest part comes last: a collector may keep the first lines only.
    return text + histograms_to_text(this->gateway.request_metrics());
}

void edge_instance::apply_settings(const edge_settings& changed) {
    this->settings.bounds = changed.bounds;
    this->policy.set_options(make_policy_options(changed.bounds));
    this->relay.set_options(make_store_relay_options(policy_confirmation_bound(changed.bounds),
                                                     changed.bounds.target_drain));
    this->gateway.apply_bounds();
    log_event(log_level::info, "settings_reloaded", {});
}

void edge_instance::drain() {
    if (this->draining) {
        return;
    }
    this->draining = true;
    this->drain_started_at = boot_clock::now();
    log_event(log_level::info, "drain_started",
              {{"running", std::to_string(this->gateway.server().running_requests())}});
    this->reports.send_to_all();
    this->registry.deregister();
    // Callers with a cached address response still connect; "Connection: close" makes them
    // reconnect to another instance.
    this->gateway.server().close_after_responses();
    const duration accepting_time =
        std::min<duration>(address_response_lifetime * max_address_response_reuse,
                           this->settings.bounds.stop_grace / 2);
    this->stop_accepting_timer =
        this->owner.after(accepting_time, [this] { this->stop_accepting(); });
}

void edge_instance::stop_accepting() {
    this->gateway.stop_accepting();
    this->drain_check_timer =
        this->owner.every(drain_check_interval, [this] { this->check_drained(); });
}

void edge_instance::check_drained() {
    const duration passed = boot_clock::now() - this->drain_started_at;
    http_server& callers = this->gateway.server();
    callers.close_idle_connections();
    if (passed > from_seconds(to_seconds(this->settings.bounds.stop_grace) * request_grace_share) +
                     drain_check_interval) {
        this->gateway.fail_all();
    }
    const bool finished = callers.is_settled();
    if (finished || passed > this->settings.bounds.stop_grace - exit_margin) {
        log_event(log_level::info, "drain_finished",
                  {{"running", std::to_string(callers.running_requests())}});
        this->owner.stop();
    }
}

} // namespace knapweedknot
