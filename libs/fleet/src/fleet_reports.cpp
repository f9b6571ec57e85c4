#include "fleet/fleet_reports.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr std::uint32_t ready_flag = 1;
constexpr std::uint32_t serving_flag = 2;
constexpr std::uint32_t store_flag = 4;
// Doubts travel as whole numbers of this part.
constexpr double doubt_unit = 1.0 / 16;
// Reports out of turn are at least this far apart.
constexpr duration hurry_interval = milliseconds(60);
// The last report of a lost peer is kept for this long.
constexpr duration lost_peer_memory = seconds(300);

template <typename Number>
Number clamp_to(double value) {
    constexpr double most = std::numeric_limits<Number>::max();
    constexpr double least = std::numeric_limits<Number>::lowest();
    return static_cast<Number>(std::clamp(std::round(value), least, most));
}

wire::reportT encode(const fleet_report& report) {
    wire::reportT message;
    message.flags = (report.ready ? ready_flag : 0) | (report.serving ? serving_flag : 0) |
                    (report.store_reachable ? store_flag : 0);
    message.uptime_ms =
        clamp_to<std::uint32_t>(static_cast<double>(to_milliseconds(report.uptime)));
    message.request_rate = static_cast<float>(report.request_rate);
    message.policy_number = report.policy.value;
    message.targets_revision = report.targets_revision;
    message.in_full = report.in_full;
    for (const auto& [account, use] : report.accounts) {
        message.accounts.emplace_back(account, use.admitted, clamp_to<std::int32_t>(use.tokens));
    }
    for (const auto& [service, use] : report.services) {
        message.services.emplace_back(service, use.requests, use.resends);
    }
    for (const auto& [target, use] : report.targets) {
        message.targets.emplace_back(
            target, clamp_to<std::uint16_t>(use.running),
            clamp_to<std::uint16_t>(use.silence / doubt_unit),
            clamp_to<std::uint16_t>(use.failures / doubt_unit),
            clamp_to<std::uint16_t>(static_cast<double>(to_milliseconds(use.out))));
    }
    for (const auto& [fingerprint, deaths] : report.crashes) {
        message.crashes.emplace_back(fingerprint, deaths, 0);
    }
    return message;
}

fleet_report decode(const wire::reportT& message) {
    fleet_report report;
    report.ready = (message.flags & ready_flag) != 0;
    report.serving = (message.flags & serving_flag) != 0;
    report.store_reachable = (message.flags & store_flag) != 0;
    report.uptime = milliseconds(message.uptime_ms);
    report.request_rate = message.request_rate;
    report.policy.value = message.policy_number;
    report.targets_revision = message.targets_revision;
    report.in_full = message.in_full;
    for (const wire::account_use& use : message.accounts) {
        report.accounts[use.account()] = {use.admitted(), static_cast<double>(use.tokens())};
    }
    for (const wire::service_use& use : message.services) {
        report.services[use.service()] = {use.requests(), use.resends()};
    }
    for (const wire::target_use& use : message.targets) {
        report.targets[use.target()] = {use.running(), use.silence() * doubt_unit,
                                        use.failures() * doubt_unit, milliseconds(use.out_ms())};
    }
    for (const wire::crash_note& note : message.crashes) {
        report.crashes[note.fingerprint()] = note.deaths();
    }
    return report;
}

} // namespace

fleet_reports::fleet_reports(loop& event_loop, mesh& peer_mesh, const report_times& intervals)
    : owner(event_loop), network(peer_mesh), times(intervals) {}

void fleet_reports::start() {
    this->ticking = this->owner.every(this->times.busy_interval, [this] { this->tick(); });
}

void fleet_reports::peer_connected(const peer_info& peer) {
    this->known[peer.incarnation] = {peer, std::nullopt, boot_clock::now()};
    log_event(
        log_level::info, "peer_connected",
        {{"peer", peer.instance.value}, {"incarnation", std::to_string(peer.incarnation.value)}});
    this->send(peer.incarnation, report_kind::introduction,
               encode_frame(encode(this->make_report(report_kind::introduction))));
}

