#include "fleet/report_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "decide/instance_rank.h"

namespace knapweedknot {

namespace {

constexpr std::uint32_t ready_flag = 1;
constexpr std::uint32_t serving_flag = 2;
constexpr std::uint32_t store_flag = 4;
constexpr std::uint32_t relay_flag = 8;
// Suspicions are sent as integer multiples of this unit.
constexpr double suspicion_unit = 1.0 / 16;
// Least time between two early reports.
constexpr duration early_report_interval = milliseconds(60);
// A serving peer that has not reported for this many serving intervals no longer counts as serving.
constexpr int lost_serving_intervals = 4;
// Time for which the last report of a disconnected peer is kept.
constexpr duration lost_peer_retention = seconds(300);

template <typename Number>
Number clamp_to(double value) {
    constexpr double highest = std::numeric_limits<Number>::max();
    constexpr double lowest = std::numeric_limits<Number>::lowest();
    return static_cast<Number>(std::clamp(std::round(value), lowest, highest));
}

/// Probability that a request that ran \p age ago still runs, for exponential run times.
double still_running_probability(duration age, duration mean_run_time) {
    return std::exp(-to_seconds(age) / to_seconds(mean_run_time));
}

wire::reportT encode(const instance_report& report) {
    wire::reportT message;
    message.flags = (report.ready ? ready_flag : 0) | (report.serving ? serving_flag : 0) |
                    (report.store_reachable ? store_flag : 0) | (report.can_relay ? relay_flag : 0);
    message.uptime_ms =
        clamp_to<std::uint32_t>(static_cast<double>(to_milliseconds(report.uptime)));
    message.request_rate = static_cast<float>(report.request_rate);
    message.policy_number = report.policy_number.value;
    message.targets_revision = report.last_target_change;
    message.in_full = report.has_targets;
    message.next_ms = static_cast<std::uint32_t>(to_milliseconds(report.next_in));
    for (const auto& [account, use] : report.accounts) {
        message.accounts.emplace_back(account, use.admitted, clamp_to<std::int32_t>(use.tokens));
    }
    for (const auto& [service, use] : report.services) {
        message.services.emplace_back(service, use.requests, use.retries);
    }
    for (const auto& [target, use] : report.targets) {
        message.targets.emplace_back(
            target, clamp_to<std::uint16_t>(use.running),
            clamp_to<std::uint16_t>(use.overdue_suspicion / suspicion_unit),
            clamp_to<std::uint16_t>(use.failure_suspicion / suspicion_unit),
            clamp_to<std::uint16_t>(static_cast<double>(to_milliseconds(use.ejected_for))));
        if (use.running_before_ejection > 0) {
            message.before_ejection.emplace_back(
                target, clamp_to<std::uint32_t>(use.running_before_ejection), 0);
        }
    }
    for (const auto& [service, demand] : report.demands) {
        message.loads.emplace_back(service, clamp_to<std::uint16_t>(demand.running),
                                   clamp_to<std::uint16_t>(demand.queued), demand.refused);
    }
    for (const auto& [target, condition] : report.target_conditions) {
        message.target_states.emplace_back(
            target, condition.in_flight_kb,
            clamp_to<std::uint16_t>(static_cast<double>(to_milliseconds(condition.cold_for))),
            clamp_to<std::uint16_t>(condition.concurrency_limit));
    }
    for (const auto& [fingerprint, broken_connections] : report.crashes) {
        message.crashes.emplace_back(fingerprint, broken_connections, 0);
    }
    return message;
}

instance_report decode(const wire::reportT& message) {
    instance_report report;
    report.ready = (message.flags & ready_flag) != 0;
    report.serving = (message.flags & serving_flag) != 0;
    report.store_reachable = (message.flags & store_flag) != 0;
    report.can_relay = (message.flags & relay_flag) != 0;
    report.uptime = milliseconds(message.uptime_ms);
    report.request_rate = message.request_rate;
    report.policy_number.value = message.policy_number;
    report.last_target_change = message.targets_revision;
    report.has_targets = message.in_full;
    report.next_in = milliseconds(message.next_ms);
    for (const wire::account_use& use : message.accounts) {
        report.accounts[use.account()] = {use.admitted(), static_cast<double>(use.tokens())};
    }
    for (const wire::service_use& use : message.services) {
        report.services[use.service()] = {use.requests(), use.resends()};
    }
    for (const wire::target_use& use : message.targets) {
        report.targets[use.target()] = {use.running(), use.silence() * suspicion_unit,
                                        use.failures() * suspicion_unit,
                                        milliseconds(use.out_ms())};
    }
    for (const wire::running_before_ejection& use : message.before_ejection) {
        report.targets[use.target()].running_before_ejection = static_cast<int>(use.running());
    }
    for (const wire::service_load& load : message.loads) {
        report.demands[load.service()] = {load.running(), load.queued(), load.refused()};
    }
    for (const wire::target_state& state : message.target_states) {
        report.target_conditions[state.target()] = {
            state.in_flight_kb(), milliseconds(state.cold_ms()), state.concurrency_limit()};
    }
    for (const wire::crash_note& note : message.crashes) {
        report.crashes[note.fingerprint()] = note.deaths();
    }
    return report;
}

} // namespace

report_exchange::report_exchange(loop& event_loop, mesh& peer_mesh,
                                 const report_options& report_settings)
    : owner(event_loop), network(peer_mesh), options(report_settings),
      started_at(boot_clock::now()) {}

void report_exchange::start() {
    this->tick_timer = this->owner.every(this->options.serving_interval, [this] { this->tick(); });
}

void report_exchange::peer_connected(const peer_info& peer) {
    this->connected[peer.incarnation] = {peer, std::nullopt, boot_clock::now()};
    log_event(
        log_level::info, "peer_connected",
        {{"peer", peer.instance.value}, {"incarnation", std::to_string(peer.incarnation.value)}});
    this->send(peer.incarnation, report_kind::introduction,
               encode_frame(encode(this->make_report(report_kind::introduction))));
}

void report_exchange::send(incarnation_id to, report_kind kind, const std::string& frame) {
    if (this->network.send_frame(to, frame)) {
        sent_reports& counted = this->sent_by_kind[kind];
        ++counted.count;
        counted.bytes += frame.size();
    }
}

/// Removes the counts that serving peers already have.
void report_exchange::remove_unchanged(instance_report& report) {
    std::erase_if(report.accounts, [this](const auto& item) {
        const auto sent = this->sent_accounts.find(item.first);
        return sent != this->sent_accounts.end() && sent->second.admitted == item.second.admitted;
    });
    std::erase_if(report.services, [this](const auto& item) {
        const auto sent = this->sent_services.find(item.first);
        return sent != this->sent_services.end() && sent->second.requests == item.second.requests &&
               sent->second.retries == item.second.retries;
    });
}

void report_exchange::peer_disconnected(const peer_info& peer) {
    const auto found = this->connected.find(peer.incarnation);
    if (found == this->connected.end()) {
        return;
    }
    const reporting_peer lost = std::move(found->second);
    this->connected.erase(found);
    log_event(
        log_level::warning, "peer_lost",
        {{"peer", peer.instance.value},
         {"silent_ms", std::to_string(to_milliseconds(boot_clock::now() - lost.last_heard))}});
    this->retain_report(lost);
    if (this->on_peer_lost) {
        this->on_peer_lost(lost);
    }
}

void report_exchange::retain_report(const reporting_peer& lost) {
    const time_point now = boot_clock::now();
    std::erase_if(this->lost_peers, [now](const auto& item) {
        return now - item.second.last_heard > lost_peer_retention;
    });
    if (lost.report) {
        this->lost_peers.insert_or_assign(lost.info.incarnation, lost);
    }
}

/// Removes and returns the last report of a peer that was connected before, without its targets:
/// their status is out of date.
std::optional<instance_report> report_exchange::take_retained_report(incarnation_id peer) {
    const auto found = this->lost_peers.find(peer);
    if (found == this->lost_peers.end()) {
        return std::nullopt;
    }
    std::optional<instance_report> report = std::move(found->second.report);
    this->lost_peers.erase(found);
    report->targets.clear();
    report->target_conditions.clear();
    return report;
}

void report_exchange::handle(const peer_info& from, const wire::reportT& message) {
    const auto found = this->connected.find(from.incarnation);
    if (found == this->connected.end()) {
        return;
    }
    reporting_peer& peer = found->second;
    std::optional<instance_report> before = std::exchange(peer.report, decode(message));
    if (!before) {
        before = this->take_retained_report(from.incarnation);
    }
    if (before) {
        // Reports omit counts that did not change recently; carry them over.
        peer.report->accounts.insert(before->accounts.begin(), before->accounts.end());
        peer.report->services.insert(before->services.begin(), before->services.end());
    }
    peer.last_heard = boot_clock::now();
    peer.report->received_at = peer.last_heard;
    peer.report->targets_received_at = peer.last_heard;
    if (before && !message.in_full) {
        peer.report->targets = std::move(before->targets);
        peer.report->target_conditions = std::move(before->target_conditions);
        peer.report->targets_received_at = before->targets_received_at;
    }
    if (this->on_report) {
        this->on_report(peer, before ? &*before : nullptr);
    }
    const bool begins_to_serve = peer.report->serving && !(before && before->serving);
    if (begins_to_serve && this->options.introduce_targets && this->serving_since) {
        this->send(from.incarnation, report_kind::full,
                   encode_frame(encode(this->make_report(report_kind::full))));
    }
}

bool report_exchange::is_live(const reporting_peer& peer, time_point now) const noexcept {
    return peer.report && now - peer.last_heard < this->report_timeout(peer);
}

bool report_exchange::is_in_same_domain(const reporting_peer& peer) const {
    return peer.info.failure_domain == this->network.self().failure_domain;
}

duration report_exchange::interval_of(const reporting_peer& peer) const {
    return this->is_in_same_domain(peer) ? this->options.same_domain_interval
                                         : this->options.cross_domain_interval;
}

duration report_exchange::report_timeout(const reporting_peer& peer) const {
    return from_seconds(to_seconds(this->interval_of(peer)) * this->options.timeout_intervals);
}

duration report_exchange::link_timeout(const reporting_peer& peer) const {
    const duration announced = peer.report ? peer.report->next_in : duration::zero();
    const duration interval = std::max(this->interval_of(peer), announced);
    return from_seconds(to_seconds(interval) * this->options.timeout_intervals);
}

/// Whether enough better ranked instances of the failure domain wait to serve, so that the others
/// need not hear of this one soon.
bool report_exchange::is_reserve(time_point now) const {
    if (this->serving_since || now - this->started_at < this->options.prompt_time) {
        return false;
    }
    const peer_info& own = this->network.self();
    const instance_rank own_rank = rank_of(own.instance, own.capacity);
    const auto is_better_spare = [&](const auto& item) {
        const reporting_peer& peer = item.second;
        return this->is_in_same_domain(peer) && this->is_live(peer, now) && peer.report->ready &&
               !peer.report->serving && rank_of(peer.info.instance, peer.info.capacity) < own_rank;
    };
    const auto better =
        std::count_if(this->connected.begin(), this->connected.end(), is_better_spare);
    return static_cast<std::size_t>(better) >= this->options.prompt_spares;
}

std::size_t report_exchange::unreached_count() const noexcept {
    const std::size_t known = this->network.known_addresses();
    return known - std::min(known, this->connected.size());
}

std::size_t report_exchange::live_peer_count() const {
    const time_point now = boot_clock::now();
    return static_cast<std::size_t>(
        std::count_if(this->connected.begin(), this->connected.end(),
                      [&](const auto& item) { return this->is_live(item.second, now); }));
}

serving_peer_counts report_exchange::count_serving(time_point now) const {
    const duration limit = from_seconds(to_seconds(this->options.serving_interval) *
                                        this->options.serving_timeout_intervals);
    // Peers use the serving interval only once they know that this instance serves.
    const bool is_settled = this->serving_since && now - *this->serving_since > limit;
    serving_peer_counts count;
    for (const auto& [incarnation, peer] : this->connected) {
        if (!peer.report || !peer.report->serving) {
            continue;
        }
        const duration age = now - peer.last_heard;
        const bool on_time = is_settled ? age < limit : this->is_live(peer, now);
        ++(on_time ? count.on_time : count.overdue);
        count.oldest_report_age = std::max(count.oldest_report_age, age);
    }
    return count;
}

std::vector<incarnation_id> report_exchange::serving_peers(time_point now) const {
    std::vector<incarnation_id> serving;
    for (const auto& [incarnation, peer] : this->connected) {
        if (this->is_live(peer, now) && peer.report->serving) {
            serving.push_back(incarnation);
        }
    }
    return serving;
}

std::vector<serving_instance> report_exchange::serving_instances(time_point now) const {
    const peer_info& own = this->network.self();
    const duration limit = this->options.serving_interval * lost_serving_intervals;
    // Peers use the serving interval only once they know that this instance serves.
    const bool is_settled = this->serving_since && now - *this->serving_since > limit;
    std::vector<serving_instance> serving{{own.incarnation, own.failure_domain}};
    for (const auto& [incarnation, peer] : this->connected) {
        const bool is_heard = is_settled ? now - peer.last_heard < limit : this->is_live(peer, now);
        if (is_heard && peer.report && peer.report->serving) {
            serving.push_back({incarnation, peer.info.failure_domain});
        }
    }
    return serving;
}

target_status report_exchange::sum_target_status(std::uint64_t target, time_point now,
                                                 const std::optional<usual_load>& usual) const {
    target_status total;
    double running = 0;
    // Part of the usual load that stands in for reports.
    double usual_share = 0;
    int peers = 0;
    for (const auto& [incarnation, peer] : this->connected) {
        if (!this->is_live(peer, now) || !peer.report->serving) {
            continue;
        }
        const duration age = now - peer.report->targets_received_at;
        const double relevance = usual ? still_running_probability(age, usual->run_time) : 1;
        ++peers;
        usual_share += 1 - relevance;
        const auto found = peer.report->targets.find(target);
        if (found == peer.report->targets.end()) {
            continue;
        }
        if (age < this->options.running_count_lifetime) {
            running += found->second.running * relevance;
            total.running_before_ejection += found->second.running_before_ejection;
            total.overdue_suspicion += found->second.overdue_suspicion;
        }
        total.failure_suspicion += found->second.failure_suspicion;
        total.ejected_for = std::max(total.ejected_for, found->second.ejected_for - age);
    }
    if (usual && peers > 0) {
        running += usual->running * usual_share / peers;
    }
    // Rounded down: a target that is free with some probability may be tried.
    total.running = static_cast<int>(running);
    return total;
}

std::uint64_t report_exchange::sum_bytes_in_flight(std::uint64_t target, time_point now) const {
    std::uint64_t total = 0;
    for (const auto& [incarnation, peer] : this->connected) {
        if (!this->is_live(peer, now) || !peer.report->serving ||
            now - peer.report->targets_received_at >= this->options.running_count_lifetime) {
            continue;
        }
        const auto found = peer.report->target_conditions.find(target);
        if (found != peer.report->target_conditions.end()) {
            total += found->second.in_flight_kb * bytes_per_kb;
        }
    }
    return total;
}

void report_exchange::tick() {
    const time_point now = boot_clock::now();
    std::vector<incarnation_id> timed_out;
    for (const auto& [incarnation, peer] : this->connected) {
        if (now - peer.last_heard > this->link_timeout(peer)) {
            timed_out.push_back(incarnation);
        }
    }
    for (const incarnation_id peer : timed_out) {
        this->network.disconnect(peer);
    }
    this->send_to_serving(now < this->next_full_at ? report_kind::changes : report_kind::full);
    const bool same_domain_due =
        now - this->last_same_domain_send >= this->announced_same_domain_interval;
    const bool cross_domain_due =
        now - this->last_cross_domain_send >= this->announced_cross_domain_interval;
    const int factor = std::exchange(
        this->interval_factor, this->is_reserve(now) ? this->options.reserve_interval_factor : 1);
    // An instance that is needed again says so at once.
    const bool is_needed = this->interval_factor < factor;
    if (same_domain_due || cross_domain_due || is_needed) {
        this->send_brief(same_domain_due || is_needed, cross_domain_due || is_needed);
    }
}

/// Sends a report to all serving peers if this instance serves as well. When it starts to serve, it
/// reports to all peers immediately, because until then they use the whole refill of every client
/// account themselves.
void report_exchange::send_to_serving(report_kind kind) {
    instance_report report = this->make_report(kind);
    if (!report.serving) {
        this->serving_since.reset();
        return;
    }
    if (!this->serving_since) {
        this->serving_since = boot_clock::now();
        this->send_to_all();
    }
    if (kind == report_kind::changes) {
        this->remove_unchanged(report);
    }
    const std::string frame = encode_frame(encode(report));
    const time_point now = boot_clock::now();
    const bool is_full = kind == report_kind::full;
    const bool is_cross_domain_full =
        is_full && now - this->last_cross_domain_full >= this->options.cross_domain_full_interval;
    const bool needs_changes = is_full && !is_cross_domain_full;
    const std::string changes = needs_changes ? this->encode_changes(report) : std::string();
    std::size_t sent_bytes = 0;
    for (const auto& [incarnation, peer] : this->connected) {
        if (!peer.report || !peer.report->serving) {
            continue;
        }
        const bool gets_changes = needs_changes && !this->is_in_same_domain(peer);
        this->send(incarnation, gets_changes ? report_kind::changes : kind,
                   gets_changes ? changes : frame);
        sent_bytes += gets_changes ? 0 : frame.size();
    }
    this->note_sent(report);
    if (is_cross_domain_full) {
        this->last_cross_domain_full = now;
    }
    if (is_full) {
        this->next_full_at = now + from_seconds(static_cast<double>(sent_bytes) /
                                                this->options.full_report_bytes_per_s);
    }
}

/// The changes report that stands in for the full report \p full.
std::string report_exchange::encode_changes(instance_report full) {
    full.has_targets = false;
    full.targets.clear();
    full.target_conditions.clear();
    this->remove_unchanged(full);
    return encode_frame(encode(full));
}

/// Remembers the counts that serving peers have been sent.
void report_exchange::note_sent(const instance_report& report) {
    for (const auto& [account, use] : report.accounts) {
        this->sent_accounts[account] = use;
    }
    for (const auto& [service, use] : report.services) {
        this->sent_services[service] = use;
    }
}

void report_exchange::send_brief(bool to_same_domain, bool to_other_domains) {
    instance_report report = this->make_report(report_kind::brief);
    const auto encode_with = [&report](duration announced, duration usual) {
        report.next_in = announced > usual ? announced : duration::zero();
        return encode_frame(encode(report));
    };
    const duration same_domain_next = this->options.same_domain_interval * this->interval_factor;
    const duration cross_domain_next = this->options.cross_domain_interval * this->interval_factor;
    const std::string same_domain_frame =
        encode_with(same_domain_next, this->options.same_domain_interval);
    const std::string cross_domain_frame =
        encode_with(cross_domain_next, this->options.cross_domain_interval);
    for (const auto& [incarnation, peer] : this->connected) {
        const bool is_same = this->is_in_same_domain(peer);
        if (is_same ? to_same_domain : to_other_domains) {
            this->send(incarnation, report_kind::brief,
                       is_same ? same_domain_frame : cross_domain_frame);
        }
    }
    const time_point now = boot_clock::now();
    if (to_same_domain) {
        this->last_same_domain_send = now;
        this->announced_same_domain_interval = same_domain_next;
    }
    if (to_other_domains) {
        this->last_cross_domain_send = now;
        this->announced_cross_domain_interval = cross_domain_next;
    }
}

void report_exchange::schedule_early_report() {
    const time_point now = boot_clock::now();
    if (this->early_report_timer || now - this->last_early_report < early_report_interval) {
        return;
    }
    this->early_report_timer = this->owner.after(early_report_interval, [this] {
        this->early_report_timer = timer();
        this->last_early_report = boot_clock::now();
        this->send_to_serving(report_kind::changes);
    });
}

void report_exchange::send_to_all() {
    this->interval_factor = 1;
    this->send_brief(true, true);
}

} // namespace knapweedknot
