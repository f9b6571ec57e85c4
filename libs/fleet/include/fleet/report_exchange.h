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
#include "decide/target_assignment.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Periodic status reports between instances: readiness, admitted and retried requests, and the
/// requests in flight at each target. Reports are one-way; no request waits for one.

namespace knapweedknot {

/// Intervals, timeouts and bandwidth of the reports.
struct report_options {
    /// Interval between two instances that both serve requests.
    duration serving_interval{milliseconds(250)};
    /// Interval to and from other instances of the same failure domain.
    duration same_domain_interval{milliseconds(1000)};
    /// Interval to and from instances of other failure domains, where bandwidth is expensive.
    duration cross_domain_interval{milliseconds(3000)};
    /// An instance that serves no requests reports to others at this multiple of the intervals if
    /// this many better ranked ones of its failure domain wait as well. Callers are not sent to it.
    int reserve_interval_factor{5};
    std::size_t prompt_spares{8};
    /// For this long after its start an instance reports at the usual intervals.
    duration prompt_time{seconds(10)};
    /// Time after which a peer's list of running requests is ignored.
    duration running_count_lifetime{milliseconds(1200)};
    /// A peer whose newest report is older than this many of the usual intervals is not live. Its
    /// link is replaced after as many of the intervals that it has announced.
    double timeout_intervals{2.6};
    /// A serving peer whose newest report is older than this many serving intervals is overdue: it
    /// may have admitted requests that it has not reported.
    double serving_timeout_intervals{1.8};
    /// Average limit on the full reports that one instance sends, in bytes per second. Between two
    /// full reports, serving peers receive only changes.
    double full_report_bytes_per_s{62'500};
    /// Least time between two full reports to serving peers of other failure domains, which get
    /// changes in between.
    duration cross_domain_full_interval{duration::zero()};
    /// Whether a peer that begins to serve is sent a full report at once, so that it does not send
    /// requests to targets that others have found to fail.
    bool introduce_targets{false};
};

/// Load and health of one target as one instance observes them, or summed over instances.
struct target_status {
    /// Requests in flight.
    int running{0};
    /// Suspicion from requests in flight that take longer than usual, unless they were sent before
    /// the last ejection: the sum of -ln(probability that a healthy target still runs the request).
    double overdue_suspicion{0};
    /// Suspicion from failed requests; decays over time.
    double failure_suspicion{0};
    /// Remaining time for which the target is ejected from rotation.
    duration ejected_for{duration::zero()};
    /// Requests in flight that were sent before the target was last ejected.
    int running_before_ejection{0};
};

/// What usually runs at a target, in place of reports that are old.
struct usual_load {
    /// Requests of all peers together.
    double running{0};
    /// Mean time for which one runs.
    duration run_time{seconds(1)};
};

/// Unit of the bytes in flight in reports.
inline constexpr std::uint64_t bytes_per_kb = 1024;

/// What an instance reports of a target beyond its status. A field that is zero is not known.
struct target_condition {
    /// Large request bodies that the instance has in flight there (decide/target_memory.h), in
    /// units of bytes_per_kb, rounded up.
    std::uint32_t in_flight_kb{0};
    /// Remaining warm-up, as far as the instance has learnt of it other than from peers.
    duration cold_for{duration::zero()};
    /// Reserved for the number of concurrent requests that the target bears; always 0.
    int concurrency_limit{0};
};

/// Peers whose newest report says that they serve requests.
struct serving_peer_counts {
    /// Peers whose reports arrive at the serving interval.
    std::size_t on_time{0};
    /// Peers that have missed reports but may still be serving.
    std::size_t overdue{0};
    /// Largest age of a serving peer's newest report.
    duration oldest_report_age{duration::zero()};
};

/// Requests of one client account that an instance has admitted since it started.
struct account_usage {
    std::uint32_t admitted{0};
    /// Tokens left in the instance's copy of the account's token bucket; may be negative.
    double tokens{0};
};

/// Requests and retries for one service since the instance started.
struct service_usage {
    std::uint32_t requests{0};
    std::uint32_t retries{0};
};

/// An instance's requests for one service that have no response yet.
struct service_demand {
    /// Requests that run at targets.
    int running{0};
    int queued{0};
    /// Requests refused for lack of room since the instance started.
    std::uint32_t refused{0};
};

/// Contents of a report.
enum class report_kind {
    /// Counts that changed recently.
    brief,
    /// Counts that changed recently, and the status of the targets.
    full,
    /// Counts that changed since the last full or changes report.
    changes,
    /// All counts, for a peer that has just connected.
    introduction,
};

/// Status report of one instance. Accounts, services and targets are keyed by a hash of their name.
struct instance_report {
    /// Local time of arrival.
    time_point received_at;
    /// Local arrival time of the report that listed the targets last.
    time_point targets_received_at;
    bool ready{false};
    /// Whether the instance has recently served requests.
    bool serving{false};
    /// Recently received requests per second.
    double request_rate{0};
    bool store_reachable{false};
    /// Whether the instance can read the store on behalf of others.
    bool can_relay{false};
    /// Time until the next report if it is longer than the usual interval; else zero.
    duration next_in{duration::zero()};
    /// Whether the report lists the targets.
    bool has_targets{false};
    duration uptime{duration::zero()};
    config_number policy_number;
    /// Store revision of the newest change of a registration that the instance knows.
    std::uint64_t last_target_change{0};
    std::unordered_map<std::uint64_t, account_usage> accounts;
    std::unordered_map<std::uint64_t, service_usage> services;
    std::unordered_map<std::uint64_t, target_status> targets;
    /// Empty unless load is balanced by failure domain.
    std::unordered_map<std::uint64_t, service_demand> demands;
    /// Listed with the targets, only while a field is not zero.
    std::unordered_map<std::uint64_t, target_condition> target_conditions;
    /// Number of connections that broke during a request, by the request's fingerprint.
    std::unordered_map<std::uint64_t, std::uint32_t> crashes;
};

/// A connected peer and its newest report.
struct reporting_peer {
    peer_info info;
    std::optional<instance_report> report;
    /// Arrival time of the newest report; before the first one, the time of connection.
    time_point last_heard;
};

/// Totals of the reports of one kind sent to all peers.
struct sent_reports {
    std::uint64_t count{0};
    std::uint64_t bytes{0};
};

/// Sends this instance's reports and keeps the newest one of each peer. Not thread safe.
class report_exchange {
public:
    report_exchange(loop& owner, mesh& network, const report_options& options);