void fleet_reports::send(incarnation_id to, report_kind kind, const std::string& frame) {
    if (this->network.send_frame(to, frame)) {
        sent_reports& counted = this->sent_by_kind[kind];
        ++counted.count;
        counted.bytes += frame.size();
    }
}

/// Leaves only counts that serving peers were not told yet.
void fleet_reports::keep_changes(fleet_report& report) {
    std::erase_if(report.accounts, [this](const auto& item) {
        const auto told = this->told_accounts.find(item.first);
        return told != this->told_accounts.end() && told->second.admitted == item.second.admitted;
    });
    std::erase_if(report.services, [this](const auto& item) {
        const auto told = this->told_services.find(item.first);
        return told != this->told_services.end() && told->second.requests == item.second.requests &&
               told->second.resends == item.second.resends;
    });
}

void fleet_reports::peer_disconnected(const peer_info& peer) {
    const auto found = this->known.find(peer.incarnation);
    if (found == this->known.end()) {
        return;
    }
    const reporting_peer lost = std::move(found->second);
    this->known.erase(found);
    log_event(log_level::warning, "peer_lost",
              {{"peer", peer.instance.value},
               {"silent_ms", std::to_string(to_milliseconds(boot_clock::now() - lost.heard))}});
    this->remember(lost);
    if (this->on_lost) {
        this->on_lost(lost);
    }
}

void fleet_reports::remember(const reporting_peer& lost) {
    const time_point now = boot_clock::now();
    std::erase_if(this->lost_peers,
                  [now](const auto& item) { return now - item.second.heard > lost_peer_memory; });
    if (lost.report) {
        this->lost_peers.insert_or_assign(lost.info.incarnation, lost);
    }
}

/// The last report of a peer that was lost before; what ran at the targets then counts no more.
std::optional<fleet_report> fleet_reports::recall(incarnation_id peer) {
    const auto found = this->lost_peers.find(peer);
    if (found == this->lost_peers.end()) {
        return std::nullopt;
    }
    std::optional<fleet_report> report = std::move(found->second.report);
    this->lost_peers.erase(found);
    report->targets.clear();
    return report;
}

void fleet_reports::handle(const peer_info& from, const wire::reportT& message) {
    const auto found = this->known.find(from.incarnation);
    if (found == this->known.end()) {
        return;
    }
    reporting_peer& peer = found->second;
    std::optional<fleet_report> before = std::exchange(peer.report, decode(message));
    if (!before) {
        before = this->recall(from.incarnation);
    }
    if (before) {
        // Counts that did not change lately are left out.
        peer.report->accounts.insert(before->accounts.begin(), before->accounts.end());
        peer.report->services.insert(before->services.begin(), before->services.end());
    }
    peer.heard = boot_clock::now();
    peer.report->received = peer.heard;
    peer.report->targets_told = peer.heard;
    if (before && !message.in_full) {
        peer.report->targets = std::move(before->targets);
        peer.report->targets_told = before->targets_told;
    }
    if (this->on_report) {
        this->on_report(peer, before ? &*before : nullptr);
    }
}

bool fleet_reports::is_heard(const reporting_peer& peer, time_point now) const noexcept {
    return peer.report && now - peer.heard < this->silence_limit(peer);
}

bool fleet_reports::is_near(const reporting_peer& peer) const {
    return peer.info.failure_domain == this->network.self().failure_domain;
}

duration fleet_reports::silence_limit(const reporting_peer& peer) const {
    const duration interval =
        this->is_near(peer) ? this->times.near_interval : this->times.far_interval;
    return from_seconds(to_seconds(interval) * this->times.silent_intervals);
}

std::size_t fleet_reports::heard_peers() const {
    const time_point now = boot_clock::now();
    return static_cast<std::size_t>(
        std::count_if(this->known.begin(), this->known.end(),
                      [&](const auto& item) { return this->is_heard(item.second, now); }));
}

