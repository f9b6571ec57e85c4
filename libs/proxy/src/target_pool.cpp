#include "proxy/target_pool.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

// Failures below this are not worth reporting.
constexpr double negligible_doubt = 0.1;

/// \p value with one digit behind the point.
std::string tenths_text(double value) {
    constexpr long parts = 10;
    const long tenths = std::lround(value * parts);
    return std::to_string(tenths / parts) + '.' + std::to_string(tenths % parts);
}

/// Sum over what this instance runs at \p target of how unusual it is that it still runs.
double own_silence(const pooled_target& target, time_point now) {
    double silence = 0;
    for (const running_attempt* made : target.running) {
        silence -= std::log(made->model->survival(now - made->started));
    }
    return silence;
}

} // namespace

bool pooled_target::takes_work(time_point now) const {
    return !this->removed && !this->misdirected && !this->known.vanished &&
           this->known.registration.state == target_state::ready && now >= this->known.seen;
}

target_pool::target_pool(service_id owned, const target_directory& listed,
                         const fleet_reports& heard, const target_pool_options& pool_options)
    : service(std::move(owned)), directory(listed), reports(heard), options(pool_options),
      random(static_cast<std::minstd_rand::result_type>(random_nonzero())) {
    this->update();
}

void target_pool::update() {
    const auto& listed = this->directory.targets_of(this->service);
    for (auto& [id, target] : this->targets) {
        const auto kept = listed.find(id);
        if (kept == listed.end() || kept->second.run != target->known.run) {
            target->removed = true;
            target->idle.clear();
        }
    }
    std::erase_if(this->targets, [](const auto& item) { return item.second->removed; });
    for (const auto& [id, known] : listed) {
        const auto [place, is_new] = this->targets.try_emplace(id);
        if (is_new) {
            place->second = std::make_shared<pooled_target>();
            place->second->hash = hash64(id.value);
        }
        place->second->known = known;
    }
}

target_standing target_pool::standing_of(const pooled_target& target, time_point now) const {
    const target_use peers = this->reports.total_at(target.hash, now);
    target_standing standing;
    standing.running = static_cast<int>(target.running.size()) + peers.running;
    standing.silence = own_silence(target, now) + peers.silence;
    standing.failures =
        failure_doubt(target.evidence, this->options.rotation, now) + peers.failures;
    return standing;
}

std::vector<target_candidate> target_pool::candidates(const std::set<target_id>& tried,
                                                      time_point now) const {
    std::vector<target_candidate> all;
    all.reserve(this->targets.size());
    for (const auto& [id, target] : this->targets) {
        const registered_target& registration = target->known.registration;
        target_candidate candidate;
        candidate.evidence = &target->evidence;
        candidate.standing = this->standing_of(*target, now);
        candidate.slots = registration.slots;
        candidate.registered = target->takes_work(now);
        candidate.excluded = tried.contains(id);
        candidate.connected = !target->idle.empty();
        candidate.nearby = registration.failure_domain == this->options.failure_domain;
        candidate.warming_up = now - target->known.seen < registration.warm_up_left;
        all.push_back(candidate);
    }
    return all;
}

target_ptr target_pool::choose(const std::set<target_id>& tried, loss if_lost, time_point now) {
    const auto chosen = choose_target(this->candidates(tried, now), this->options.rotation, if_lost,
                                      this->random, now);
    if (!chosen) {
        return nullptr;
    }
    return std::next(this->targets.begin(), static_cast<std::ptrdiff_t>(*chosen))->second;
}

bool target_pool::has_target(const std::set<target_id>& tried, time_point now) const {
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& item) {
        return item.second->takes_work(now) && !tried.contains(item.first);
    });
}

int target_pool::capacity(time_point now) const {
    int slots = 0;
    for (const auto& [id, target] : this->targets) {
        slots += target->takes_work(now) ? target->known.registration.slots : 0;
    }
    return slots;
}

std::pair<std::size_t, std::size_t> target_pool::rotation_size(time_point now) const {
    std::size_t registered = 0;
    std::size_t out = 0;
    for (const auto& [id, target] : this->targets) {
        registered += target->takes_work(now) ? 1 : 0;
        out += target->takes_work(now) && now < target->evidence.out_until ? 1 : 0;
    }
    return {registered, out};
}

void target_pool::note_failure(pooled_target& target, double doubt, time_point now) {
    knapweedknot::note_failure(target.evidence, doubt, this->options.rotation, now);
}

void target_pool::note_success(pooled_target& target, time_point now) {
    knapweedknot::note_success(target.evidence, this->options.rotation, now);
}

void target_pool::judge_target(pooled_target& target, time_point now) {
    const target_standing standing = this->standing_of(target, now);
    if (!judge(target.evidence, standing, this->options.rotation, now)) {
        return;
    }
    ++this->taken_out_count;
    log_event(log_level::warning, "target_taken_out",
              {{"service", this->service.value},
               {"target", target.id().value},
               {"running", std::to_string(standing.running)},
               {"silence", tenths_text(standing.silence)},
               {"failures", tenths_text(standing.failures)},
               {"for_ms", std::to_string(to_milliseconds(target.evidence.out_until - now))}});
}

void target_pool::judge_running(time_point now) {
    for (const auto& [id, target] : this->targets) {
        if (!target->running.empty()) {
            this->judge_target(*target, now);
        }
    }
}

std::unique_ptr<http_connection> target_pool::take_connection(pooled_target& target,
                                                              duration limit) {
    while (!target.idle.empty()) {
        std::unique_ptr<http_connection> newest = std::move(target.idle.back());
        target.idle.pop_back();
        if (newest->is_reusable() && newest->idle_time() < limit) {
            return newest;
        }
    }
    return nullptr;
}

void target_pool::keep_connection(pooled_target& target,
                                  std::unique_ptr<http_connection> connection) const {
    if (!target.removed && connection->is_reusable() &&
        target.idle.size() < this->options.idle_connections) {
        target.idle.push_back(std::move(connection));
    }
}

void target_pool::report(fleet_report& report, time_point now) const {
    for (const auto& [id, target] : this->targets) {
        target_use use;
        use.running = static_cast<int>(target->running.size());
        use.silence = own_silence(*target, now);
        use.failures = failure_doubt(target->evidence, this->options.rotation, now);
        use.out = std::max(duration::zero(), target->evidence.out_until - now);
        if (use.running > 0 || use.failures > negligible_doubt || use.out > duration::zero()) {
            report.targets[target->hash] = use;
        }
    }
}

void target_pool::follow(const fleet_report& report, time_point now) {
    for (const auto& [id, target] : this->targets) {
        const auto told = report.targets.find(target->hash);
        if (told != report.targets.end() &&
            follow_judgement(target->evidence, report.targets_told + told->second.out, now)) {
            log_event(log_level::debug, "target_out_as_told",
                      {{"service", this->service.value}, {"target", id.value}});
        }
    }
}

} // namespace knapweedknot