    /// Creates the report of this instance. Must be set before start().
    std::function<instance_report(report_kind kind)> make_report;
    /// Called for each received report; \p before is the previous one, null for the first.
    std::function<void(const reporting_peer& peer, const instance_report* before)> on_report;
    /// Called after a peer has disconnected.
    std::function<void(const reporting_peer& peer)> on_peer_lost;

    void start();
    void peer_connected(const peer_info& peer);
    void peer_disconnected(const peer_info& peer);
    void handle(const peer_info& from, const wire::reportT& message);
    /// Schedules a changes report to the serving peers ahead of the next interval. Rate limited:
    /// does nothing when one is scheduled already or was sent a moment ago.
    void schedule_early_report();
    /// Sends a brief report to all peers immediately.
    void send_to_all();

    /// Connected peers by incarnation.
    [[nodiscard]] const std::map<incarnation_id, reporting_peer>& peers() const noexcept {
        return this->connected;
    }
    [[nodiscard]] const std::map<report_kind, sent_reports>& sent() const noexcept {
        return this->sent_by_kind;
    }
    /// Number of other instances that are known and not connected.
    [[nodiscard]] std::size_t unreached_count() const noexcept;
    /// Number of live peers.
    [[nodiscard]] std::size_t live_peer_count() const;
    /// Whether \p peer has sent a report within its timeout.
    [[nodiscard]] bool is_live(const reporting_peer& peer, time_point now) const noexcept;
    /// Counts the serving peers whose reports are on time, and those that are overdue.
    [[nodiscard]] serving_peer_counts count_serving(time_point now) const;
    /// Live peers that serve.
    [[nodiscard]] std::vector<incarnation_id> serving_peers(time_point now) const;
    /// This instance and the live peers that serve.
    [[nodiscard]] std::vector<serving_instance> serving_instances(time_point now) const;
    [[nodiscard]] incarnation_id self() const noexcept { return this->network.self().incarnation; }
    /// Sums the reports of all live, serving peers for the target with the hash \p target. The
    /// ejection time is the longest of all.
    /// \param usual if set, the older a report is, the more it counts in place of what it says
    [[nodiscard]] target_status
    sum_target_status(std::uint64_t target, time_point now,
                      const std::optional<usual_load>& usual = std::nullopt) const;
    /// Sums the bytes of large bodies that all live, serving peers have in flight to the target
    /// with the hash \p target, as far as their reports are recent.
    [[nodiscard]] std::uint64_t sum_bytes_in_flight(std::uint64_t target, time_point now) const;

private:
    void tick();
    void send_to_serving(report_kind kind);
    void remove_unchanged(instance_report& report);
    [[nodiscard]] std::string encode_changes(instance_report full);
    void note_sent(const instance_report& report);
    void send_brief(bool to_same_domain, bool to_other_domains);
    void send(incarnation_id to, report_kind kind, const std::string& frame);
    void retain_report(const reporting_peer& lost);
    [[nodiscard]] std::optional<instance_report> take_retained_report(incarnation_id peer);
    [[nodiscard]] bool is_in_same_domain(const reporting_peer& peer) const;
    [[nodiscard]] duration interval_of(const reporting_peer& peer) const;
    [[nodiscard]] duration report_timeout(const reporting_peer& peer) const;
    [[nodiscard]] duration link_timeout(const reporting_peer& peer) const;
    [[nodiscard]] bool is_reserve(time_point now) const;

    loop& owner;
    mesh& network;
    report_options options;
    std::map<incarnation_id, reporting_peer> connected;
    /// Last reports of disconnected peers. When such a peer reconnects, its counts are compared
    /// with these, so that nothing is counted twice.
    std::map<incarnation_id, reporting_peer> lost_peers;
    std::map<report_kind, sent_reports> sent_by_kind;
    /// Earliest time of the next full report; limits their bandwidth.
    time_point next_full_at;
    time_point last_cross_domain_full;
    /// Counts that serving peers were last sent.
    std::unordered_map<std::uint64_t, account_usage> sent_accounts;
    std::unordered_map<std::uint64_t, service_usage> sent_services;
    time_point last_same_domain_send;
    time_point last_cross_domain_send;
    time_point last_early_report;
    time_point started_at;
    /// Multiple of the usual intervals at which other instances get reports at present.
    int interval_factor{1};
    /// Times until the next reports, as the last ones announced them.
    duration announced_same_domain_interval{duration::zero()};
    duration announced_cross_domain_interval{duration::zero()};
    /// When the own reports began to say that this instance serves; empty while they do not.
    std::optional<time_point> serving_since;
    timer tick_timer;
    timer early_report_timer;
};

} // namespace knapweedknot
