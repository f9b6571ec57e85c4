#include "proxy/balancer.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration look_interval = milliseconds(40);
// Work with less time left than this is not started.
constexpr duration least_time_left = milliseconds(5);
// A caller that was refused for want of room may find some after this time, at the earliest.
constexpr duration least_retry_after = milliseconds(300);
constexpr duration longest_retry_after = milliseconds(3000);
constexpr int status_ok_first = 200;
constexpr int status_ok_last = 299;
constexpr int status_misdirected = 421;
constexpr int lowest_server_error = 500;

bool is_success(int status) {
    return status >= status_ok_first && status <= status_ok_last;
}

std::string ms_text(duration value) {
    return std::to_string(to_milliseconds(value));
}

} // namespace

/// One send of a request.
struct balancer::attempt : running_attempt {
    target_ptr at;
    std::unique_ptr<http_connection> connection;
    bool reused{false};
};

/// A request and its attempts.
struct balancer::job {
    balancer_ticket ticket;
    proxied_request wanted;
    proxy_handler done;
    std::list<attempt> attempts;
    std::set<target_id> tried;
    int sent{0};
    /// True when a target may have run it.
    bool may_have_run{false};
    target_id last_target;
    std::optional<time_point> first_sent;
    timer due;
};

balancer::balancer(service_id balanced, const balancer_services& common,
                   const balancer_options& balancer_settings)
    : service(std::move(balanced)), shared(common), options(balancer_settings),
      targets(this->service, common.directory, common.reports, balancer_settings.targets) {}

balancer::~balancer() {
    for (auto& [ticket, work] : this->jobs) {
        this->drop_attempts(*work);
    }
}

std::size_t balancer::queued() const noexcept {
    std::size_t total = 0;
    for (const auto& [priority, queue] : this->waiting) {
        total += queue.size();
    }
    return total;
}

void balancer::update_targets() {
    this->targets.update();
    this->serve_waiting();
}

latency_model& balancer::model_of(const traffic_route& route) {
    return this->models.try_emplace(route.id, route.latency_target).first->second;
}

/// Time after which a request that may run twice is sent to a second target: when most answers
/// would have come, but early enough for the second one to be in time.
duration balancer::resend_delay(const traffic_route& route) {
    constexpr double most = 0.93;
    constexpr double many = 0.75;
    constexpr double half = 0.5;
    const latency_model& model = this->model_of(route);
    const duration in_time = route.latency_target - model.quantile(many);
    return std::min(model.quantile(most), std::max(model.quantile(half), in_time));
}

balancer_ticket balancer::start(proxied_request&& request, proxy_handler done) {
    const time_point now = boot_clock::now();
    auto work = std::make_shared<job>();
    work->ticket = balancer_ticket{++this->last_ticket};
    work->wanted = std::move(request);
    work->done = std::move(done);
    this->jobs[work->ticket] = work;
    this->shared.resends.note_request(this->service, now);
    work->due =
        this->shared.owner.after(std::max<duration>(duration::zero(), work->wanted.due - now),
                                 [this, work] { this->run_out(work); });
    if (!this->looking) {
        this->looking = this->shared.owner.every(look_interval, [this] { this->look(); });
    }
    const balancer_ticket ticket = work->ticket;
    this->place(work);
    return ticket;
}

void balancer::cancel(balancer_ticket ticket) {
    const auto found = this->jobs.find(ticket);
    if (found == this->jobs.end()) {
        return;
    }
    const job_ptr work = found->second;
    this->jobs.erase(found);
    work->due = timer();
    this->drop_attempts(*work);
    this->serve_waiting();
}

void balancer::drop_attempts(job& work) {
    for (attempt& made : work.attempts) {
        std::erase(made.at->running, &made);
        made.connection->cancel();
    }
    work.attempts.clear();
}

/// Sends a request that has no attempt running, lets it wait, or refuses it.
void balancer::place(const job_ptr& work) {
    const time_point now = boot_clock::now();
    if (work->wanted.due - now < least_time_left) {
        this->refuse(work, {error_kind::overloaded, "no time left to run it"}, std::nullopt);
        return;
    }
    if (const target_ptr chosen = this->choose(*work, now); chosen != nullptr) {
        this->send(work, chosen);
        return;
    }
    if (!this->targets.has_target(work->tried, now)) {
        this->refuse(work, {error_kind::no_target, "the service has no target for it"},
                     least_retry_after);
        return;
    }
    this->wait(work);
}

