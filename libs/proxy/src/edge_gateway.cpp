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

// An instance counts as serving from this rate on, in requests per second. Below it there is not
// enough to tell others of.
constexpr double serving_rate = 3;
constexpr duration rate_window = seconds(2);
// It goes on counting as serving for this long.
constexpr duration serving_time = seconds(4);
// All that a process of this age or less has admitted is recent.
constexpr duration new_process_time = seconds(5);
constexpr duration longest_wait_for_token = milliseconds(700);
// Time after which a caller may come again when the instance is not ready or out of touch.
constexpr duration unready_retry_after = milliseconds(500);

http_server_limits server_limits(const request_limits& limits) {
    http_server_limits taken;
    taken.max_header_bytes = limits.max_header_bytes;
    taken.max_body_bytes = limits.max_body_bytes;
    taken.header_timeout = limits.header_timeout;
    taken.idle_timeout = limits.idle_timeout;
    return taken;
}

resend_policy make_resend_policy(const fleet_bounds& bounds) {
    resend_policy policy;
    policy.share = bounds.resend_share;
    policy.allowance = bounds.resend_allowance;
    policy.window = bounds.resend_window;
    return policy;
}

/// How long a request may wait for its account's next token. A short wait serves the caller better
/// than a refusal; a long one would take up the time that the target needs.
duration longest_token_wait(const traffic_route& route) {
    constexpr int parts_of_latency_target = 4;
    return std::min<duration>(longest_wait_for_token,
                              route.latency_target / parts_of_latency_target);
}

/// \p value with two digits behind the point.
std::string number_text(double value) {
    constexpr std::size_t longest = 32;
    std::string text(longest, '\0');
    const int size = std::snprintf(text.data(), text.size(), "%.2f", value);
    text.resize(static_cast<std::size_t>(size));
    return text;
}

} // namespace

edge_gateway::edge_gateway(const parts& given)
    : owner(given.owner), settings(given.settings), headers(given.headers), policy(given.policy),
      directory(given.directory), reports(given.reports),
      resends(make_resend_policy(given.settings.bounds)),
      accounts(shared_bucket_times{}, boot_clock::now()), started(boot_clock::now()),
      callers(given.owner, server_limits(request_limits{}),
              [this](const request_ptr& incoming) { this->handle(incoming); }) {
    this->callers.make_refusal = [this](const error& problem) {
        ++this->metrics.requests[std::string(answer_for(problem.kind).name)];
        return this->make_refusal(problem, execution::not_run, std::nullopt);
    };
    this->callers.may_overlap = [this](const http_request& request) {
        return this->may_overlap(request);
    };
}

result<void> edge_gateway::listen() {
    return this->callers.listen(this->settings.callers_address);
}

bool edge_gateway::is_serving(time_point now) const noexcept {
    return this->last_busy && now - *this->last_busy < serving_time;
}

double edge_gateway::request_rate_at(time_point now) const {
    const double passed = to_seconds(now - this->rate_since);
    return this->request_rate * std::exp(-passed / to_seconds(rate_window));
}

void edge_gateway::note_request(time_point now) {
    this->request_rate = this->request_rate_at(now) + 1 / to_seconds(rate_window);
    this->rate_since = now;
    if (this->request_rate >= serving_rate) {
        this->last_busy = now;
    }
}

void edge_gateway::take_policy() {
    this->callers.set_limits(server_limits(this->policy.current()->limits()));
}

void edge_gateway::update_targets(const service_id& service) {
    if (const auto found = this->balancers.find(service); found != this->balancers.end()) {
        found->second->update_targets();
    }
}

void edge_gateway::give_up_all() {
    for (const auto& [service, balanced] : this->balancers) {
        balanced->give_up_all();
    }
}

/// Only requests that may run twice overlap: those behind a closed connection are sent again.
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
    this->note_request(boot_clock::now());
    if (this->policy.current() == nullptr || !this->directory.is_loaded()) {
        this->refuse(incoming, {error_kind::configuration_stale, "no policy is known yet"},
                     unready_retry_after);
        return;
    }
    this->handle_with_proof(incoming, false);
}

/// True when the answer depends on the policy being the newest one: a key that may have been
/// withdrawn, or a refusal for what a newer policy may allow.
bool edge_gateway::needs_proof(const result<matched_request>& matched, time_point now) const {
    if (this->policy.is_fresh(now)) {
        return false;
    }
    const bool uses_key = matched && matched->account != nullptr;
    return !matched || (uses_key && this->settings.bounds.strict_withdrawal);
}

