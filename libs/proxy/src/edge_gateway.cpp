#include "proxy/edge_gateway.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "event/uri.h"

namespace knapweedknot {

namespace {

// Request rate in requests per second from which an instance counts as serving. Below it there is
// too little usage to report to peers at the short interval.
constexpr double serving_rate = 3;
constexpr duration rate_window = seconds(2);
// Request rate from which an instance may send requests to targets in warm-up if none serves. One
// request keeps it above this for 4 s.
constexpr double light_rate = 0.05;
// An instance still counts as serving for this long after its rate has dropped.
constexpr duration serving_hold_time = seconds(4);
// All admissions of a process up to this age are recent.
constexpr duration new_process_time = seconds(5);
// An ejected target that answers again is sound after about this time, and then needs requests.
constexpr duration early_trial_delay = seconds(2);
constexpr duration max_token_wait = milliseconds(700);
// Part of the bound on applying a policy that is reserved for reading it.
constexpr duration policy_margin = milliseconds(150);
// Part of the bound on using a target that is leaving that is reserved for reaching the target.
constexpr duration target_connect_share = milliseconds(500);
// A store that takes longer to confirm the policy is impaired; requests do not wait for it then.
constexpr duration max_preferred_confirmation_wait = milliseconds(500);
// Retry delay sent to callers while the instance has no policy or cannot confirm it.
constexpr duration unready_retry_after = milliseconds(500);
// Retry delay sent to callers that were rejected for want of memory or connections: until then
// stalled callers were given up.
constexpr duration pressure_retry_after = seconds(2);

// Callers get three fifths of the descriptors. The rest is for targets, peers, the store, the
// control listeners and refused connections.
constexpr std::size_t caller_descriptors_percent = 60;
constexpr std::size_t percent = 100;

retry_policy make_retry_policy(const fleet_bounds& bounds) {
    retry_policy policy;
    policy.share = bounds.resend_share;
    policy.allowance = bounds.resend_allowance;
    policy.window = bounds.resend_window;
    return policy;
}

/// Longest time that a request may wait for its account's next token. A short wait is better for
/// the caller than a refusal; a long one would use up the time that the target needs.
duration token_wait_limit(const traffic_route& route) {
    constexpr int parts_of_latency_target = 4;
    return std::min<duration>(max_token_wait, route.latency_target / parts_of_latency_target);
}

void log_lost_response(const connection_end& end, const std::string& id, std::string_view state) {
    const bool caller_has_left = end.reason == connection_end_reason::caller_closed;
    log_event(caller_has_left ? log_level::info : log_level::warning, "response_lost",
              {{"id", id},
               {"state", std::string(state)},
               {"reason", std::string(to_string(end.reason))},
               {"manner", std::string(to_string(end.manner))},
               {"unsent_bytes", std::to_string(end.unsent_bytes)},
               {"unacknowledged_bytes", std::to_string(end.unacknowledged_bytes)},
               {"unread_bytes", std::to_string(end.unread_bytes)}});
}

/// How many requests an instance gets, by its report or its own counts.
instance_activity activity_of(bool is_serving, double request_rate) {
    if (is_serving) {
        return instance_activity::serving;
    }
    return request_rate >= light_rate ? instance_activity::light : instance_activity::idle;
}

/// Formats \p value with two decimal places.
std::string format_decimal(double value) {
    constexpr std::size_t longest = 32;
    std::string text(longest, '\0');
    const int size = std::snprintf(text.data(), text.size(), "%.2f", value);
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// Appends the refused requests of a service by their reason.
void write_refusals(std::string& text, const std::string& label, const balancer_counts& counts) {
    const auto write = [&](const char* reason, std::uint64_t count) {
        write_metric(text, "requests_refused_total", label + ",reason=\"" + reason + '"',
                     static_cast<double>(count));
    };
    write("not_in_time", counts.refused_not_in_time);
    write("dropped_from_queue", counts.dropped_from_queue);
    write("no_target", counts.refused_no_target);
}

} // namespace

edge_gateway::edge_gateway(const dependencies& given)
    : owner(given.owner), settings(given.settings), headers(given.headers), policy(given.policy),
      directory(given.directory), reports(given.reports),
      retries(make_retry_policy(given.settings.bounds)),
      accounts(shared_bucket_times{}, boot_clock::now()), memory(given.memory),
      started(boot_clock::now()),
      caller_server(given.owner, this->make_server_limits(request_limits{}),
                    [this](const request_ptr& incoming) { this->handle(incoming); }) {
    if (this->memory != nullptr) {
        this->caller_server.set_memory_gate(*this->memory);
    }
    this->caller_server.make_error_response = [this](const error& problem) {
        ++this->metrics.requests[std::string(answer_for(problem.kind).name)];
        const bool is_pressure = problem.kind == error_kind::overloaded;
        return this->make_refusal(problem, execution::not_run,
                                  is_pressure ? std::optional(pressure_retry_after) : std::nullopt);
    };
    this->caller_server.may_run_concurrently = [this](const http_request& request) {
        return this->may_overlap(request);
    };
    this->instances.self = this->settings.instance;
    this->instances.started = this->started;
    this->caller_server.id_header = this->headers.request_id;
    this->caller_server.on_connection_end = [this](const connection_end& end) {
        this->record_connection_end(end);
    };
}

result<void> edge_gateway::listen() {
    return this->caller_server.listen(this->settings.callers_address);
}

bool edge_gateway::is_serving(time_point now) const noexcept {
    return this->last_serving && now - *this->last_serving < serving_hold_time;
}

double edge_gateway::request_rate_at(time_point now) const {
    const double passed = to_seconds(now - this->rate_updated_at);
    return this->request_rate * std::exp(-passed / to_seconds(rate_window));
}

void edge_gateway::record_request(time_point now) {
    this->request_rate = this->request_rate_at(now) + 1 / to_seconds(rate_window);
    this->rate_updated_at = now;
    if (this->request_rate >= serving_rate) {
        this->last_serving = now;
    }
}

/// Counts the end of a caller's connection, and logs the requests that have no complete response.
void edge_gateway::record_connection_end(const connection_end& end) {
    this->connection_ends.record(end);
    for (const std::string& id : end.unanswered) {
        log_lost_response(end, id, "unanswered");
    }
    for (const std::string& id : end.undelivered) {
        log_lost_response(end, id, "undelivered");
    }
}

void edge_gateway::write_connection_metrics(std::string& text) const {
    write_metric(text, "caller_connections_total", "",
                 static_cast<double>(this->caller_server.accepted_connections()));
    for (const connection_end_reason reason : connection_end_reasons) {
        for (const connection_end_manner manner : connection_end_manners) {
            const std::uint64_t count = this->connection_ends.of(reason, manner);
            if (count > 0) {
                write_metric(text, "caller_connections_ended_total",
                             "reason=\"" + std::string(to_string(reason)) + "\",manner=\"" +
                                 std::string(to_string(manner)) + '"',
                             static_cast<double>(count));
            }
        }
    }
}

void edge_gateway::write_pressure_metrics(std::string& text) const {
    const machine_resources& machine = this->settings.machine;
    if (!machine.memory_bytes && !machine.descriptors) {
        return;
    }
    for (const pressure_decision decision : pressure_decisions) {
        const std::uint64_t held_up =
            this->memory == nullptr ? 0 : this->memory->counts().of(decision);
        write_metric(text, "pressure_decisions_total",
                     "decision=\"" + std::string(to_string(decision)) + '"',
                     static_cast<double>(held_up + this->caller_server.pressure().of(decision)));
    }
    write_metric(text, "caller_connections_open", "",
                 static_cast<double>(this->caller_server.open_connections()));
    if (this->memory == nullptr) {
        return;
    }
    const memory_account& account = this->memory->account();
    for (const memory_use use : memory_uses) {
        write_metric(text, "held_bytes", "use=\"" + std::string(to_string(use)) + '"',
                     static_cast<double>(account.held(use)));
    }
    write_metric(text, "held_bytes_limit", "", static_cast<double>(account.budget().total));
    write_metric(text, "connections_waiting_for_memory", "",
                 static_cast<double>(this->memory->waiting()));
}

http_server_limits edge_gateway::make_server_limits(const request_limits& limits) const {
    http_server_limits taken;
    taken.max_header_bytes = limits.max_header_bytes;
    taken.max_body_bytes = limits.max_body_bytes;
    taken.header_timeout = limits.header_timeout;
    taken.idle_timeout = limits.idle_timeout;
    taken.min_body_bytes = this->settings.callers.min_body_bytes_per_10s;
    if (const auto descriptors = this->settings.machine.descriptors; descriptors) {
        taken.max_connections = *descriptors * caller_descriptors_percent / percent;
    }
    return taken;
}

void edge_gateway::apply_policy() {
    this->caller_server.set_limits(this->make_server_limits(this->policy.current()->limits()));
    this->apply_warm_up_limits();
}

void edge_gateway::apply_bounds() {
    if (this->policy.current() != nullptr) {
        this->apply_warm_up_limits();
    }
}

warm_up_limits edge_gateway::warm_up_limits_of(const service_id& service) const {
    const fleet_bounds& bounds = this->settings.bounds;
    warm_up_limits limits{0, bounds.warm_up_overshoot, bounds.warm_up_slack};
    if (this->policy.current() == nullptr) {
        return limits;
    }
    const auto& services = this->policy.current()->services();
    if (const auto found = services.find(service); found != services.end()) {
        limits.rate_per_s = found->second.warm_up_rate_per_s;
    }
    return limits;
}

void edge_gateway::apply_warm_up_limits() {
    const auto& services = this->policy.current()->services();
    this->limits_warm_ups = std::any_of(services.begin(), services.end(), [](const auto& item) {
        return item.second.warm_up_rate_per_s > 0;
    });
    for (const auto& [service, balanced] : this->balancers) {
        balanced->pool().set_warm_up_limits(this->warm_up_limits_of(service));
    }
}

void edge_gateway::observe_instances(time_point now) {
    if (!this->limits_warm_ups) {
        return;
    }
    observe_self(this->instances, activity_of(this->is_serving(now), this->request_rate_at(now)),
                 now);
    this->instances.reached = this->reports.peers().size();
    this->instances.unreached = this->reports.unreached_count();
    for (const auto& [incarnation, peer] : this->reports.peers()) {
        if (!peer.report) {
            continue;
        }
        const instance_activity activity =
            activity_of(peer.report->serving, peer.report->request_rate);
        if (this->reports.is_live(peer, now)) {
            observe_live(this->instances, peer.info.instance, activity, now);
        } else if (activity != instance_activity::idle) {
            observe_missing(this->instances, peer.info.instance, peer.last_heard,
                            now + lost_instance_policy{}.silence_timeout, now);
        }
    }
    for (const auto& [service, balanced] : this->balancers) {
        balanced->pool().log_warm_ups(now);
    }
}

void edge_gateway::update_targets(const service_id& service) {
    if (const auto found = this->balancers.find(service); found != this->balancers.end()) {
        found->second->update_targets();
    }
}

void edge_gateway::update_evacuations() {
    for (const auto& [service, balanced] : this->balancers) {
        balanced->update_evacuations();
    }
}

void edge_gateway::stop_accepting() {
    this->accepts_requests = false;
    this->caller_server.stop_listening();
}

void edge_gateway::fail_all() {
    for (const auto& [service, balanced] : this->balancers) {
        balanced->fail_all();
    }
}

/// Only idempotent requests may overlap on a connection, since callers resend them when it is
/// closed.
bool edge_gateway::may_overlap(const http_request& request) const {
    if (this->policy.current() == nullptr) {
        return false;
    }
    const std::string* host = find_header(request.headers, "Host");
    const auto route = this->policy.current()->find_route(
        host == nullptr ? std::string_view() : host_without_port(*host), path_of(request.uri));
    return route != nullptr && route->idempotent;
}

void edge_gateway::handle(const request_ptr& incoming) {
    this->record_request(boot_clock::now());
    if (!this->accepts_requests) {
        this->refuse(incoming, {error_kind::stopping, "the instance is stopping"},
                     duration::zero());
        return;
    }
    if (this->policy.current() == nullptr || !this->directory.is_loaded()) {
        this->refuse(incoming, {error_kind::configuration_stale, "no policy is known yet"},
                     unready_retry_after);
        return;
    }
    this->route_and_admit(incoming, false);
}

/// A confirmation is required where a withdrawn key must not be accepted, and where a newer policy
/// may allow what this one refuses. Once the policy is older than the time in which a newer one has
/// to be in force, it is required if another instance has a newer one, and preferred otherwise: a
/// watch of the store can be lost without a sign.
edge_gateway::confirmation_need
edge_gateway::needed_confirmation(const result<matched_request>& matched, time_point now) const {
    const bool uses_key = matched && matched->account != nullptr;
    const bool must_be_fresh = !matched || (uses_key && this->settings.bounds.strict_withdrawal);
    const auto age = this->policy.confirmation_age(now);
    const bool may_be_outdated =
        !age || *age > policy_confirmation_bound(this->settings.bounds) - policy_margin;
    if ((must_be_fresh && !this->policy.is_fresh(now)) ||
        (may_be_outdated && this->policy.is_superseded())) {
        return confirmation_need::required;
    }
    return may_be_outdated && this->policy.is_store_reachable() ? confirmation_need::preferred
                                                                : confirmation_need::none;
}

void edge_gateway::await_confirmation(const request_ptr& incoming, confirmation_need need) {
    const auto proceed = [this, incoming] { this->route_and_admit(incoming, true); };
    if (need == confirmation_need::required) {
        this->policy.await_confirmation([incoming, proceed] {
            if (!incoming->is_finished()) {
                proceed();
            }
        });
        return;
    }
    const std::uint64_t id =
        this->continue_after(incoming, max_preferred_confirmation_wait, proceed);
    this->policy.await_confirmation([this, incoming, proceed, id] {
        const bool is_waiting = this->waiting_requests.erase(id) > 0;
        if (is_waiting && !incoming->is_finished()) {
            proceed();
        }
    });
}

void edge_gateway::route_and_admit(const request_ptr& incoming, bool confirmation_awaited) {
    const time_point now = boot_clock::now();
    const auto matched = match_request(*incoming, *this->policy.current(), this->headers);
    const confirmation_need need = this->needed_confirmation(matched, now);
    // While the store is known to be unreachable, requests do not wait for a confirmation.
    const bool is_store_down = !this->policy.is_store_reachable();
    if (need == confirmation_need::required && (confirmation_awaited || is_store_down)) {
        this->refuse(incoming, {error_kind::configuration_stale, "the policy cannot be confirmed"},
                     unready_retry_after);
        this->policy.confirm_if_due(now, true);
        return;
    }
    if (need != confirmation_need::none && !confirmation_awaited) {
        this->await_confirmation(incoming, need);
        return;
    }
    this->policy.confirm_if_due(now, this->is_serving(now));
    if (!matched) {
        this->refuse(incoming, matched.error(), std::nullopt);
        return;
    }
    this->admit(incoming, *matched);
}

void edge_gateway::admit(const request_ptr& incoming, const matched_request& matched) {
    if (matched.account == nullptr) {
        this->start(incoming, matched);
        return;
    }
    const time_point now = boot_clock::now();
    const serving_peer_counts peers = this->reports.count_serving(now);
    const account_rate_limiter::peer_summary view{
        refill_share(this->lost_peers, peers.on_time, peers.overdue, lost_instance_policy{}, now),
        peers.oldest_report_age};
    const auto decision =
        this->accounts.admit(*matched.account, view, token_wait_limit(*matched.route), now);
    if (decision.report_early) {
        this->reports.schedule_early_report();
    }
    if (!decision.admitted) {
        this->refuse(incoming,
                     {error_kind::rate_exceeded,
                      "account=" + matched.account->id.value +
                          " rate_per_s=" + format_decimal(matched.account->rate_per_s) +
                          " burst=" + format_decimal(matched.account->burst) +
                          " tokens=" + format_decimal(decision.tokens) +
                          " refill_share=" + format_decimal(view.refill_share)},
                     decision.retry_after);
        return;
    }
    if (decision.wait == duration::zero()) {
        this->start(incoming, matched);
        return;
    }
    this->continue_after(incoming, decision.wait,
                         [this, incoming, matched] { this->start(incoming, matched); });
}

std::uint64_t edge_gateway::continue_after(const request_ptr& incoming, duration wait,
                                           std::function<void()> step) {
    const std::uint64_t id = ++this->last_waiting;
    this->waiting_requests[id] =
        this->owner.after(wait, [this, id, incoming, next = std::move(step)] {
            // The timer owns this function.
            const timer ended = std::move(this->waiting_requests.extract(id).mapped());
            if (!incoming->is_finished()) {
                next();
            }
        });
    return id;
}

const service_id& edge_gateway::choose_service(const traffic_route& route) {
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    route_split& kept = this->splits[route.id];
    const bool is_same = std::equal(kept.services.begin(), kept.services.end(), route.split.begin(),
                                    route.split.end(), [](const auto& a, const auto& b) {
                                        return a.service == b.service && a.weight == b.weight;
                                    });
    if (!is_same) {
        kept.services = route.split;
        std::vector<double> weights;
        for (const weighted_service& part : route.split) {
            weights.push_back(part.weight);
        }
        kept.split = make_weighted_round_robin(std::move(weights));
    }
    return kept.services[pick_next(kept.split)].service;
}

balancer& edge_gateway::balancer_of(const service_id& service) {
    const auto [place, is_new] = this->balancers.try_emplace(service);
    if (is_new) {
        balancer_options options;
        options.headers = this->headers;
        options.targets.failure_domain = this->settings.failure_domain;
        options.targets.rotation.floor_share = this->settings.bounds.floor_share;
        if (this->settings.locality == locality_mode::overflow) {
            options.targets.assign_targets = true;
            options.targets.rotation.placement = overflow_costs;
            options.targets.rotation.early_trial = early_trial_delay;
        }
        options.targets.instances = &this->instances;
        options.targets.warm_up = this->warm_up_limits_of(service);
        if (this->policy.follows_orders()) {
            options.targets.evacuations = &this->policy.evacuations().states();
        }
        options.targets.regions = &this->settings.regions;
        options.max_registrations_age = this->settings.bounds.target_drain - target_connect_share;
        options.limits.connect_timeout = milliseconds(400);
        options.limits.accept_close_delimited = true;
        options.limits.echoed_header = this->headers.request_id;
        options.limits.end_counts = this->target_ends;
        options.limits.max_body_bytes = this->settings.callers.max_response_bytes;
        options.limits.memory = this->memory;
        const balancer_dependencies shared{this->owner, this->directory, this->reports,
                                           this->retries};
        place->second = std::make_unique<balancer>(service, shared, options);
    }
    return *place->second;
}

void edge_gateway::start(const request_ptr& incoming, const matched_request& matched) {
    proxied_request request = make_proxied_request(*incoming, matched, this->headers);
    if (this->retries.is_quarantined(request.fingerprint, boot_clock::now())) {
        this->refuse(incoming, {error_kind::request_quarantined, "targets crash on this request"},
                     std::nullopt);
        return;
    }
    proxied_request summary;
    summary.id = request.id;
    summary.route = request.route;
    summary.account = request.account;
    summary.arrived_at = request.arrived_at;
    balancer& chosen = this->balancer_of(this->choose_service(*matched.route));
    // The handler may be called before start returns.
    const balancer_request_id request_id = chosen.start(
        std::move(request),
        [this, incoming, kept = std::make_shared<proxied_request>(std::move(summary))](
            proxy_outcome outcome) { this->finish(incoming, *kept, std::move(outcome)); });
    if (!incoming->is_finished()) {
        incoming->on_caller_disconnect(
            [this, &chosen, request_id,
             id = std::string(incoming->header(this->headers.request_id))] {
                ++this->metrics.caller_gone;
                log_event(log_level::info, "caller_gone", {{"id", id}});
                chosen.cancel(request_id);
            });
    }
}

void edge_gateway::finish(const request_ptr& incoming, const proxied_request& summary,
                          proxy_outcome outcome) {
    const time_point now = boot_clock::now();
    const auto age = this->policy.confirmation_age(now);
    const auto targets_age = this->directory.age(now);
    const std::string kind =
        outcome ? "served" : std::string(answer_for(outcome.error().problem.kind).name);
    ++this->metrics.requests[kind];
    this->metrics.total_time.record(now - summary.arrived_at);
    this->metrics.queue_time.record(outcome ? outcome->queue_time : outcome.error().queue_time);
    const int status =
        outcome ? outcome->message.status : answer_for(outcome.error().problem.kind).http_status;
    log_event(
        outcome ? log_level::info : log_level::warning,
        outcome ? "request_served" : "request_failed",
        {{"id", summary.id},
         {"route", summary.route->id.value},
         {"account", summary.account.value},
         {"target", outcome ? outcome->target.value : outcome.error().target.value},
         {"attempts", std::to_string(outcome ? outcome->attempts : outcome.error().attempts)},
         {"status", std::to_string(status)},
         {"outcome", kind},
         {"detail", outcome ? "" : outcome.error().problem.detail},
         {"total_ms", std::to_string(to_milliseconds(now - summary.arrived_at))},
         {"waited_ms", std::to_string(to_milliseconds(outcome ? outcome->queue_time
                                                              : outcome.error().queue_time))},
         {"policy", std::to_string(this->policy.current()->number().value)},
         {"proof_age_ms", std::to_string(age ? to_milliseconds(*age) : -1)},
         {"targets_age_ms", std::to_string(targets_age ? to_milliseconds(*targets_age) : -1)}});
    if (incoming->is_finished()) {
        return;
    }
    if (outcome) {
        this->metrics.response_time.record(outcome->response_time);
        incoming->respond(
            make_forwarded_response(std::move(outcome->message), incoming->method() == "HEAD"));
        return;
    }
    const proxy_failure& failure = outcome.error();
    incoming->respond(this->make_refusal(failure.problem, failure.outcome, failure.retry_after));
}

void edge_gateway::refuse(const request_ptr& incoming, const error& problem,
                          std::optional<duration> retry_after) {
    const time_point now = boot_clock::now();
    const auto age = this->policy.confirmation_age(now);
    const auto& current = this->policy.current();
    ++this->metrics.requests[std::string(answer_for(problem.kind).name)];
    log_event(log_level::warning, "request_refused",
              {{"id", std::string(incoming->header(this->headers.request_id))},
               {"outcome", std::string(answer_for(problem.kind).name)},
               {"detail", problem.detail},
               {"retry_after_ms", std::to_string(retry_after ? to_milliseconds(*retry_after) : -1)},
               {"policy", std::to_string(current == nullptr ? 0 : current->number().value)},
               {"proof_age_ms", std::to_string(age ? to_milliseconds(*age) : -1)}});
    incoming->respond(this->make_refusal(problem, execution::not_run, retry_after));
}

http_response edge_gateway::make_refusal(const error& problem, execution outcome,
                                         std::optional<duration> retry_after) const {
    http_response answer;
    answer.status = answer_for(problem.kind).http_status;
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.headers.push_back({"Knapweedknot-Error", std::string(answer_for(problem.kind).name)});
    answer.headers.push_back({"Knapweedknot-Outcome", std::string(to_string(outcome))});
    if (retry_after) {
        answer.headers.push_back(
            {this->headers.retry_after, format_decimal(to_seconds(*retry_after))});
    }
    answer.body = make_body(problem.detail + '\n');
    return answer;
}

void edge_gateway::add_to_report(instance_report& report, report_kind kind, time_point now) {
    this->observe_instances(now);
    report.serving = this->is_serving(now);
    report.request_rate = this->request_rate_at(now);
    report.accounts = this->accounts.report(kind, now);
    this->retries.add_to_report(report, now);
    for (const auto& [service, balanced] : this->balancers) {
        if (kind == report_kind::full) {
            balanced->pool().add_to_report(report, now);
        }
        const bool is_for_serving = kind == report_kind::full || kind == report_kind::changes;
        if (is_for_serving && this->settings.locality == locality_mode::overflow) {
            report.demands[hash64(service.value)] = balanced->demand();
        }
    }
}

void edge_gateway::handle_report(const reporting_peer& peer, const instance_report* before) {
    const time_point now = boot_clock::now();
    const bool is_new =
        peer.report->uptime < std::min<duration>(now - this->started, new_process_time);
    clear_lost(this->lost_peers, peer.info.instance);
    this->accounts.apply_peer_report(*peer.report, before, is_new, now);
    this->retries.apply_peer_report(peer.info.incarnation, *peer.report, before, now);
    for (const auto& [service, balanced] : this->balancers) {
        balanced->pool().adopt_ejections(*peer.report, now);
        balanced->pool().adopt_warm_ups(*peer.report, now);
    }
    if (this->limits_warm_ups) {
        observe_live(this->instances, peer.info.instance,
                     activity_of(peer.report->serving, peer.report->request_rate), now);
    }
}

void edge_gateway::handle_peer_lost(const reporting_peer& peer) {
    const time_point now = boot_clock::now();
    this->retries.remove_peer(peer.info.incarnation);
    if (peer.report && peer.report->serving) {
        mark_lost(this->lost_peers, peer.info.instance, now - peer.last_heard,
                  lost_instance_policy{}, now);
    }
    const bool was_active =
        peer.report &&
        activity_of(peer.report->serving, peer.report->request_rate) != instance_activity::idle;
    if (this->limits_warm_ups && was_active) {
        observe_missing(this->instances, peer.info.instance, peer.last_heard,
                        assumed_until(now - peer.last_heard, lost_instance_policy{}, now), now);
    }
}

std::string edge_gateway::metrics_text() const {
    std::string text = to_text(this->metrics);
    this->write_connection_metrics(text);
    this->write_pressure_metrics(text);
    write_target_connection_ends(text, *this->target_ends);
    const time_point now = boot_clock::now();
    for (const auto& [service, balanced] : this->balancers) {
        const std::string label = "service=\"" + service.value + '"';
        const balancer_counts& counts = balanced->counts();
        const auto [registered, ejected] = balanced->pool().rotation_counts(now);
        const auto write = [&](const char* name, auto value) {
            write_metric(text, name, label, static_cast<double>(value));
        };
        write("sends_total", counts.sent);
        write("resends_total", counts.retried);
        write("target_connections_total", counts.new_connections);
        write("target_refusals_total", counts.not_executed);
        write("attempts_failed_total", counts.failed_attempts);
        write("requests_held_for_target_memory_total", counts.held_for_memory);
        write("target_body_bytes_in_flight", balanced->pool().own_bytes_in_flight());
        write("target_memory_reduced", balanced->pool().is_memory_reduced(now) ? 1 : 0);
        write("targets_taken_out_total", balanced->pool().ejections());
        write("requests_running", balanced->running());
        write("requests_queued", balanced->queued());
        write_refusals(text, label, counts);
        for (const auto& [domain, share] : balanced->pool().shares_by_domain()) {
            write_metric(text, "requests_share", label + ",failure_domain=\"" + domain.value + '"',
                         share);
        }
        write("targets_registered", registered);
        write("targets_out", ejected);
        if (const warm_up_gate& gate = balanced->pool().warm_ups(); gate.is_enabled()) {
            write("targets_cold", balanced->pool().cold_targets(now));
            write("cold_target_sends_total", gate.counts().sends);
            write("cold_target_refusals_total", gate.counts().refusals);
        }
        if (this->policy.follows_orders()) {
            write("requests_refused_evacuated_total", counts.refused_evacuated);
        }
        if (!this->settings.regions.empty()) {
            write("requests_refused_regions_total", counts.refused_regions);
        }
    }
    return text;
}

} // namespace knapweedknot