target_ptr balancer::choose(const job& work, time_point now) {
    const bool repeatable =
        work.wanted.route->idempotent && work.sent + 1 < work.wanted.route->max_attempts;
    return this->targets.choose(work.tried, repeatable ? loss::repeatable : loss::final, now);
}

void balancer::send(const job_ptr& work, const target_ptr& at) {
    const time_point now = boot_clock::now();
    attempt& made = work->attempts.emplace_back();
    made.at = at;
    made.started = now;
    made.model = &this->model_of(*work->wanted.route);
    made.connection = target_pool::take_connection(*at, work->wanted.route->idempotent
                                                            ? this->options.idle_limit
                                                            : this->options.idle_limit_once_only);
    made.reused = made.connection != nullptr;
    if (made.connection == nullptr) {
        const registered_target& where = at->known.registration;
        made.connection = std::make_unique<http_connection>(
            this->shared.owner, endpoint{where.ip, where.port}, this->options.limits);
        ++this->counters.new_connections;
    }
    at->running.push_back(&made);
    at->evidence.last_used = now;
    work->tried.insert(at->id());
    work->last_target = at->id();
    work->first_sent = work->first_sent.value_or(now);
    ++work->sent;
    ++this->counters.sent;
    this->write(work, made);
}

void balancer::write(const job_ptr& work, attempt& made) {
    const header_names& names = this->options.headers;
    http_request message;
    message.method = work->wanted.message.method;
    message.uri = work->wanted.message.uri;
    message.headers = work->wanted.message.headers;
    message.body = copy_body(work->wanted.message.body.get());
    const duration left = work->wanted.due - made.started;
    message.headers.push_back({names.time_left_ms, ms_text(left)});
    message.headers.push_back({names.intended_target, made.at->id().value});
    log_event(log_level::debug, "request_sent",
              {{"id", work->wanted.id},
               {"target", made.at->id().value},
               {"attempt", std::to_string(work->sent)},
               {"reused", made.reused ? "yes" : "no"},
               {"left_ms", ms_text(left)}});
    // The attempt stays where it is until it has ended.
    made.connection->send(message, left + look_interval,
                          [this, work, sent = &made](http_outcome outcome) {
                              this->handle_outcome(work, *sent, std::move(outcome));
                          });
}

void balancer::handle_outcome(const job_ptr& work, attempt& ended, http_outcome outcome) {
    const target_ptr at = ended.at;
    const duration spent = boot_clock::now() - ended.started;
    const bool reused = ended.reused;
    std::unique_ptr<http_connection> connection = std::move(ended.connection);
    std::erase(at->running, &ended);
    work->attempts.remove_if([&ended](const attempt& item) { return &item == &ended; });
    if (outcome) {
        this->targets.keep_connection(*at, std::move(connection));
        this->handle_answer(work, at, spent, std::move(*outcome));
    } else {
        this->handle_failure(work, at, outcome.error(), reused);
    }
    this->serve_waiting();
}

void balancer::handle_answer(const job_ptr& work, const target_ptr& at, duration spent,
                             http_answer answer) {
    const time_point now = boot_clock::now();
    const header_names& names = this->options.headers;
    if (answer.status == status_misdirected ||
        find_header(answer.headers, names.not_run) != nullptr) {
        this->handle_refusal(work, at, answer);
        return;
    }
    work->may_have_run = true;
    const bool is_own = find_header(answer.headers, names.signature) != nullptr;
    if (is_success(answer.status) && !is_own) {
        this->targets.note_failure(*at, doubt_of_broken_exchange, now);
        this->targets.judge_target(*at, now);
        this->try_elsewhere(work, {error_kind::target_failed, "an answer without a signature"});
        return;
    }
    this->shared.resends.note_survived(work->wanted.fingerprint);
    if (answer.status >= lowest_server_error) {
        this->targets.note_failure(*at, doubt_of_error_answer, now);
        this->targets.judge_target(*at, now);
        if (!work->attempts.empty()) {
            // Another target still runs it and may do better.
            return;
        }
        if (this->may_resend(*work, now)) {
            this->try_elsewhere(work, {error_kind::target_failed, "error answer"});
            return;
        }
    } else {
        this->targets.note_success(*at, now);
        this->model_of(*work->wanted.route).note(spent);
    }
    this->finish(work, proxied_answer{std::move(answer), at->id(), work->sent, spent,
                                      *work->first_sent - work->wanted.arrived});
}