void edge_gateway::handle_with_proof(const request_ptr& incoming, bool proof_was_awaited) {
    const time_point now = boot_clock::now();
    const auto matched = match_request(*incoming, *this->policy.current(), this->headers);
    if (this->needs_proof(matched, now)) {
        // While the store is known to be away, nobody waits for the answer to the next question.
        const bool is_hopeless = !this->policy.is_store_reachable();
        if (proof_was_awaited || is_hopeless) {
            this->refuse(incoming, {error_kind::configuration_stale, "the store does not answer"},
                         unready_retry_after);
            this->policy.keep_fresh(now, true);
            return;
        }
        this->policy.await_proof([this, incoming] {
            if (!incoming->is_caller_gone()) {
                this->handle_with_proof(incoming, true);
            }
        });
        return;
    }
    this->policy.keep_fresh(now, this->is_serving(now));
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
    const serving_peers peers = this->reports.count_serving(now);
    const account_ledger::peer_view view{
        refill_share(this->lost_peers, peers.heard, peers.unheard, lost_instance_policy{}, now),
        peers.oldest_report};
    const auto verdict =
        this->accounts.admit(*matched.account, view, longest_token_wait(*matched.route), now);
    if (verdict.urgent) {
        this->reports.hurry();
    }
    if (!verdict.admitted) {
        this->refuse(incoming,
                     {error_kind::rate_exceeded,
                      "account=" + matched.account->id.value +
                          " rate_per_s=" + number_text(matched.account->rate_per_s) +
                          " burst=" + number_text(matched.account->burst) +
                          " tokens=" + number_text(verdict.tokens) +
                          " refill_share=" + number_text(view.refill_share)},
                     verdict.retry_after);
        return;
    }
    if (verdict.wait == duration::zero()) {
        this->start(incoming, matched);
        return;
    }
    this->start_later(incoming, matched, verdict.wait);
}

/// Starts a request when its token has come.
void edge_gateway::start_later(const request_ptr& incoming, const matched_request& matched,
                               duration wait) {
    const std::uint64_t id = ++this->last_delayed;
    this->delayed[id] = this->owner.after(wait, [this, id, incoming, matched] {
        this->delayed.erase(id);
        if (!incoming->is_caller_gone()) {
            this->start(incoming, matched);
        }
    });
}

const service_id& edge_gateway::choose_service(const traffic_route& route) {
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    route_split& kept = this->splits[route.id];
    const bool is_same = std::equal(kept.parts.begin(), kept.parts.end(), route.split.begin(),
                                    route.split.end(), [](const auto& a, const auto& b) {
                                        return a.service == b.service && a.weight == b.weight;
                                    });
    if (!is_same) {
        kept.parts = route.split;
        std::vector<double> weights;
        for (const weighted_service& part : route.split) {
            weights.push_back(part.weight);
        }
        kept.split = make_weighted_split(std::move(weights));
    }
    return kept.parts[next_part(kept.split)].service;
}

balancer& edge_gateway::balancer_of(const service_id& service) {
    const auto [place, is_new] = this->balancers.try_emplace(service);
    if (is_new) {
        balancer_options options;
        options.headers = this->headers;
        options.targets.failure_domain = this->settings.failure_domain;
        options.targets.rotation.floor_share = this->settings.bounds.floor_share;
        options.limits.connect_timeout = milliseconds(400);
        options.limits.accept_close_delimited = true;
        options.limits.echoed_header = this->headers.request_id;
        const balancer_services shared{this->owner, this->directory, this->reports, this->resends};
        place->second = std::make_unique<balancer>(service, shared, options);
    }
    return *place->second;
}

void edge_gateway::start(const request_ptr& incoming, const matched_request& matched) {
    proxied_request request = make_proxied_request(*incoming, matched, this->headers);
    if (this->resends.is_quarantined(request.fingerprint, boot_clock::now())) {
        this->refuse(incoming, {error_kind::request_quarantined, "targets crash on this request"},
                     std::nullopt);
        return;
    }
    proxied_request summary;
    summary.id = request.id;
    summary.route = request.route;
    summary.account = request.account;
    summary.arrived = request.arrived;
    balancer& chosen = this->balancer_of(this->choose_service(*matched.route));
    // The handler may be called before start returns.
    const balancer_ticket ticket = chosen.start(
        std::move(request),
        [this, incoming, kept = std::make_shared<proxied_request>(std::move(summary))](
            proxy_outcome outcome) { this->finish(incoming, *kept, std::move(outcome)); });
    if (!incoming->is_caller_gone()) {
        incoming->on_caller_gone(
            [this, &chosen, ticket, id = std::string(incoming->header(this->headers.request_id))] {
                ++this->metrics.caller_gone;
                log_event(log_level::info, "caller_gone", {{"id", id}});
                chosen.cancel(ticket);
            });
    }
}

