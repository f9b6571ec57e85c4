#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Reports between instances: who is ready, what was admitted and sent once more, and what runs at
/// each target. Each instance sends them at short intervals; nothing waits for one.

namespace knapweedknot {

/// Times of the reports.
struct report_times {
    /// Interval between instances that serve requests.
    duration busy_interval{milliseconds(250)};
    /// Interval to and from other instances of the own failure domain.
    duration near_interval{milliseconds(1000)};
    /// Interval to and from other instances of other failure domains, where bytes are dear.
    duration far_interval{milliseconds(3000)};
    /// What a peer has running counts for this long after its report.
    duration running_lifetime{milliseconds(1200)};
    /// A peer that was not heard for this many intervals is not counted on; its link is replaced.
    double silent_intervals{2.6};
    /// A serving peer that was not heard for this many busy intervals is not counted on to have
    /// told of what it admits.
    double silent_busy_intervals{1.8};
    /// Bytes of full reports per second that an instance sends at most, on average. Between them it
    /// tells serving peers only what has changed.
    double full_report_bytes_per_s{62'500};
};

/// What an instance has running at one target.
struct target_use {
    int running{0};
    double silence{0};
    double failures{0};
    /// How much longer the instance keeps the target out of rotation.
    duration out{duration::zero()};
};

/// Peers that serve by their newest report.
struct serving_peers {
    /// Those whose reports arrive at the interval of serving instances.
    std::size_t heard{0};
    /// Those that have missed reports and may go on serving.
    std::size_t unheard{0};
    /// Age of the oldest of their newest reports.
    duration oldest_report{duration::zero()};
};

/// What an instance has admitted of one account since its start.
struct account_use {
    std::uint32_t admitted{0};
    double tokens{0};
};

/// Requests for one service, and those sent once more, since the instance's start.
struct service_use {
    std::uint32_t requests{0};
    std::uint32_t resends{0};
};

/// What a report lists.
enum class report_kind {
    /// Counts that have changed lately.
    brief,
    /// The same, and what runs at the targets.
    full,
    /// Counts that have changed since the last full or changes report.
    changes,
    /// Every count: the peer has just connected.
    introduction,
};

/// One instance's report. Keys are hashes of names.
struct fleet_report {
    /// When it arrived here.
    time_point received;
    /// When the newest list of what runs at the targets arrived here.
    time_point targets_told;
    bool ready{false};
    /// True when it has served requests lately.
    bool serving{false};
    /// Requests per second that it has lately received.
    double request_rate{0};
    bool store_reachable{false};
    /// True when it lists what runs at the targets.
    bool in_full{false};
    duration uptime{duration::zero()};
    config_number policy;
    std::uint64_t targets_revision{0};
    std::unordered_map<std::uint64_t, account_use> accounts;
    std::unordered_map<std::uint64_t, service_use> services;
    std::unordered_map<std::uint64_t, target_use> targets;
    /// Broken connections by the fingerprint of the request that was on them.
    std::unordered_map<std::uint64_t, std::uint32_t> crashes;
};

/// A peer and its newest report.
struct reporting_peer {
    peer_info info;
    std::optional<fleet_report> report;
    /// When the newest report arrived, or the link was made.
    time_point heard;
};

/// Reports of one kind that were sent, over all peers.
struct sent_reports {
    std::uint64_t count{0};
    std::uint64_t bytes{0};
};

/// Sends and keeps reports. Not thread safe.
class fleet_reports {
public:
    fleet_reports(loop& owner, mesh& network, const report_times& times);

    /// Makes the own report. Must be set before start.
    std::function<fleet_report(report_kind kind)> make_report;
    /// Called with a peer's report and the one before, which is null for the first.
    std::function<void(const reporting_peer& peer, const fleet_report* before)> on_report;
    std::function<void(const reporting_peer& peer)> on_lost;

    void start();
    void peer_connected(const peer_info& peer);
    void peer_disconnected(const peer_info& peer);
    void handle(const peer_info& from, const wire::reportT& message);
    /// Sends a report to serving peers without waiting for the interval.
    void hurry();
    /// Sends a report to all peers at once.
    void tell_all();

    /// Connected peers by incarnation.
    [[nodiscard]] const std::map<incarnation_id, reporting_peer>& peers() const noexcept {
        return this->known;
    }
    [[nodiscard]] const std::map<report_kind, sent_reports>& sent() const noexcept {
        return this->sent_by_kind;
    }
    /// Peers whose report counts.
    [[nodiscard]] std::size_t heard_peers() const;
    [[nodiscard]] bool is_heard(const reporting_peer& peer, time_point now) const noexcept;
    /// Serving peers by whether they report as they should.
    [[nodiscard]] serving_peers count_serving(time_point now) const;
    /// Sum over the peers of what runs at a target.
    [[nodiscard]] target_use total_at(std::uint64_t target, time_point now) const;

private:
    void tick();
    void send_busy(report_kind kind);
    void keep_changes(fleet_report& report);
    void send_quiet(bool near_ones, bool far_ones);
    void send(incarnation_id to, report_kind kind, const std::string& frame);
    void remember(const reporting_peer& lost);
    [[nodiscard]] std::optional<fleet_report> recall(incarnation_id peer);
    [[nodiscard]] bool is_near(const reporting_peer& peer) const;
    [[nodiscard]] duration silence_limit(const reporting_peer& peer) const;

    loop& owner;
    mesh& network;
    report_times times;
    std::map<incarnation_id, reporting_peer> known;
    /// Last reports of peers that were lost: when they are back, only what is new counts.
    std::map<incarnation_id, reporting_peer> lost_peers;
    std::map<report_kind, sent_reports> sent_by_kind;
    /// No full report is sent before, so that they keep to their rate.
    time_point next_full;
    /// Counts as serving peers were last told them.
    std::unordered_map<std::uint64_t, account_use> told_accounts;
    std::unordered_map<std::uint64_t, service_use> told_services;
    time_point last_to_near;
    time_point last_to_far;
    time_point last_hurried;
    /// Since when the own reports say that this instance serves; nothing while they do not.
    std::optional<time_point> serving_since;
    timer ticking;
    timer hurrying;
};

} // namespace knapweedknot
