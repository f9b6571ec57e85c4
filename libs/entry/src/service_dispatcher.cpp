#include "entry/service_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "entry/header_names.h"

namespace knapweedknot {

namespace {

constexpr int max_attempts = 3;
// Requests with less time left than this are not sent.
constexpr duration min_time_left = milliseconds(1);
constexpr int first_server_error = 500;

bool is_not_run_response(const http_response& answer) {
    const std::string* outcome = find_header(answer.headers, outcome_header);
    return outcome != nullptr && *outcome == to_string(execution::not_run);
}

} // namespace

service_dispatcher::service_dispatcher(loop& event_loop, const service_ptr& served,
                                       dispatcher_options dispatch_options)
    : owner(event_loop), options(std::move(dispatch_options)),
      random(static_cast<std::minstd_rand::result_type>(random_nonzero())) {
    this->update(served);
}

void service_dispatcher::update(const service_ptr& changed) {
    this->service = changed;
    for (auto& [id, state] : this->targets) {
        const auto kept = changed->targets.find(id);
        if (kept == changed->targets.end() || kept->second.address != state->definition.address) {
            state->removed = true;
        }
    }
    std::erase_if(this->targets, [](const auto& item) { return item.second->removed; });
    for (const auto& [id, definition] : changed->targets) {
        const auto [place, is_new] = this->targets.try_emplace(id);
        if (is_new) {
            place->second = std::make_shared<target_state>();
        }
        place->second->definition = definition;
    }
    this->dispatch_queued();
}

dispatch_id service_dispatcher::dispatch(service_request request, handler done) {
    const dispatch_id id{++this->last_id};
    auto pending = std::make_shared<pending_request>();
    pending->request = std::move(request);
    pending->on_done = std::move(done);
    this->pending_requests[id] = pending;
    record_attempt(this->retries, this->service->policy.retry_budget);
    this->start(id, pending);
    return id;
}

void service_dispatcher::cancel(dispatch_id id) {
    const auto found = this->pending_requests.find(id);
    if (found == this->pending_requests.end()) {
        return;
    }
    const pending_request_ptr pending = found->second;
    this->pending_requests.erase(found);
    if (pending->target != nullptr) {
        this->release_connection(pending, false);
        this->dispatch_queued();
    }
}

void service_dispatcher::start(dispatch_id id, const pending_request_ptr& pending) {
    const time_point now = boot_clock::now();
    if (pending->request.deadline - now < min_time_left) {
        this->finish(id, fail(error_kind::deadline_before_start, "no time left to run it"));
        return;
    }
    if (this->targets_in_rotation(now).empty()) {
        this->finish(id, fail(error_kind::no_target, "the service has no target"));
        return;
    }
    if (const target_ptr chosen = this->choose(*pending); chosen != nullptr) {
        this->send(id, pending, chosen);
    } else if (pending->send_count == 0) {
        this->enqueue(id, pending);
    } else {
        this->finish(id, fail(error_kind::overloaded, "every target refused it"));
    }
}

void service_dispatcher::enqueue(dispatch_id id, const pending_request_ptr& pending) {
    const auto limit = static_cast<std::size_t>(this->service->policy.queue_limit);
    if (limit == 0 || !may_enqueue(this->queue, pending->request.account, limit)) {
        this->finish(id, fail(error_kind::overloaded, "the service's queue is full"));
        return;
    }
    this->queue.push(pending->request.account, id);
    pending->deadline_timer =
        this->owner.after(pending->request.deadline - boot_clock::now(), [this, id] {
            this->finish(id, fail(error_kind::deadline_before_start, "no target was free in time"));
        });
}

void service_dispatcher::dispatch_queued() {
    while (this->queue.size() > 0) {
        const bool has_capacity =
            std::any_of(this->targets.begin(), this->targets.end(), [this](const auto& item) {
                return item.second->in_flight < this->max_requests_per_target();
            });
        if (!has_capacity) {
            return;
        }
        const dispatch_id id = *this->queue.pop();
        const auto found = this->pending_requests.find(id);
        // The request was cancelled or its deadline has passed.
        if (found == this->pending_requests.end()) {
            continue;
        }
        const pending_request_ptr pending = found->second;
        pending->deadline_timer = timer();
        if (this->choose(*pending) == nullptr) {
            this->enqueue(id, pending);
            return;
        }
        this->start(id, pending);
    }
}

int service_dispatcher::max_requests_per_target() const {
    const service_policy& policy = this->service->policy;
    const int connections =
        std::max(1, policy.connections_per_target / this->options.max_instances);
    return std::min(policy.slots_per_target, connections);
}

health_policy service_dispatcher::make_health_policy() const {
    const service_policy& policy = this->service->policy;
    return {policy.failures_to_eject, policy.slow_factor, policy.ejection_time,
            policy.ejection_limit};
}

std::vector<service_dispatcher::target_ptr>
service_dispatcher::targets_in_rotation(time_point now) const {
    std::vector<target_ptr> available;
    std::vector<const target_health*> healths;
    for (const auto& [id, state] : this->targets) {
        if (!this->options.is_leaving || !this->options.is_leaving(state->definition.address)) {
            available.push_back(state);
            healths.push_back(&state->health);
        }
    }
    std::vector<target_ptr> rotation;
    const auto floor = static_cast<std::size_t>(std::max(1, this->service->policy.floor));
    for (const std::size_t position : in_rotation(healths, floor, now)) {
        rotation.push_back(available[position]);
    }
    return rotation;
}

/// Power of two choices: of two random candidates, takes the one with fewer running requests, or
/// with the lower latency if they have equally many.
service_dispatcher::target_ptr service_dispatcher::choose(const pending_request& pending) {
    std::vector<target_ptr> candidates;
    for (const target_ptr& state : this->targets_in_rotation(boot_clock::now())) {
        if (state->in_flight < this->max_requests_per_target() &&
            !pending.tried_targets.contains(state->definition.id)) {
            candidates.push_back(state);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const target_ptr& first = candidates[draw(this->random)];
    const target_ptr& second = candidates[draw(this->random)];
    if (first->in_flight != second->in_flight) {
        return first->in_flight < second->in_flight ? first : second;
    }
    return first->health.latency_ms <= second->health.latency_ms ? first : second;
}

void service_dispatcher::send(dispatch_id id, const pending_request_ptr& pending,
                              const target_ptr& target) {
    ++pending->send_count;
    pending->target = target;
    pending->sent_at = boot_clock::now();
    ++target->in_flight;
    ++target->requests;
    if (target->idle.empty()) {
        pending->connection = std::make_unique<http_connection>(
            this->owner, target->definition.address, this->options.limits, this->options.source_ip);
    } else {
        pending->connection = std::move(target->idle.back());
        target->idle.pop_back();
    }
    const duration left = pending->request.deadline - pending->sent_at;
    http_headers& headers = pending->request.message.headers;
    std::erase_if(headers,
                  [](const http_header& header) { return header.name == deadline_header; });
    headers.push_back({std::string(deadline_header), std::to_string(to_milliseconds(left))});
    pending->connection->send(pending->request.message, left,
                              [this, id, pending](http_outcome outcome) {
                                  this->handle_outcome(id, pending, std::move(outcome));
                              });
}

void service_dispatcher::release_connection(const pending_request_ptr& pending, bool reusable) {
    --pending->target->in_flight;
    if (reusable && !pending->target->removed) {
        pending->target->idle.push_back(std::move(pending->connection));
    }
    pending->connection.reset();
    pending->target.reset();
}

void service_dispatcher::handle_outcome(dispatch_id id, const pending_request_ptr& pending,
                                        http_outcome outcome) {
    if (outcome) {
        this->handle_response(id, pending, std::move(*outcome));
    } else {
        this->handle_failure(id, pending, outcome.error());
    }
    this->dispatch_queued();
}

void service_dispatcher::handle_response(dispatch_id id, const pending_request_ptr& pending,
                                         http_response answer) {
    const time_point now = boot_clock::now();
    const target_ptr target = pending->target;
    const bool reusable = pending->connection->is_reusable();
    this->release_connection(pending, reusable);
    if (is_not_run_response(answer)) {
        // The target is overloaded or shutting down. This does not count as a failure, and another
        // target may have capacity.
        pending->tried_targets.insert(target->definition.id);
        if (pending->send_count < max_attempts) {
            this->start(id, pending);
        } else {
            this->finish(id, fail(error_kind::overloaded, "every target refused it"));
        }
        return;
    }
    if (answer.status >= first_server_error) {
        ++target->failures;
        if (record_failure(target->health, this->make_health_policy(), now)) {
            log_event(log_level::warning, "target_ejected",
                      {{"service", this->service->id.value},
                       {"target", target->definition.id.value},
                       {"reason", target->health.reason}});
        }
    } else {
        record_response(target->health, now - pending->sent_at, now);
        this->check_latency(*target, now);
    }
    this->finish(
        id, service_response{std::move(answer), target->definition.id, now - pending->sent_at});
}

void service_dispatcher::check_latency(target_state& checked, time_point now) {
    std::vector<double> other_latencies_ms;
    for (const auto& [id, state] : this->targets) {
        if (state.get() != &checked && state->health.latency_samples > 0) {
            other_latencies_ms.push_back(state->health.latency_ms);
        }
    }
    if (eject_if_slow(checked.health, other_latencies_ms, this->make_health_policy(), now)) {
        log_event(log_level::warning, "target_ejected",
                  {{"service", this->service->id.value},
                   {"target", checked.definition.id.value},
                   {"reason", checked.health.reason}});
    }
}

void service_dispatcher::handle_failure(dispatch_id id, const pending_request_ptr& pending,
                                        const http_failure& failure) {
    const target_ptr target = pending->target;
    this->release_connection(pending, false);
    ++target->failures;
    if (record_failure(target->health, this->make_health_policy(), boot_clock::now())) {
        // The idle connections may be broken too.
        target->idle.clear();
        log_event(log_level::warning, "target_ejected",
                  {{"service", this->service->id.value},
                   {"target", target->definition.id.value},
                   {"reason", target->health.reason},
                   {"detail", failure.problem.detail}});
    }
    pending->tried_targets.insert(target->definition.id);
    if (this->may_retry(*pending, failure.progress)) {
        this->start(id, pending);
        return;
    }
    this->finish(id, tl::unexpected(failure.problem));
}

bool service_dispatcher::may_retry(const pending_request& pending, send_progress progress) {
    const bool has_time = pending.request.deadline - boot_clock::now() >= min_time_left;
    const bool is_safe = progress == send_progress::not_sent || pending.request.idempotent;
    return pending.send_count < max_attempts && has_time && is_safe &&
           this->choose(pending) != nullptr && take_retry(this->retries);
}

void service_dispatcher::finish(dispatch_id id, result<service_response> outcome) {
    const auto found = this->pending_requests.find(id);
    if (found == this->pending_requests.end()) {
        return;
    }
    const pending_request_ptr pending = found->second;
    this->pending_requests.erase(found);
    pending->deadline_timer = timer();
    pending->on_done(std::move(outcome));
}

std::vector<target_view> service_dispatcher::target_views() const {
    std::vector<target_view> views;
    const time_point now = boot_clock::now();
    for (const auto& [id, state] : this->targets) {
        const bool leaving =
            this->options.is_leaving && this->options.is_leaving(state->definition.address);
        views.push_back({id, state->in_flight, is_ejected(state->health, now), leaving,
                         state->health.reason, state->health.latency_ms, state->requests,
                         state->failures});
    }
    return views;
}

} // namespace knapweedknot