void edge_gateway::finish(const request_ptr& incoming, const proxied_request& summary,
                          proxy_outcome outcome) {
    const time_point now = boot_clock::now();
    const auto age = this->policy.proof_age(now);
    const auto targets_age = this->directory.age(now);
    const std::string kind =
        outcome ? "served" : std::string(answer_for(outcome.error().problem.kind).name);
    ++this->metrics.requests[kind];
    this->metrics.total_time.note(now - summary.arrived);
    this->metrics.waiting_time.note(outcome ? outcome->waited : outcome.error().waited);
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
         {"total_ms", std::to_string(to_milliseconds(now - summary.arrived))},
         {"waited_ms",
          std::to_string(to_milliseconds(outcome ? outcome->waited : outcome.error().waited))},
         {"policy", std::to_string(this->policy.current()->number().value)},
         {"proof_age_ms", std::to_string(age ? to_milliseconds(*age) : -1)},
         {"targets_age_ms", std::to_string(targets_age ? to_milliseconds(*targets_age) : -1)}});
    if (incoming->is_caller_gone()) {
        return;
    }
    if (outcome) {
        this->metrics.target_time.note(outcome->spent);
        incoming->answer(
            make_passed_answer(std::move(outcome->message), incoming->method() == "HEAD"));
        return;
    }
    const proxy_refusal& refusal = outcome.error();
    incoming->answer(this->make_refusal(refusal.problem, refusal.outcome, refusal.retry_after));
}

void edge_gateway::refuse(const request_ptr& incoming, const error& problem,
                          std::optional<duration> retry_after) {
    const time_point now = boot_clock::now();
    const auto age = this->policy.proof_age(now);
    const auto& current = this->policy.current();
    ++this->metrics.requests[std::string(answer_for(problem.kind).name)];
    log_event(log_level::warning, "request_refused",
              {{"id", std::string(incoming->header(this->headers.request_id))},
               {"outcome", std::string(answer_for(problem.kind).name)},
               {"detail", problem.detail},
               {"retry_after_ms", std::to_string(retry_after ? to_milliseconds(*retry_after) : -1)},
               {"policy", std::to_string(current == nullptr ? 0 : current->number().value)},
               {"proof_age_ms", std::to_string(age ? to_milliseconds(*age) : -1)}});
    incoming->answer(this->make_refusal(problem, execution::not_run, retry_after));
}

http_answer edge_gateway::make_refusal(const error& problem, execution outcome,
                                       std::optional<duration> retry_after) const {
    http_answer answer;
    answer.status = answer_for(problem.kind).http_status;
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.headers.push_back({"Knapweedknot-Error", std::string(answer_for(problem.kind).name)});
    answer.headers.push_back({"Knapweedknot-Outcome", std::string(to_string(outcome))});
    if (retry_after) {
        answer.headers.push_back(
            {this->headers.retry_after, number_text(to_seconds(*retry_after))});
    }
    answer.body = make_body(problem.detail + '\n');
    return answer;
}

void edge_gateway::report(fleet_report& report, report_kind kind, time_point now) {
    report.serving = this->is_serving(now);
    report.request_rate = this->request_rate_at(now);
    report.accounts = this->accounts.report(kind, now);
    this->resends.report(report, now);
    if (kind == report_kind::full) {
        for (const auto& [service, balanced] : this->balancers) {
            balanced->pool().report(report, now);
        }
    }
}

void edge_gateway::handle_report(const reporting_peer& peer, const fleet_report* before) {
    const time_point now = boot_clock::now();
    const bool is_new =
        peer.report->uptime < std::min<duration>(now - this->started, new_process_time);
    note_heard(this->lost_peers, peer.info.instance);
    this->accounts.note_peer(*peer.report, before, is_new, now);
    this->resends.note_peer(peer.info.incarnation, *peer.report, before, now);
    for (const auto& [service, balanced] : this->balancers) {
        balanced->pool().follow(*peer.report, now);
    }
}

void edge_gateway::handle_lost(const reporting_peer& peer) {
    const time_point now = boot_clock::now();
    this->resends.forget_peer(peer.info.incarnation);
    if (peer.report && peer.report->serving) {
        note_lost(this->lost_peers, peer.info.instance, now - peer.heard, lost_instance_policy{},
                  now);
    }
}

std::string edge_gateway::metrics_text() const {
    std::string text = to_text(this->metrics);
    const time_point now = boot_clock::now();
    for (const auto& [service, balanced] : this->balancers) {
        const std::string label = "service=\"" + service.value + '"';
        const balancer_counts& counts = balanced->counts();
        const auto [registered, out] = balanced->pool().rotation_size(now);
        const auto write = [&](const char* name, auto value) {
            write_metric(text, name, label, static_cast<double>(value));
        };
        write("sends_total", counts.sent);
        write("resends_total", counts.resent);
        write("target_connections_total", counts.new_connections);
        write("target_refusals_total", counts.refused_by_targets);
        write("attempts_failed_total", counts.failed);
        write("targets_taken_out_total", balanced->pool().taken_out());
        write("requests_running", balanced->running());
        write("requests_queued", balanced->queued());
        write("targets_registered", registered);
        write("targets_out", out);
    }
    return text;
}

} // namespace knapweedknot