/// A target has said that it did not run the request.
void balancer::handle_refusal(const job_ptr& work, const target_ptr& at,
                              const http_answer& answer) {
    const time_point now = boot_clock::now();
    ++this->counters.refused_by_targets;
    if (answer.status == status_misdirected) {
        at->misdirected = true;
        at->idle.clear();
        log_event(log_level::warning, "target_misdirected",
                  {{"id", work->wanted.id}, {"target", at->id().value}});
    } else {
        this->targets.note_failure(*at, doubt_of_error_answer, now);
        this->targets.judge_target(*at, now);
    }
    if (!work->attempts.empty()) {
        return;
    }
    const bool in_budget = work->sent < work->wanted.route->max_attempts + 1 &&
                           this->shared.resends.take(this->service, now);
    if (in_budget) {
        ++this->counters.resent;
        this->place(work);
        return;
    }
    this->refuse(work, {error_kind::overloaded, "the targets have no room"}, least_retry_after);
}

void balancer::handle_failure(const job_ptr& work, const target_ptr& at,
                              const http_failure& failure, bool reused) {
    const time_point now = boot_clock::now();
    ++this->counters.failed;
    const bool unsent = failure.progress == send_progress::not_connected;
    // Other idle connections may have died in the same way.
    at->idle.clear();
    log_event(log_level::info, "attempt_failed",
              {{"id", work->wanted.id},
               {"target", at->id().value},
               {"problem", std::string(answer_for(failure.problem.kind).name)},
               {"detail", failure.problem.detail},
               {"sent", unsent ? "no" : "yes"},
               {"reused", reused ? "yes" : "no"}});
    if (unsent) {
        if (!reused) {
            this->targets.note_failure(*at, doubt_of_failed_connection, now);
        }
        --work->sent;
    } else {
        work->may_have_run = true;
        this->targets.note_failure(*at, doubt_of_broken_exchange, now);
        if (!reused && failure.problem.kind != error_kind::deadline_exceeded) {
            this->shared.resends.note_crash(work->wanted.fingerprint, now);
        }
    }
    this->targets.judge_target(*at, now);
    if (!work->attempts.empty()) {
        return;
    }
    if (unsent && !work->may_have_run) {
        if (reused) {
            work->tried.erase(at->id());
        }
        this->place(work);
        return;
    }
    this->try_elsewhere(work, failure.problem);
}

/// Sends a request once more after its last attempt has failed, or gives it up.
void balancer::try_elsewhere(const job_ptr& work, const error& problem) {
    if (!work->attempts.empty()) {
        return;
    }
    const time_point now = boot_clock::now();
    const bool quarantined = this->shared.resends.is_quarantined(work->wanted.fingerprint, now);
    if (!quarantined && this->may_resend(*work, now)) {
        if (const target_ptr next = this->choose(*work, now);
            next != nullptr && this->shared.resends.take(this->service, now)) {
            ++this->counters.resent;
            this->send(work, next);
            return;
        }
    }
    this->refuse(work, problem, std::nullopt);
}

/// True when the request may go to one more target, budget aside.
bool balancer::may_resend(const job& work, time_point now) {
    return work.wanted.route->idempotent && work.sent < work.wanted.route->max_attempts &&
           work.wanted.due - now > least_time_left;
}

/// Looks for targets that have gone silent and for requests that should go to a second one.
void balancer::look() {
    const time_point now = boot_clock::now();
    this->targets.judge_running(now);
    std::vector<job_ptr> running;
    for (const auto& [ticket, work] : this->jobs) {
        if (work->attempts.size() == 1) {
            running.push_back(work);
        }
    }
    for (const job_ptr& work : running) {
        this->look_at(work, now);
    }
    this->serve_waiting();
    if (this->jobs.empty()) {
        this->looking = timer();
    }
}

