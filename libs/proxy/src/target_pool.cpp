#include "proxy/target_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

// Number of announcements from which those that bind nothing any more are removed.
constexpr std::size_t max_announcements = 1024;
// Failure suspicion below this is not reported.
constexpr double negligible_suspicion = 0.1;
// Assumed response time of a target whose requests are limited by a rate.
constexpr duration usual_response_time = milliseconds(250);

/// Formats \p value with one decimal place.
std::string format_tenths(double value) {
    constexpr long parts = 10;
    const long tenths = std::lround(value * parts);
    return std::to_string(tenths / parts) + '.' + std::to_string(tenths % parts);
}

/// Counted bytes of the attempts of this instance at \p target.
std::uint64_t local_bytes(const pooled_target& target) {
    std::uint64_t total = 0;
    for (const running_attempt* attempt : target.running) {
        total += attempt->counted_bytes;
    }
    return total;
}

/// Converts bytes to the unit of reports, rounded up.
std::uint32_t to_kb(std::uint64_t bytes) {
    constexpr std::uint64_t greatest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(greatest, (bytes + bytes_per_kb - 1) / bytes_per_kb));
}

/// Counts the attempts of this instance at \p target. Attempts that run for unusually long increase
/// the suspicion, unless they were sent before the target was last ejected.
target_status local_status(const pooled_target& target, time_point now) {
    target_status status;
    status.running = static_cast<int>(target.running.size());
    for (const running_attempt* attempt : target.running) {
        if (predates_ejection(target.evidence, attempt->started)) {
            ++status.running_before_ejection;
        } else {
            status.overdue_suspicion -= std::log(attempt->model->survival(now - attempt->started));
        }
    }
    return status;
}

} // namespace

bool pooled_target::accepts_requests(time_point now) const {
    return !this->evacuated && this->is_available(now);
}

bool pooled_target::is_available(time_point now) const {
    return !this->removed && !this->misdirected && !this->announced.leaving &&
           !this->known.vanished_at && this->known.registration.state == target_state::ready &&
           now >= this->known.first_seen;
}

target_pool::target_pool(service_id owned, const target_directory& listed,
                         const report_exchange& heard, const target_pool_options& pool_options)
    : service(std::move(owned)), directory(listed), reports(heard), options(pool_options),
      gate(pool_options.instances),
      random(static_cast<std::minstd_rand::result_type>(random_nonzero())) {
    if (pool_options.assign_targets) {
        this->locality.emplace(this->service, pool_options.failure_domain, heard);
    }
    this->gate.set_limits(this->options.warm_up);
    this->update();
}

void target_pool::update() {
    const auto& listed = this->directory.targets_of(this->service);
    for (auto& [id, target] : this->targets) {
        const auto kept = listed.find(id);
        if (kept == listed.end() || kept->second.generation != target->known.generation) {
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
            place->second->announced = this->announced_state_of(known.registration);
            place->second->warm_up.hash = place->second->hash;
            place->second->warm_up.announced_until = place->second->announced.cold_until;
        }
        place->second->known = known;
        place->second->warm_up.registered_until = known.cold_until;
        place->second->warm_up.is_registration_news = known.is_cold_news;
    }
    this->update_evacuations();
    if (this->locality) {
        this->locality->targets_changed();
    }
}

void target_pool::update_evacuations() {
    if (this->options.evacuations == nullptr) {
        return;
    }
    for (const auto& [id, target] : this->targets) {
        target->evacuated =
            is_evacuated(*this->options.evacuations, target->known.registration.failure_domain);
    }
}

bool target_pool::has_evacuated_targets(time_point now, const allowed_regions& allowed) const {
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& item) {
        const pooled_target& target = *item.second;
        return target.evacuated && target.is_available(now) && this->is_in(allowed, target);
    });
}

bool target_pool::is_in(const allowed_regions& allowed, const pooled_target& target) const {
    static const domain_regions none;
    return is_allowed(allowed, this->options.regions == nullptr ? none : *this->options.regions,
                      target.known.registration.failure_domain);
}

/// Share of its load that the target may get, which is below 1 during the slow start of its failure
/// domain.
double target_pool::share_of(const pooled_target& target, time_point now) const {
    return this->options.evacuations == nullptr
               ? 1
               : open_share(*this->options.evacuations, target.known.registration.failure_domain,
                            this->options.slow_start, now);
}

