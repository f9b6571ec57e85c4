#include "proxy/balancer.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "decide/hedging.h"

namespace knapweedknot {

namespace {

constexpr duration check_interval = milliseconds(40);
// Time in which an instance usually hears of the targets again, by relays or from the store.
constexpr duration renewal_time = milliseconds(1000);
// Shortest retry delay sent to a caller that was refused for another reason than the load.
constexpr duration min_retry_after = milliseconds(300);

std::string format_ms(duration value) {
    return std::to_string(to_milliseconds(value));
}

} // namespace

balancer::balancer(service_id balanced, const balancer_dependencies& common,
                   const balancer_options& balancer_settings)
    : service(std::move(balanced)), shared(common), options(balancer_settings),
      targets(this->service, common.directory, common.reports, balancer_settings.targets),
      admission(this->targets, common.reports),
      evidence(this->targets, common.retries, this->options.headers),
      sender(
          common.owner, this->options.headers, this->options,
          [this](const pending_request_ptr& pending, request_attempt& ended, http_outcome outcome) {
              this->handle_outcome(pending, ended, std::move(outcome));
          }) {}

balancer::~balancer() {
    for (auto& [id, pending] : this->pending_requests) {
        cancel_attempts(*pending);
    }
}

balancer_counts balancer::counts() const noexcept {
    balancer_counts all = this->counters;
    all.new_connections = this->sender.new_connections();
    return all;
}

service_demand balancer::demand() const {
    const std::size_t waiting = this->queued();
    service_demand current;
    current.running = static_cast<int>(this->pending_requests.size() - waiting);
    current.queued = static_cast<int>(waiting);
    current.refused = static_cast<std::uint32_t>(this->counters.refused_not_in_time);
    return current;
}

void balancer::update_targets() {
    this->targets.update();
    this->refuse_queued_without_target();
    this->dispatch_queued();
}

void balancer::update_evacuations() {
    this->targets.update_evacuations();
    this->refuse_queued_without_target();
    this->dispatch_queued();
}

latency_model& balancer::latency_model_of(const traffic_route& route) {
    return this->latency_models.try_emplace(route.id, route.latency_target).first->second;
}

balancer_request_id balancer::start(proxied_request&& request, proxy_handler done) {
    const time_point now = boot_clock::now();
    auto pending = std::make_shared<pending_request>();
    pending->id = balancer_request_id{++this->last_id};
    pending->request = std::move(request);
    pending->on_done = std::move(done);
    this->pending_requests[pending->id] = pending;
    this->shared.retries.record_request(this->service, now);
    pending->deadline_timer = this->shared.owner.after(
        std::max<duration>(duration::zero(), pending->request.deadline - now),
        [this, pending] { this->handle_deadline(pending); });
    if (!this->check_timer) {
        this->check_timer =
            this->shared.owner.every(check_interval, [this] { this->check_running_requests(); });
    }
    const balancer_request_id id = pending->id;
    this->dispatch(pending);
    return id;
}

void balancer::cancel(balancer_request_id id) {
    const auto found = this->pending_requests.find(id);
    if (found == this->pending_requests.end()) {
        return;
    }
    const pending_request_ptr pending = found->second;
    this->forget(pending);
    cancel_attempts(*pending);
    this->dispatch_queued();
}

/// Sends, queues or refuses a request that has no running attempt.
void balancer::dispatch(const pending_request_ptr& pending) {
    const time_point now = boot_clock::now();
    if (pending->request.deadline - now < min_time_left) {
        ++this->counters.refused_not_in_time;
        this->finish_with_error(pending, {error_kind::overloaded, "no time left to run it"},
                                std::nullopt);
        return;
    }
    if (this->has_lost_targets(now)) {
        this->refuse_unknown_targets(pending);
        return;
    }
    if (this->is_quarantined(*pending, now)) {
        this->refuse_quarantined(pending);
        return;
    }
    if (this->admission.queue().size() == 0) {
        if (const target_ptr chosen = this->choose(*pending, now); chosen != nullptr) {
            this->send(pending, chosen);
            return;
        }
        this->record_if_held(*pending, now);
    }
    const auto wait =
        this->targets.time_to_target(pending->tried_targets, now, pending->request.regions);
    if (!wait && this->refuse_for_warm_up(pending)) {
        return;
    }
    if (!wait || now + *wait + min_time_left > pending->request.deadline) {
        this->refuse_without_target(pending, wait);
        return;
    }
    this->enqueue(pending, *wait);
}

/// \param wait time until a target accepts requests again, if known
void balancer::refuse_without_target(const pending_request_ptr& pending,
                                     std::optional<duration> wait) {
    const time_point now = boot_clock::now();
    ++this->counters.refused_no_target;
    std::string detail = "the service has no target for it";
    if (!wait && this->targets.has_evacuated_targets(now, pending->request.regions)) {
        ++this->counters.refused_evacuated;
        detail = "all targets for it are in evacuated failure domains";
    } else if (!wait && this->targets.time_to_target(pending->tried_targets, now)) {
        ++this->counters.refused_regions;
        detail = "no target for it is in its allowed regions";
    }
    const duration retry_after =
        std::max<duration>(min_retry_after, wait.value_or(duration::zero()));
    this->finish_with_error(pending, {error_kind::no_target, std::move(detail)},
                            this->admission.spread(retry_after));
}

/// Refuses the queued requests that no target can take any more because of evacuations or of their
/// allowed regions. Others wait for a target that may return.
void balancer::refuse_queued_without_target() {
    const time_point now = boot_clock::now();
    const bool has_evacuated = this->targets.has_evacuated_targets(now);
    std::vector<pending_request_ptr> refused;
    for (const auto& [id, pending] : this->pending_requests) {
        const allowed_regions& regions = pending->request.regions;
        const bool is_concerned =
            pending->attempts.empty() && (has_evacuated || regions.restricted);
        if (is_concerned && !this->targets.time_to_target(pending->tried_targets, now, regions)) {
            refused.push_back(pending);
        }
    }
    for (const pending_request_ptr& pending : refused) {
        if (!this->refuse_for_warm_up(pending)) {
            this->refuse_without_target(pending, std::nullopt);
        }
    }
}

/// Counts and logs, once, a request for which no target was chosen because none with a free slot
/// has room for its body.
void balancer::record_if_held(pending_request& pending, time_point now) {
    if (pending.held_for_memory || !this->lacks_only_memory(pending, now)) {
        return;
    }
    pending.held_for_memory = true;
    ++this->counters.held_for_memory;
    log_event(log_level::info, "request_held_for_memory",
              {{"id", pending.request.id},
               {"service", this->service.value},
               {"body_bytes", std::to_string(counted_body_bytes(pending))}});
}

/// Whether a request for which no target was chosen could be sent if its body were small.
bool balancer::lacks_only_memory(const pending_request& pending, time_point now) const {
    return counted_body_bytes(pending) > 0 && this->knows_targets(now) &&
           this->targets.has_room_for_small_body(pending.tried_targets, now,
                                                 pending.request.regions);
}

/// Whether what is known of the targets is young enough to send to them. Requests may have waited
/// since they came.
bool balancer::knows_targets(time_point now) const {
    return !this->shared.directory.is_superseded(now - this->options.max_registrations_age);
}

/// Whether what is known of the targets is too old for longer than a renewal usually takes. Until
/// then requests wait in the queue, as no target is chosen.
bool balancer::has_lost_targets(time_point now) const {
    return this->shared.directory.is_superseded(now - this->options.max_registrations_age -
                                                renewal_time);
}

void balancer::refuse_unknown_targets(const pending_request_ptr& pending) {
    ++this->counters.refused_no_target;
    this->finish_with_error(pending,
                            {error_kind::no_target, "the registrations cannot be confirmed"},
                            this->admission.spread(min_retry_after));
}

/// Whether the request was found to crash targets, perhaps while it waited.
bool balancer::is_quarantined(const pending_request& pending, time_point now) const {
    return this->shared.retries.is_quarantined(pending.request.fingerprint, now);
}

void balancer::refuse_quarantined(const pending_request_ptr& pending) {
    this->finish_with_error(
        pending, {error_kind::request_quarantined, "targets crash on this request"}, std::nullopt);
}

/// Refuses the request if only targets in warm-up are left for it, which may not be sent more.
/// Waiting would hold it for longer than their small rate is worth.
bool balancer::refuse_for_warm_up(const pending_request_ptr& pending) {
    const auto retry_after = this->targets.refuse_for_warm_up(
        pending->tried_targets, boot_clock::now(), pending->request.regions);
    if (retry_after) {
        this->finish_with_error(
            pending, {error_kind::overloaded, "only targets in warm-up are left"}, retry_after);
    }
    return retry_after.has_value();
}

target_ptr balancer::choose(const pending_request& pending, time_point now) {
    if (!this->knows_targets(now)) {
        return nullptr;
    }
    return this->targets.choose(pending.tried_targets, kind_of_next_attempt(pending), now,
                                pending.request.regions, counted_body_bytes(pending));
}

void balancer::send(const pending_request_ptr& pending, const target_ptr& target) {
    ++this->counters.sent;
    this->targets.record_send(*target, boot_clock::now());
    this->sender.send(pending, target, this->latency_model_of(*pending->request.route));
}

void balancer::handle_outcome(const pending_request_ptr& pending, request_attempt& ended,
                              http_outcome outcome) {
    const ended_attempt kept{ended.target, ended.started, ended.reused, ended.idle_before};
    const duration response_time = boot_clock::now() - ended.started;
    std::unique_ptr<http_connection> connection = std::move(ended.connection);
    if (!outcome) {
        this->evidence.record_crash(ended, outcome.error(), boot_clock::now());
    }
    remove_attempt(*pending, ended);
    if (outcome) {
        this->targets.keep_connection(*kept.target, std::move(connection));
        this->handle_response(pending, kept.target, response_time, std::move(*outcome));
    } else {
        this->handle_failure(pending, kept, outcome.error());
    }
    this->dispatch_queued();
}

void balancer::handle_response(const pending_request_ptr& pending, const target_ptr& target,
                               duration response_time, http_response answer) {
    const time_point now = boot_clock::now();
    this->evidence.record_response(*pending, target, response_time, answer, now);
    switch (classify_response(answer, this->options.headers)) {
    case response_kind::misdirected:
    case response_kind::not_executed:
        this->handle_not_executed(pending);
        return;
    case response_kind::unsigned_success:
        pending->may_have_run = true;
        this->retry_or_fail(pending, {error_kind::target_failed, "an answer without a signature"});
        return;
    case response_kind::server_error:
        pending->may_have_run = true;
        if (!pending->attempts.empty()) {
            // A second attempt is still running and may succeed.
            return;
        }
        if (may_retry(*pending, now)) {
            this->retry_or_fail(pending, {error_kind::target_failed, "error answer"});
            return;
        }
        break;
    case response_kind::usable:
        pending->may_have_run = true;
        this->latency_model_of(*pending->request.route).record(response_time);
        break;
    }
    this->finish(pending, proxied_response{std::move(answer), target->id(), pending->send_count,
                                           response_time,
                                           *pending->first_sent - pending->request.arrived_at});
}

/// Handles a response which says that the target did not run the request.
void balancer::handle_not_executed(const pending_request_ptr& pending) {
    ++this->counters.not_executed;
    if (!pending->attempts.empty()) {
        return;
    }
    const bool may_retry_now = pending->send_count < pending->request.route->max_attempts + 1 &&
                               this->shared.retries.take_retry(this->service, boot_clock::now());
    if (may_retry_now) {
        ++this->counters.retried;
        this->dispatch(pending);
        return;
    }
    this->refuse_overloaded(pending, "the targets have no room", duration::zero());
}

void balancer::handle_failure(const pending_request_ptr& pending, const ended_attempt& ended,
                              const http_failure& failure) {
    ++this->counters.failed_attempts;
    this->evidence.record_failure(*pending, ended, failure, boot_clock::now());
    const bool is_unsent = failure.progress == send_progress::not_sent;
    if (is_unsent) {
        --pending->send_count;
    } else {
        pending->may_have_run = true;
    }
    if (!pending->attempts.empty()) {
        return;
    }
    if (is_unsent && !pending->may_have_run) {
        if (ended.reused) {
            pending->tried_targets.erase(ended.target->id());
        }
        this->dispatch(pending);
        return;
    }
    this->retry_or_fail(pending, failure.problem);
}

/// Retries a request after its last running attempt has failed, now or when a target is free, or
/// ends it with \p problem.
void balancer::retry_or_fail(const pending_request_ptr& pending, const error& problem) {
    if (!pending->attempts.empty()) {
        return;
    }
    const time_point now = boot_clock::now();
    if (!this->is_quarantined(*pending, now) && may_retry(*pending, now)) {
        const target_ptr next = this->choose(*pending, now);
        if (next == nullptr && this->wait_for_retry(pending, problem)) {
            return;
        }
        if (next != nullptr && this->shared.retries.take_retry(this->service, now)) {
            ++this->counters.retried;
            this->send(pending, next);
            return;
        }
    }
    this->finish_with_error(pending, problem, std::nullopt);
}

/// Queues a request for its next attempt if a target may be free for it before its deadline.
bool balancer::wait_for_retry(const pending_request_ptr& pending, const error& problem) {
    const time_point now = boot_clock::now();
    const auto wait =
        this->targets.time_to_target(pending->tried_targets, now, pending->request.regions);
    const latency_model& model = this->latency_model_of(*pending->request.route);
    if (!wait || !this->admission.may_wait(*pending, model, *wait, now)) {
        return false;
    }
    pending->retried_problem = problem;
    this->admission.push(*pending, model, now);
    return true;
}

/// Ejects targets whose responses are overdue, and hedges slow requests.
void balancer::check_running_requests() {
    const time_point now = boot_clock::now();
    this->targets.check_running_targets(now);
    this->targets.set_queued(this->queued());
    std::vector<pending_request_ptr> running;
    for (const auto& [id, pending] : this->pending_requests) {
        if (pending->attempts.size() == 1) {
            running.push_back(pending);
        }
    }
    for (const pending_request_ptr& pending : running) {
        this->hedge_if_slow(pending, now);
    }
    this->dispatch_queued();
    this->drop_hopeless(now);
    if (this->pending_requests.empty()) {
        this->check_timer = timer();
    }
}

void balancer::hedge_if_slow(const pending_request_ptr& pending, time_point now) {
    if (pending->attempts.size() != 1 || !may_retry(*pending, now)) {
        return;
    }
    const request_attempt& current = pending->attempts.front();
    const traffic_route& route = *pending->request.route;
    const slow_attempt running{now - current.started, now < current.target->evidence.ejected_until};
    if (!is_hedge_due(running, this->latency_model_of(route), route.latency_target)) {
        return;
    }
    if (this->is_quarantined(*pending, now)) {
        return;
    }
    const target_ptr next = this->choose(*pending, now);
    if (next == nullptr || !this->shared.retries.take_retry(this->service, now)) {
        return;
    }
    ++this->counters.retried;
    log_event(log_level::info, "request_resent",
              {{"id", pending->request.id},
               {"from", current.target->id().value},
               {"to", next->id().value},
               {"age_ms", format_ms(running.age)},
               {"suspect", running.target_ejected ? "yes" : "no"}});
    this->send(pending, next);
}

/// Lets a request wait for a free target, behind those that wait already, or refuses it.
/// \param pause time for which no target accepts requests
void balancer::enqueue(const pending_request_ptr& pending, duration pause) {
    const time_point now = boot_clock::now();
    const latency_model& model = this->latency_model_of(*pending->request.route);
    admission_queue& queue = this->admission.queue();
    const bool may_wait = this->admission.may_wait(*pending, model, pause, now);
    const bool is_first = queue.size() == 0;
    if (may_wait || !is_first) {
        this->admission.push(*pending, model, now);
    }
    if (!is_first) {
        this->dispatch_queued();
    }
    if (!may_wait && (is_first || queue.remove(pending->id.value, now))) {
        ++this->counters.refused_not_in_time;
        this->refuse_overloaded(pending, "it could not be served in time", pause);
    }
}

/// Refuses a request which no target has run, with the time after which there is room for it.
void balancer::refuse_overloaded(const pending_request_ptr& pending, const std::string& reason,
                                 duration pause) {
    this->finish_with_error(pending, {error_kind::overloaded, reason},
                            this->admission.retry_after(*pending, pause, boot_clock::now()));
}

/// Refuses the queued requests that cannot be served before their deadline.
void balancer::drop_hopeless(time_point now) {
    for (const std::uint64_t id : this->admission.queue().take_hopeless(now)) {
        const auto found = this->pending_requests.find(balancer_request_id{id});
        if (found == this->pending_requests.end()) {
            continue;
        }
        const pending_request_ptr pending = found->second;
        ++this->counters.dropped_from_queue;
        if (pending->retried_problem) {
            this->finish_with_error(pending, *pending->retried_problem, std::nullopt);
        } else {
            this->refuse_overloaded(pending, "no target was free for it in time", duration::zero());
        }
    }
}

void balancer::refuse_queued(time_point now) {
    std::vector<pending_request_ptr> queued;
    for (const std::uint64_t id : this->admission.queue().take_all(now)) {
        const auto found = this->pending_requests.find(balancer_request_id{id});
        if (found != this->pending_requests.end()) {
            queued.push_back(found->second);
        }
    }
    for (const pending_request_ptr& pending : queued) {
        this->refuse_unknown_targets(pending);
    }
}

/// Sends queued requests until no target is free for one.
void balancer::dispatch_queued() {
    if (this->admission.queue().size() == 0) {
        return;
    }
    const time_point now = boot_clock::now();
    if (this->has_lost_targets(now)) {
        this->refuse_queued(now);
        return;
    }
    this->admission.queue().set_paused(!this->knows_targets(now), now);
    std::vector<pending_request_ptr> ended;
    this->admission.queue().offer(
        [&](std::uint64_t id) {
            const auto found = this->pending_requests.find(balancer_request_id{id});
            if (found == this->pending_requests.end()) {
                return offer_result::ended;
            }
            const offer_result result = this->offer(found->second, now);
            if (result == offer_result::ended) {
                ended.push_back(found->second);
            }
            return result;
        },
        now);
    for (const pending_request_ptr& pending : ended) {
        if (this->is_quarantined(*pending, now)) {
            this->refuse_quarantined(pending);
        } else if (pending->retried_problem) {
            this->finish_with_error(pending, *pending->retried_problem, std::nullopt);
        } else if (!this->refuse_for_warm_up(pending)) {
            this->dispatch(pending);
        }
    }
}

/// Sends a queued request if a target is free. It ends if it was found to crash targets, if no
/// retry is left for it, or if only targets in warm-up are left.
offer_result balancer::offer(const pending_request_ptr& pending, time_point now) {
    if (this->is_quarantined(*pending, now)) {
        return offer_result::ended;
    }
    const target_ptr chosen = this->choose(*pending, now);
    if (chosen == nullptr &&
        this->targets.has_only_limited(pending->tried_targets, now, pending->request.regions)) {
        return offer_result::ended;
    }
    if (chosen == nullptr) {
        this->record_if_held(*pending, now);
        const bool is_only_for_it = !pending->tried_targets.empty() ||
                                    pending->request.regions.restricted ||
                                    this->lacks_only_memory(*pending, now);
        return is_only_for_it ? offer_result::no_target_for_it : offer_result::no_target;
    }
    if (pending->retried_problem) {
        if (!this->shared.retries.take_retry(this->service, now)) {
            return offer_result::ended;
        }
        ++this->counters.retried;
        pending->retried_problem.reset();
    }
    this->send(pending, chosen);
    return offer_result::sent;
}

/// Ends a request at its deadline.
void balancer::handle_deadline(const pending_request_ptr& pending) {
    const time_point now = boot_clock::now();
    for (request_attempt& current : pending->attempts) {
        // A target whose connection is not established yet has not received the request.
        pending->may_have_run = pending->may_have_run || !current.connection->is_unsent();
        this->targets.record_timeout(*current.target, current.started, now);
    }
    cancel_attempts(*pending);
    if (pending->may_have_run) {
        this->finish_with_error(pending, {error_kind::deadline_exceeded, "no answer in time"},
                                std::nullopt);
    } else {
        this->finish_with_error(pending, {error_kind::overloaded, "no target received it in time"},
                                std::nullopt);
    }
}

void balancer::fail_all() {
    const std::map<balancer_request_id, pending_request_ptr> running = this->pending_requests;
    for (const auto& [id, pending] : running) {
        this->handle_deadline(pending);
    }
}

/// Ends a request without a target's response.
void balancer::finish_with_error(const pending_request_ptr& pending, const error& problem,
                                 std::optional<duration> retry_after) {
    this->finish(pending,
                 tl::unexpected(make_failure(*pending, problem, retry_after, boot_clock::now())));
}

/// Removes a request that ends from everything but its running attempts.
void balancer::forget(const pending_request_ptr& pending) {
    this->pending_requests.erase(pending->id);
    if (this->admission.queue().size() > 0) {
        this->admission.queue().remove(pending->id.value, boot_clock::now());
    }
    pending->deadline_timer = timer();
}

void balancer::finish(const pending_request_ptr& pending, proxy_outcome outcome) {
    const auto found = this->pending_requests.find(pending->id);
    if (found == this->pending_requests.end()) {
        return;
    }
    this->forget(pending);
    cancel_attempts(*pending);
    pending->on_done(std::move(outcome));
}

} // namespace knapweedknot