void balancer::look_at(const job_ptr& work, time_point now) {
    if (work->attempts.size() != 1 || !this->may_resend(*work, now)) {
        return;
    }
    const attempt& made = work->attempts.front();
    const duration age = now - made.started;
    const bool suspect = now < made.at->evidence.out_until &&
                         age > this->model_of(*work->wanted.route).quantile(0.5);
    if (!suspect && age < this->resend_delay(*work->wanted.route)) {
        return;
    }
    const target_ptr next = this->choose(*work, now);
    if (next == nullptr || !this->shared.resends.take(this->service, now)) {
        return;
    }
    ++this->counters.resent;
    log_event(log_level::info, "request_resent",
              {{"id", work->wanted.id},
               {"from", made.at->id().value},
               {"to", next->id().value},
               {"age_ms", ms_text(age)},
               {"suspect", suspect ? "yes" : "no"}});
    this->send(work, next);
}

/// Time until a waiting request would be sent, by what the targets usually take.
duration balancer::expected_wait(time_point now) {
    duration mean = milliseconds(500);
    if (!this->models.empty()) {
        mean = this->models.begin()->second.mean();
    }
    const double ahead = static_cast<double>(this->queued()) + 1;
    return from_seconds(to_seconds(mean) * ahead / std::max(1, this->targets.capacity(now)));
}

void balancer::wait(const job_ptr& work) {
    const time_point now = boot_clock::now();
    const duration expected = this->expected_wait(now);
    const duration usual = this->model_of(*work->wanted.route).quantile(0.5);
    if (expected + usual > work->wanted.due - now) {
        this->refuse(work, {error_kind::overloaded, "it could not be served in time"},
                     std::clamp<duration>(expected, least_retry_after, longest_retry_after));
        return;
    }
    this->waiting[work->wanted.priority].push(work->wanted.account, work->ticket);
}

void balancer::serve_waiting() {
    const time_point now = boot_clock::now();
    for (auto& [priority, queue] : this->waiting) {
        std::size_t left = queue.size();
        while (left-- > 0) {
            const balancer_ticket ticket = *queue.pop();
            const auto found = this->jobs.find(ticket);
            // A ticket without a job was cancelled or ran out of time.
            if (found == this->jobs.end()) {
                continue;
            }
            const job_ptr work = found->second;
            const target_ptr chosen = this->choose(*work, now);
            if (chosen == nullptr) {
                queue.push(work->wanted.account, ticket);
                return;
            }
            this->send(work, chosen);
        }
    }
}

/// The caller has to have its answer now.
void balancer::run_out(const job_ptr& work) {
    const time_point now = boot_clock::now();
    for (attempt& made : work->attempts) {
        work->may_have_run = true;
        this->targets.note_failure(*made.at, doubt_of_broken_exchange, now);
    }
    this->drop_attempts(*work);
    if (work->may_have_run) {
        this->refuse(work, {error_kind::deadline_exceeded, "no answer in time"}, std::nullopt);
    } else {
        this->refuse(work, {error_kind::overloaded, "no target was free in time"}, std::nullopt);
    }
}

void balancer::give_up_all() {
    const std::map<balancer_ticket, job_ptr> running = this->jobs;
    for (const auto& [ticket, work] : running) {
        this->run_out(work);
    }
}

/// Ends a request without a target's answer. What is promised of it is true whatever \p problem
/// came last: an earlier attempt may have run.
void balancer::refuse(const job_ptr& work, const error& problem,
                      std::optional<duration> retry_after) {
    const duration waited = work->first_sent.value_or(boot_clock::now()) - work->wanted.arrived;
    proxy_refusal refusal{problem,    execution::not_run, retry_after,
                          work->sent, work->last_target,  waited};
    if (work->may_have_run) {
        refusal.outcome = execution::may_have_run;
        refusal.retry_after.reset();
        if (answer_for(problem.kind).outcome == execution::not_run) {
            refusal.problem.kind = error_kind::target_failed;
        }
    }
    this->finish(work, tl::unexpected(std::move(refusal)));
}

void balancer::finish(const job_ptr& work, proxy_outcome outcome) {
    const auto found = this->jobs.find(work->ticket);
    if (found == this->jobs.end()) {
        return;
    }
    this->jobs.erase(found);
    work->due = timer();
    this->drop_attempts(*work);
    work->done(std::move(outcome));
}

} // namespace knapweedknot