/// Brings the assignment of the targets and the shares of the failure domains up to date.
void target_pool::update_locality(time_point now) {
    if (!this->locality || !this->locality->is_due(now)) {
        return;
    }
    std::vector<located_target> located;
    located.reserve(this->targets.size());
    for (const auto& [id, target] : this->targets) {
        const registered_target& registration = target->known.registration;
        located.push_back({target->hash, registration.failure_domain,
                           this->capacity_of(*target, now), target->accepts_requests(now),
                           now < target->evidence.ejected_until,
                           static_cast<int>(target->running.size())});
    }
    this->locality->update(located, this->queued, now);
    std::size_t index = 0;
    for (const auto& [id, target] : this->targets) {
        target->assigned = this->locality->assigned()[index++];
    }
    this->options.rotation.placement.same_failure_domain.full_bonus_idle_time =
        overflow_costs.assigned.full_bonus_idle_time * this->locality->serving_in_domain();
}

/// Where \p target is for a request that should go to \p domain.
target_placement target_pool::placement_of(const pooled_target& target,
                                           const failure_domain_id& domain) const {
    if (target.known.registration.failure_domain != domain) {
        return target_placement::other;
    }
    return target.assigned ? target_placement::assigned : target_placement::same_failure_domain;
}

announced_state target_pool::announced_state_of(const registered_target& registration) const {
    const auto found = this->announcements.find(registration.id);
    const bool is_same_process = found != this->announcements.end() &&
                                 found->second.started_unix_ms == registration.started_unix_ms;
    announced_state none;
    none.started_unix_ms = registration.started_unix_ms;
    return is_same_process ? found->second : none;
}

void target_pool::apply_announcement(pooled_target& target, const target_announcement& announcement,
                                     time_point now) {
    if (!announcement.leaving && !announcement.pause && !announcement.warm_up_left) {
        return;
    }
    if (announcement.warm_up_left) {
        target.announced.cold_until = now + *announcement.warm_up_left;
        target.warm_up.announced_until = target.announced.cold_until;
    }
    if (announcement.leaving && !target.announced.leaving) {
        target.announced.leaving = true;
        target.idle.clear();
        log_event(log_level::info, "target_leaving",
                  {{"service", this->service.value}, {"target", target.id().value}});
    }
    if (announcement.pause) {
        target.announced.paused_until =
            std::max<time_point>(target.announced.paused_until, now + *announcement.pause);
        log_event(log_level::info, "target_paused",
                  {{"service", this->service.value},
                   {"target", target.id().value},
                   {"for_ms", std::to_string(to_milliseconds(*announcement.pause))}});
    }
    target.announced.started_unix_ms = target.known.registration.started_unix_ms;
    if (this->announcements.size() >= max_announcements) {
        this->forget_announcements(now);
    }
    this->announcements[target.id()] = target.announced;
    // The registration may have been lost and have returned while the request ran.
    const auto current = this->targets.find(target.id());
    if (current != this->targets.end() && current->second.get() != &target) {
        current->second->announced = this->announced_state_of(current->second->known.registration);
        current->second->warm_up.announced_until = current->second->announced.cold_until;
    }
}

/// Removes announcements of processes that are no longer registered, once they bind nothing.
void target_pool::forget_announcements(time_point now) {
    std::erase_if(this->announcements, [&](const auto& item) {
        return !this->targets.contains(item.first) && now >= item.second.paused_until;
    });
}

fleet_target_state target_pool::fleet_state_of(const pooled_target& target, time_point now) const {
    const registered_target& registration = target.known.registration;
    std::optional<usual_load> usual =
        this->locality
            ? this->locality->usual_load_of(registration.failure_domain, registration.slots)
            : std::nullopt;
    if (usual && target.assigned) {
        // Others use it only in exceptional cases.
        usual->running = 0;
    }
    const target_status peers = this->reports.sum_target_status(target.hash, now, usual);
    const target_status local = local_status(target, now);
    fleet_target_state fleet_state;
    fleet_state.running = local.running + peers.running;
    fleet_state.running_before_ejection =
        local.running_before_ejection + peers.running_before_ejection;
    fleet_state.overdue_suspicion = local.overdue_suspicion + peers.overdue_suspicion;
    fleet_state.failure_suspicion =
        decayed_failure_suspicion(target.evidence, this->options.rotation, now) +
        peers.failure_suspicion;
    return fleet_state;
}