serving_peers fleet_reports::count_serving(time_point now) const {
    const duration limit =
        from_seconds(to_seconds(this->times.busy_interval) * this->times.silent_busy_intervals);
    // Serving peers report at the short interval once they know that this instance serves.
    const bool is_known = this->serving_since && now - *this->serving_since > limit;
    serving_peers count;
    for (const auto& [incarnation, peer] : this->known) {
        if (!peer.report || !peer.report->serving) {
            continue;
        }
        const duration age = now - peer.heard;
        const bool heard = is_known ? age < limit : this->is_heard(peer, now);
        ++(heard ? count.heard : count.unheard);
        count.oldest_report = std::max(count.oldest_report, age);
    }
    return count;
}

target_use fleet_reports::total_at(std::uint64_t target, time_point now) const {
    target_use total;
    for (const auto& [incarnation, peer] : this->known) {
        if (!this->is_heard(peer, now) || !peer.report->serving) {
            continue;
        }
        const auto found = peer.report->targets.find(target);
        if (found == peer.report->targets.end()) {
            continue;
        }
        const duration age = now - peer.report->targets_told;
        if (age < this->times.running_lifetime) {
            total.running += found->second.running;
            total.silence += found->second.silence;
        }
        total.failures += found->second.failures;
        total.out = std::max(total.out, found->second.out - age);
    }
    return total;
}

void fleet_reports::tick() {
    const time_point now = boot_clock::now();
    std::vector<incarnation_id> silent;
    for (const auto& [incarnation, peer] : this->known) {
        if (now - peer.heard > this->silence_limit(peer)) {
            silent.push_back(incarnation);
        }
    }
    for (const incarnation_id peer : silent) {
        this->network.drop(peer);
    }
    const bool near_due = now - this->last_to_near >= this->times.near_interval;
    const bool far_due = now - this->last_to_far >= this->times.far_interval;
    this->send_busy(now < this->next_full ? report_kind::changes : report_kind::full);
    if (near_due || far_due) {
        this->send_quiet(near_due, far_due);
    }
}

/// Tells the serving peers, if this instance serves too. All peers hear at once that it begins to:
/// until then they count on the whole refill of every account.
void fleet_reports::send_busy(report_kind kind) {
    fleet_report report = this->make_report(kind);
    if (!report.serving) {
        this->serving_since.reset();
        return;
    }
    if (!this->serving_since) {
        this->serving_since = boot_clock::now();
        this->tell_all();
    }
    if (kind == report_kind::changes) {
        this->keep_changes(report);
    }
    for (const auto& [account, use] : report.accounts) {
        this->told_accounts[account] = use;
    }
    for (const auto& [service, use] : report.services) {
        this->told_services[service] = use;
    }
    const std::string frame = encode_frame(encode(report));
    std::size_t receivers = 0;
    for (const auto& [incarnation, peer] : this->known) {
        if (peer.report && peer.report->serving) {
            this->send(incarnation, kind, frame);
            ++receivers;
        }
    }
    if (kind == report_kind::full) {
        this->next_full =
            boot_clock::now() + from_seconds(static_cast<double>(receivers * frame.size()) /
                                             this->times.full_report_bytes_per_s);
    }
}

void fleet_reports::send_quiet(bool near_ones, bool far_ones) {
    const std::string frame = encode_frame(encode(this->make_report(report_kind::brief)));
    for (const auto& [incarnation, peer] : this->known) {
        if (this->is_near(peer) ? near_ones : far_ones) {
            this->send(incarnation, report_kind::brief, frame);
        }
    }
    const time_point now = boot_clock::now();
    this->last_to_near = near_ones ? now : this->last_to_near;
    this->last_to_far = far_ones ? now : this->last_to_far;
}

void fleet_reports::hurry() {
    const time_point now = boot_clock::now();
    if (this->hurrying || now - this->last_hurried < hurry_interval) {
        return;
    }
    this->hurrying = this->owner.after(hurry_interval, [this] {
        this->hurrying = timer();
        this->last_hurried = boot_clock::now();
        this->send_busy(report_kind::changes);
    });
}

void fleet_reports::tell_all() {
    this->send_quiet(true, true);
}

} // namespace knapweedknot
