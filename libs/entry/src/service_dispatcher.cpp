#include "entry/service_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "entry/header_names.h"

namespace knapweedknot {

namespace {

constexpr int max_attempts = 3;
// Work that has less time left than this is not started.
constexpr duration min_time_left = milliseconds(1);
constexpr int lowest_server_error = 500;

bool says_not_run(const http_answer& answer) {
    const std::string* outcome = find_header(answer.headers, outcome_header);
    return outcome != nullptr && *outcome == to_string(execution::not_run);
}

} // namespace

service_dispatcher::service_dispatcher(loop& event_loop, const service_ptr& service,
                                       dispatcher_options dispatch_options)
    : owner(event_loop), options(std::move(dispatch_options)),
      random(static_cast<std::minstd_rand::result_type>(random_nonzero())) {
    this->update(service);
}

void service_dispatcher::update(const service_ptr& service) {
    this->current = service;
    for (auto& [id, state] : this->targets) {
        const auto kept = service->targets.find(id);
        if (kept == service->targets.end() || kept->second.address != state->definition.address) {
            state->removed = true;
        }
    }
    std::erase_if(this->targets, [](const auto& item) { return item.second->removed; });
    for (const auto& [id, definition] : service->targets) {
        const auto [place, is_new] = this->targets.try_emplace(id);
        if (is_new) {
            place->second = std::make_shared<target_state>();
        }
        place->second->definition = definition;
    }
    this->serve_waiting();
}

dispatch_id service_dispatcher::dispatch(service_request request, handler done) {
    const dispatch_id ticket{++this->last_ticket};
    auto work = std::make_shared<job>();
    work->wanted = std::move(request);
    work->done = std::move(done);
    this->jobs[ticket] = work;
    record_attempt(this->retries, this->current->policy.retry_budget);
    this->start(ticket, work);
    return ticket;
}

void service_dispatcher::cancel(dispatch_id ticket) {
    const auto found = this->jobs.find(ticket);
    if (found == this->jobs.end()) {
        return;
    }
    const job_ptr work = found->second;
    this->jobs.erase(found);
    if (work->at != nullptr) {
        this->release(work, false);
        this->serve_waiting();
    }
}

void service_dispatcher::start(dispatch_id ticket, const job_ptr& work) {
    const time_point now = boot_clock::now();
    if (work->wanted.deadline - now < min_time_left) {
        this->finish(ticket, fail(error_kind::deadline_before_start, "no time left to run it"));
        return;
    }
    if (this->usable(now).empty()) {
        this->finish(ticket, fail(error_kind::no_target, "the service has no target"));
        return;
    }
    if (const target_ptr chosen = this->choose(*work); chosen != nullptr) {
        this->attempt(ticket, work, chosen);
    } else if (work->attempts == 0) {
        this->wait(ticket, work);
    } else {
        this->finish(ticket, fail(error_kind::overloaded, "every target refused it"));
    }
}

void service_dispatcher::wait(dispatch_id ticket, const job_ptr& work) {
    const auto limit = static_cast<std::size_t>(this->current->policy.queue_limit);
    if (limit == 0 || !may_enqueue(this->waiting, work->wanted.account, limit)) {
        this->finish(ticket, fail(error_kind::overloaded, "the service's queue is full"));
        return;
    }
    this->waiting.push(work->wanted.account, ticket);
    work->expiry = this->owner.after(work->wanted.deadline - boot_clock::now(), [this, ticket] {
        this->finish(ticket, fail(error_kind::deadline_before_start, "no target was free in time"));
    });
}

void service_dispatcher::serve_waiting() {
    while (this->waiting.size() > 0) {
        const bool has_room =
            std::any_of(this->targets.begin(), this->targets.end(), [this](const auto& item) {
                return item.second->in_flight < this->limit_per_target();
            });
        if (!has_room) {
            return;
        }
        const dispatch_id ticket = *this->waiting.pop();
        const auto found = this->jobs.find(ticket);
        // A ticket without a job was cancelled or ran out of time.
        if (found == this->jobs.end()) {
            continue;
        }
        const job_ptr work = found->second;
        work->expiry = timer();
        if (this->choose(*work) == nullptr) {
            this->wait(ticket, work);
            return;
        }
        this->start(ticket, work);
    }
}

int service_dispatcher::limit_per_target() const {
    const service_policy& rules = this->current->policy;
    const int connections = std::max(1, rules.connections_per_target / this->options.max_instances);
    return std::min(rules.slots_per_target, connections);
}

health_policy service_dispatcher::policy() const {
    const service_policy& rules = this->current->policy;
    return {rules.failures_to_eject, rules.slow_factor, rules.ejection_time, rules.ejection_limit};
}

std::vector<service_dispatcher::target_ptr> service_dispatcher::usable(time_point now) const {
    std::vector<target_ptr> staying;
    std::vector<const target_health*> healths;
    for (const auto& [id, state] : this->targets) {
        if (!this->options.is_leaving || !this->options.is_leaving(state->definition.address)) {
            staying.push_back(state);
            healths.push_back(&state->health);
        }
    }
    std::vector<target_ptr> rotation;
    const auto floor = static_cast<std::size_t>(std::max(1, this->current->policy.floor));
    for (const std::size_t position : in_rotation(healths, floor, now)) {
        rotation.push_back(staying[position]);
    }
    return rotation;
}

/// The better of two random candidates by running requests, then by latency.
service_dispatcher::target_ptr service_dispatcher::choose(const job& work) {
    std::vector<target_ptr> free;
    for (const target_ptr& state : this->usable(boot_clock::now())) {
        if (state->in_flight < this->limit_per_target() &&
            !work.tried.contains(state->definition.id)) {
            free.push_back(state);
        }
    }
    if (free.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> draw(0, free.size() - 1);
    const target_ptr& first = free[draw(this->random)];
    const target_ptr& second = free[draw(this->random)];
    if (first->in_flight != second->in_flight) {
        return first->in_flight < second->in_flight ? first : second;
    }
    return first->health.latency_ms <= second->health.latency_ms ? first : second;
}

void service_dispatcher::attempt(dispatch_id ticket, const job_ptr& work, const target_ptr& at) {
    ++work->attempts;
    work->at = at;
    work->sent = boot_clock::now();
    ++at->in_flight;
    ++at->requests;
    if (at->idle.empty()) {
        work->connection = std::make_unique<http_connection>(
            this->owner, at->definition.address, this->options.limits, this->options.source_ip);
    } else {
        work->connection = std::move(at->idle.back());
        at->idle.pop_back();
    }
    const duration left = work->wanted.deadline - work->sent;
    http_headers& headers = work->wanted.request.headers;
    std::erase_if(headers,
                  [](const http_header& header) { return header.name == deadline_header; });
    headers.push_back({std::string(deadline_header), std::to_string(to_milliseconds(left))});
    work->connection->send(work->wanted.request, left, [this, ticket, work](http_outcome outcome) {
        this->handle_outcome(ticket, work, std::move(outcome));
    });
}

void service_dispatcher::release(const job_ptr& work, bool reusable) {
    --work->at->in_flight;
    if (reusable && !work->at->removed) {
        work->at->idle.push_back(std::move(work->connection));
    }
    work->connection.reset();
    work->at.reset();
}

void service_dispatcher::handle_outcome(dispatch_id ticket, const job_ptr& work,
                                        http_outcome outcome) {
    if (outcome) {
        this->handle_answer(ticket, work, std::move(*outcome));
    } else {
        this->handle_failure(ticket, work, outcome.error());
    }
    this->serve_waiting();
}

void service_dispatcher::handle_answer(dispatch_id ticket, const job_ptr& work,
                                       http_answer answer) {
    const time_point now = boot_clock::now();
    const target_ptr at = work->at;
    const bool reusable = work->connection->is_reusable();
    this->release(work, reusable);
    if (says_not_run(answer)) {
        // The target is loaded or leaving, which is no fault; another one may have room.
        work->tried.insert(at->definition.id);
        if (work->attempts < max_attempts) {
            this->start(ticket, work);
        } else {
            this->finish(ticket, fail(error_kind::overloaded, "every target refused it"));
        }
        return;
    }
    if (answer.status >= lowest_server_error) {
        ++at->failures;
        if (record_failure(at->health, this->policy(), now)) {
            log_event(log_level::warning, "target_ejected",
                      {{"service", this->current->id.value},
                       {"target", at->definition.id.value},
                       {"reason", at->health.reason}});
        }
    } else {
        record_response(at->health, now - work->sent, now);
        this->judge(*at, now);
    }
    this->finish(ticket, service_response{std::move(answer), at->definition.id, now - work->sent});
}

void service_dispatcher::judge(target_state& judged, time_point now) {
    std::vector<double> others;
    for (const auto& [id, state] : this->targets) {
        if (state.get() != &judged && state->health.latency_samples > 0) {
            others.push_back(state->health.latency_ms);
        }
    }
    if (eject_if_slow(judged.health, others, this->policy(), now)) {
        log_event(log_level::warning, "target_ejected",
                  {{"service", this->current->id.value},
                   {"target", judged.definition.id.value},
                   {"reason", judged.health.reason}});
    }
}

void service_dispatcher::handle_failure(dispatch_id ticket, const job_ptr& work,
                                        const http_failure& failure) {
    const target_ptr at = work->at;
    this->release(work, false);
    ++at->failures;
    if (record_failure(at->health, this->policy(), boot_clock::now())) {
        // Idle connections may have failed in the same way.
        at->idle.clear();
        log_event(log_level::warning, "target_ejected",
                  {{"service", this->current->id.value},
                   {"target", at->definition.id.value},
                   {"reason", at->health.reason},
                   {"detail", failure.problem.detail}});
    }
    work->tried.insert(at->definition.id);
    if (this->may_retry(*work, failure.progress)) {
        this->start(ticket, work);
        return;
    }
    this->finish(ticket, tl::unexpected(failure.problem));
}

bool service_dispatcher::may_retry(const job& work, send_progress progress) {
    const bool has_time = work.wanted.deadline - boot_clock::now() >= min_time_left;
    const bool is_safe = progress == send_progress::not_connected || work.wanted.repeatable;
    return work.attempts < max_attempts && has_time && is_safe && this->choose(work) != nullptr &&
           take_retry(this->retries);
}

void service_dispatcher::finish(dispatch_id ticket, result<service_response> outcome) {
    const auto found = this->jobs.find(ticket);
    if (found == this->jobs.end()) {
        return;
    }
    const job_ptr work = found->second;
    this->jobs.erase(found);
    work->expiry = timer();
    work->done(std::move(outcome));
}

std::vector<target_view> service_dispatcher::view() const {
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