std::vector<target_candidate> target_pool::candidates(const std::set<target_id>& tried,
                                                      const failure_domain_id& domain,
                                                      time_point now,
                                                      const allowed_regions& allowed,
                                                      std::uint64_t body_bytes) const {
    std::vector<target_candidate> all;
    all.reserve(this->targets.size());
    for (const auto& [id, target] : this->targets) {
        const registered_target& registration = target->known.registration;
        target_candidate candidate;
        candidate.local_state = &target->evidence;
        candidate.fleet_state = this->fleet_state_of(*target, now);
        candidate.slots = open_slots(registration.slots, this->share_of(*target, now));
        candidate.registered = target->accepts_requests(now) && this->is_in(allowed, *target);
        candidate.excluded = tried.contains(id) || now < target->announced.paused_until ||
                             !this->gate.may_send(target->warm_up, now);
        candidate.connected = !target->idle.empty();
        candidate.placement = this->placement_of(*target, domain);
        candidate.warming_up = this->is_warming_up(*target, now);
        candidate.trial_delay = target->trial_delay;
        all.push_back(candidate);
    }
    this->consider_memory(all, body_bytes, now);
    return all;
}

void target_pool::consider_memory(std::vector<target_candidate>& all, std::uint64_t body_bytes,
                                  time_point now) const {
    if (body_bytes == 0) {
        return;
    }
    std::vector<std::uint64_t> in_flight;
    in_flight.reserve(this->targets.size());
    for (const auto& [id, target] : this->targets) {
        in_flight.push_back(this->bytes_in_flight(*target, now));
    }
    apply_memory(all, in_flight, body_bytes, this->memory, now);
}

std::uint64_t target_pool::bytes_in_flight(const pooled_target& target, time_point now) const {
    return local_bytes(target) + this->reports.sum_bytes_in_flight(target.hash, now);
}

std::uint64_t target_pool::own_bytes_in_flight() const {
    std::uint64_t total = 0;
    for (const auto& [id, target] : this->targets) {
        total += local_bytes(*target);
    }
    return total;
}

bool target_pool::has_room_for_small_body(const std::set<target_id>& tried, time_point now,
                                          const allowed_regions& allowed) const {
    constexpr std::uint64_t small_body = 0;
    std::minstd_rand unused_random = this->random;
    return choose_target(
               this->candidates(tried, this->options.failure_domain, now, allowed, small_body),
               this->options.rotation, attempt_kind::final, unused_random, now)
        .has_value();
}

target_ptr target_pool::choose(const std::set<target_id>& tried, attempt_kind if_lost,
                               time_point now, const allowed_regions& allowed,
                               std::uint64_t body_bytes) {
    this->update_locality(now);
    const failure_domain_id& domain =
        this->locality ? this->locality->next_domain(this->random) : this->options.failure_domain;
    const std::vector<target_candidate> all =
        this->candidates(tried, domain, now, allowed, body_bytes);
    auto chosen = this->choose_beside_slow_start(all, if_lost, now);
    if (!chosen) {
        chosen = choose_target(all, this->options.rotation, if_lost, this->random, now);
    }
    if (!chosen) {
        return nullptr;
    }
    return std::next(this->targets.begin(), static_cast<std::ptrdiff_t>(*chosen))->second;
}

domain_shares target_pool::shares_by_domain() const {
    return this->locality ? this->locality->shares() : domain_shares();
}

/// Chooses a target while failure domains are in their slow start, without those domains that are
/// not open to this request. Nothing if that leaves out no target, or no other one has room.
std::optional<std::size_t> target_pool::choose_beside_slow_start(std::vector<target_candidate> all,
                                                                 attempt_kind if_lost,
                                                                 time_point now) {
    if (this->options.evacuations == nullptr || this->options.evacuations->empty()) {
        return std::nullopt;
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    bool has_left_out = false;
    auto candidate = all.begin();
    for (const auto& [id, target] : this->targets) {
        if (!target->evacuated && !is_open_to(this->share_of(*target, now), draw)) {
            candidate->excluded = true;
            has_left_out = true;
        }
        ++candidate;
    }
    return has_left_out ? choose_target(all, this->options.rotation, if_lost, this->random, now)
                        : std::nullopt;
}

std::optional<duration> target_pool::time_to_target(const std::set<target_id>& tried,
                                                    time_point now,
                                                    const allowed_regions& allowed) const {
    std::optional<duration> shortest;
    for (const auto& [id, target] : this->targets) {
        if (target->accepts_requests(now) && !tried.contains(id) && this->is_in(allowed, *target) &&
            !this->gate.is_limited(target->warm_up, now)) {
            const duration pause =
                std::max<duration>(duration::zero(), target->announced.paused_until - now);
            shortest = std::min(shortest.value_or(pause), pause);
        }
    }
    return shortest;
}

/// Whether \p target is slower than usual. Where requests to targets in warm-up are not limited, a
/// warm-up counts only if it was stated when the target was first seen.
bool target_pool::is_warming_up(const pooled_target& target, time_point now) const {
    return this->gate.is_enabled()
               ? this->gate.is_cold(target.warm_up, now)
               : now - target.known.first_seen < target.known.registration.warm_up_left;
}

bool target_pool::has_only_limited(const std::set<target_id>& tried, time_point now,
                                   const allowed_regions& allowed) const {
    bool has_limited = false;
    for (const auto& [id, target] : this->targets) {
        if (!target->accepts_requests(now) || tried.contains(id) ||
            !this->is_in(allowed, *target)) {
            continue;
        }
        if (!this->gate.is_limited(target->warm_up, now)) {
            return false;
        }
        has_limited = true;
    }
    return has_limited;
}

std::optional<duration> target_pool::refuse_for_warm_up(const std::set<target_id>& tried,
                                                        time_point now,
                                                        const allowed_regions& allowed) {
    std::vector<target_warm_up*> limited;
    for (const auto& [id, target] : this->targets) {
        if (target->accepts_requests(now) && !tried.contains(id) && this->is_in(allowed, *target) &&
            this->gate.is_limited(target->warm_up, now)) {
            limited.push_back(&target->warm_up);
        }
    }
    if (limited.empty()) {
        return std::nullopt;
    }
    return this->gate.refuse(limited, this->random, now);
}

void target_pool::record_send(pooled_target& target, time_point now) {
    target.evidence.last_used = now;
    this->gate.record_send(target.warm_up, now);
}

void target_pool::log_warm_ups(time_point now) {
    for (const auto& [id, target] : this->targets) {
        if (this->gate.note_phase_change(target->warm_up, now)) {
            const bool is_cold = target->warm_up.was_cold;
            log_event(log_level::info, is_cold ? "target_cold" : "target_warm",
                      {{"service", this->service.value},
                       {"target", id.value},
                       {"own_rate_per_s",
                        is_cold ? format_tenths(this->gate.rate_of(target->warm_up, now)) : "-"}});
        }
    }
}

std::size_t target_pool::cold_targets(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(), [&](const auto& item) {
            return this->gate.is_cold(item.second->warm_up, now);
        }));
}

/// Requests that \p target runs concurrently if it gets as many as this instance may send.
int target_pool::capacity_of(const pooled_target& target, time_point now) const {
    const int slots = open_slots(target.known.registration.slots, this->share_of(target, now));
    if (!this->gate.is_limited(target.warm_up, now)) {
        return slots;
    }
    const double running =
        this->gate.rate_of(target.warm_up, now) * to_seconds(usual_response_time);
    return static_cast<int>(std::min<double>(slots, std::ceil(running)));
}

int target_pool::capacity(time_point now) const {
    int slots = 0;
    int paused_slots = 0;
    for (const auto& [id, target] : this->targets) {
        if (target->accepts_requests(now)) {
            const bool is_paused = now < target->announced.paused_until;
            (is_paused ? paused_slots : slots) += this->capacity_of(*target, now);
        }
    }
    return slots > 0 ? slots : paused_slots;
}

std::pair<std::size_t, std::size_t> target_pool::rotation_counts(time_point now) const {
    std::size_t registered = 0;
    std::size_t ejected = 0;
    for (const auto& [id, target] : this->targets) {
        registered += target->accepts_requests(now) ? 1 : 0;
        ejected += target->accepts_requests(now) && now < target->evidence.ejected_until ? 1 : 0;
    }
    return {registered, ejected};
}

void target_pool::record_failure(pooled_target& target, double suspicion, time_point now) {
    knapweedknot::record_failure(target.evidence, suspicion, this->options.rotation, now);
}

void target_pool::record_timeout(pooled_target& target, time_point sent, time_point now) {
    if (!predates_ejection(target.evidence, sent)) {
        this->record_failure(target, exchange_failure_suspicion, now);
    }
}

void target_pool::record_success(pooled_target& target, time_point sent, time_point now) {
    knapweedknot::record_success(target.evidence, sent, this->options.rotation, now);
    if (this->locality) {
        this->locality->record_response_time(now - sent);
    }
}

void target_pool::record_crash(const pooled_target& target, time_point now) {
    const int slots = target.known.registration.slots;
    const std::uint64_t assumed = assumed_capacity(slots, this->memory, now);
    const std::uint64_t in_flight = this->bytes_in_flight(target, now);
    if (knapweedknot::record_crash(this->memory, in_flight, slots, now)) {
        log_event(log_level::warning, "target_memory_reduced",
                  {{"service", this->service.value},
                   {"target", target.id().value},
                   {"bytes_in_flight", std::to_string(in_flight)},
                   {"assumed_bytes", std::to_string(assumed)},
                   {"for_ms", std::to_string(to_milliseconds(reduced_capacity_time))}});
    }
}

void target_pool::check_target(pooled_target& target, time_point now) {
    const fleet_target_state fleet_state = this->fleet_state_of(target, now);
    if (!eject_if_suspect(target.evidence, fleet_state, this->options.rotation, now)) {
        return;
    }
    this->set_trial_delay(target, now);
    ++this->ejection_count;
    log_event(log_level::warning, "target_taken_out",
              {{"service", this->service.value},
               {"target", target.id().value},
               {"running", std::to_string(fleet_state.running)},
               {"before_ejection", std::to_string(fleet_state.running_before_ejection)},
               {"silence", format_tenths(fleet_state.overdue_suspicion)},
               {"failures", format_tenths(fleet_state.failure_suspicion)},
               {"for_ms", std::to_string(to_milliseconds(target.evidence.ejected_until - now))}});
}

void target_pool::set_trial_delay(pooled_target& target, time_point now) const {
    target.trial_delay = target.assigned ? duration::zero()
                                         : trial_delay(target.hash, this->reports.self(),
                                                       this->reports.serving_peers(now));
}

void target_pool::check_running_targets(time_point now) {
    for (const auto& [id, target] : this->targets) {
        if (!target->running.empty()) {
            this->check_target(*target, now);
        }
    }
}

std::unique_ptr<http_connection> target_pool::take_connection(pooled_target& target,
                                                              duration limit) {
    while (!target.idle.empty()) {
        std::unique_ptr<http_connection> newest = std::move(target.idle.back());
        target.idle.pop_back();
        if (newest->accepts_request() && newest->idle_time() < limit) {
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

void target_pool::add_to_report(instance_report& report, time_point now) const {
    for (const auto& [id, target] : this->targets) {
        target_status status = local_status(*target, now);
        status.failure_suspicion =
            decayed_failure_suspicion(target->evidence, this->options.rotation, now);
        status.ejected_for = std::max(duration::zero(), target->evidence.ejected_until - now);
        if (status.running > 0 || status.failure_suspicion > negligible_suspicion ||
            status.ejected_for > duration::zero()) {
            report.targets[target->hash] = status;
        }
        if (const duration left = this->gate.cold_for(target->warm_up, now);
            left > duration::zero()) {
            report.target_conditions[target->hash].cold_for = left;
        }
        if (const std::uint64_t bytes = local_bytes(*target); bytes > 0) {
            report.target_conditions[target->hash].in_flight_kb = to_kb(bytes);
        }
    }
}

void target_pool::adopt_ejections(const instance_report& report, time_point now) {
    for (const auto& [id, target] : this->targets) {
        const auto reported = report.targets.find(target->hash);
        if (reported != report.targets.end() &&
            adopt_ejection(target->evidence,
                           report.targets_received_at + reported->second.ejected_for,
                           this->options.rotation, now)) {
            this->set_trial_delay(*target, now);
            log_event(log_level::debug, "target_out_as_told",
                      {{"service", this->service.value}, {"target", id.value}});
        }
    }
}

void target_pool::adopt_warm_ups(const instance_report& report, time_point now) {
    if (!this->gate.is_enabled() || report.target_conditions.empty()) {
        return;
    }
    for (const auto& [id, target] : this->targets) {
        const auto reported = report.target_conditions.find(target->hash);
        if (reported == report.target_conditions.end()) {
            continue;
        }
        const time_point until = report.targets_received_at + reported->second.cold_for;
        if (reported->second.cold_for > duration::zero() && until > now) {
            target->warm_up.reported_until =
                std::max(target->warm_up.reported_until, std::optional(until));
        }
    }
}

} // namespace knapweedknot
