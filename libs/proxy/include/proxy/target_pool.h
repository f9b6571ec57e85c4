#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "decide/allowed_regions.h"
#include "decide/evacuation.h"
#include "decide/latency_model.h"
#include "decide/target_memory.h"
#include "decide/target_rotation.h"
#include "event/http_client.h"
#include "fleet/report_exchange.h"
#include "fleet/target_directory.h"
#include "proxy/target_announcement.h"
#include "proxy/target_locality.h"
#include "proxy/warm_up_gate.h"

/// \file
/// The targets of one service as one instance sees them: health state, idle connections and load
/// balancing.

namespace knapweedknot {

/// An attempt that a target is running.
struct running_attempt {
    time_point started;
    /// Response times of the attempt's route.
    const latency_model* model{nullptr};
    /// Size of the request body as it counts for the target's memory; 0 if it is small.
    std::uint64_t counted_bytes{0};
};

/// What a target has announced in its responses to this instance.
struct announced_state {
    /// Start of the process that announced it; a later process of the same id is not bound by it.
    std::int64_t started_unix_ms{0};
    bool leaving{false};
    /// No requests are sent before this time.
    time_point paused_until;
    /// End of its warm-up; empty if it has not announced one.
    std::optional<time_point> cold_until;
};

/// A registered target with its health state, connections and running attempts.
struct pooled_target {
    known_target known;
    std::uint64_t hash{0};
    local_target_state evidence;
    /// Turn of this instance to try the target after its last ejection.
    duration trial_delay{duration::zero()};
    announced_state announced;
    /// Whether the target is assigned to this instance.
    bool assigned{false};
    target_warm_up warm_up;
    std::vector<std::unique_ptr<http_connection>> idle;
    /// Attempts of this instance that the target is running.
    std::vector<const running_attempt*> running;
    /// True when the directory no longer lists it.
    bool removed{false};
    /// Set after another target has responded at this address: the registration is out of date.
    bool misdirected{false};
    /// True while the target's failure domain is evacuated.
    bool evacuated{false};

    [[nodiscard]] const target_id& id() const noexcept { return this->known.registration.id; }
    /// True when the target is registered, ready and reachable at its address. It may be paused.
    [[nodiscard]] bool is_available(time_point now) const;
    /// True when the target is available and its failure domain is not evacuated.
    [[nodiscard]] bool accepts_requests(time_point now) const;
};

using target_ptr = std::shared_ptr<pooled_target>;

/// Parameters of a pool.
struct target_pool_options {
    failure_domain_id failure_domain;
    rotation_policy rotation;
    /// Idle connections kept per target.
    std::size_t idle_connections{3};
    /// Whether targets are assigned to the serving instances, so that most requests for a target
    /// come from one of them, and the failure domain is left for what it has no room for.
    bool assign_targets{false};
    /// Instances that serve, for the choice of the one that sends to a target in warm-up; must
    /// outlive the pool. Null where targets in warm-up are not limited.
    const serving_roster* instances{nullptr};
    warm_up_limits warm_up;
    /// Evacuated failure domains; null if the deployment has no evacuation orders. Must outlive the
    /// pool.
    const evacuation_states* evacuations{nullptr};
    slow_start_policy slow_start;
    /// Region of each failure domain. Must outlive the pool.
    const domain_regions* regions{nullptr};
};

/// Chooses targets of one service and tracks their health. Not thread safe.
class target_pool {
public:
    /// \p directory and \p reports must outlive the pool.
    target_pool(service_id service, const target_directory& directory,
                const report_exchange& reports, const target_pool_options& options);

    /// Replaces the targets by those that the directory now lists.
    void update();
    /// Applies the evacuations that have started or ended.
    void update_evacuations();

    /// Chooses the target for the next attempt, other than those \p tried. Null when none has a
    /// free slot and room for the body.
    /// \param if_lost whether the request can still be retried if this attempt fails
    /// \param allowed regions whose targets may get the request; the others count as not registered
    /// \param body_bytes counted bytes of the request body
    [[nodiscard]] target_ptr choose(const std::set<target_id>& tried, attempt_kind if_lost,
                                    time_point now, const allowed_regions& allowed = {},
                                    std::uint64_t body_bytes = 0);
    /// Whether a target other than those \p tried could get a request with a small body.
    [[nodiscard]] bool has_room_for_small_body(const std::set<target_id>& tried, time_point now,
                                               const allowed_regions& allowed = {}) const;
    /// Time until a target other than those \p tried accepts requests, even if it has no free slot:
    /// zero unless all of them are paused. Empty when there is none. Targets whose requests are
    /// limited after a start do not count.
    [[nodiscard]] std::optional<duration> time_to_target(const std::set<target_id>& tried,
                                                         time_point now,
                                                         const allowed_regions& allowed = {}) const;
    /// Number of this instance's requests that wait for a target.
    void set_queued(std::size_t requests) noexcept { this->queued = requests; }
    /// Shares of the requests by failure domain; empty unless targets are assigned.
    [[nodiscard]] domain_shares shares_by_domain() const;
    /// Whether there are targets other than those \p tried, and requests to all of them are
    /// limited.
    [[nodiscard]] bool has_only_limited(const std::set<target_id>& tried, time_point now,
                                        const allowed_regions& allowed = {}) const;
    /// Time until a target with limited requests, other than those \p tried, may take a request
    /// that is refused now. Empty when there is none. Counts the refusal.
    [[nodiscard]] std::optional<duration> refuse_for_warm_up(const std::set<target_id>& tried,
                                                             time_point now,
                                                             const allowed_regions& allowed = {});
    /// Notes that this instance sends a request to \p target.
    void record_send(pooled_target& target, time_point now);
    /// Sets the limits for targets in warm-up.
    void set_warm_up_limits(const warm_up_limits& limits) { this->gate.set_limits(limits); }
    /// Logs which targets have become cold or warm.
    void log_warm_ups(time_point now);
    [[nodiscard]] const warm_up_gate& warm_ups() const noexcept { return this->gate; }
    [[nodiscard]] std::size_t cold_targets(time_point now) const;
    /// Number of requests that all targets together can run concurrently; paused ones count only if
    /// all are paused. One with limited requests counts by their rate.
    [[nodiscard]] int capacity(time_point now) const;
    /// True when a target in one of the regions \p allowed gets no requests only because its
    /// failure domain is evacuated.
    [[nodiscard]] bool has_evacuated_targets(time_point now,
                                             const allowed_regions& allowed = {}) const;
    /// Number of targets that accept requests, and how many of them are ejected.
    [[nodiscard]] std::pair<std::size_t, std::size_t> rotation_counts(time_point now) const;
    /// Ejections that this instance has decided since its start.
    [[nodiscard]] std::uint64_t ejections() const noexcept { return this->ejection_count; }
    /// Counted bytes of request bodies that this instance has in flight to all targets.
    [[nodiscard]] std::uint64_t own_bytes_in_flight() const;
    /// Whether the targets' capacity in bytes is reduced after a crash.
    [[nodiscard]] bool is_memory_reduced(time_point now) const noexcept {
        return now < this->memory.reduced_until;
    }

    /// Applies what \p target has announced. It stays in force if the registration is lost and
    /// returns, but not for a new process of the target.
    void apply_announcement(pooled_target& target, const target_announcement& announcement,
                            time_point now);
    void record_failure(pooled_target& target, double suspicion, time_point now);
    /// Records that a request sent at \p sent got no response in time.
    void record_timeout(pooled_target& target, time_point sent, time_point now);
    /// Records a successful response to a request sent at \p sent.
    void record_success(pooled_target& target, time_point sent, time_point now);
    /// Records that \p target has ended a connection while it ran requests. If it held more bytes
    /// than it is assumed to hold, the targets of the service get fewer for a while.
    void record_crash(const pooled_target& target, time_point now);
    /// Ejects \p target if its state over all instances makes it suspect.
    void check_target(pooled_target& target, time_point now);
    /// Calls check_target for each target with running attempts of this instance.
    void check_running_targets(time_point now);

    /// Takes the most recently used idle connection that was idle for less than \p limit and that
    /// the target has not ended; null if there is none.
    [[nodiscard]] static std::unique_ptr<http_connection> take_connection(pooled_target& target,
                                                                          duration limit);
    /// Returns a connection to the idle ones, or closes it if it is not reusable or there are
    /// enough.
    void keep_connection(pooled_target& target, std::unique_ptr<http_connection> connection) const;

    /// Adds the state of the targets to the report of this instance.
    void add_to_report(instance_report& report, time_point now) const;
    /// Adopts the ejections that a peer reports.
    void adopt_ejections(const instance_report& report, time_point now);
    /// Adopts the warm-ups that a peer reports.
    void adopt_warm_ups(const instance_report& report, time_point now);

private:
    [[nodiscard]] std::vector<target_candidate>
    candidates(const std::set<target_id>& tried, const failure_domain_id& domain, time_point now,
               const allowed_regions& allowed, std::uint64_t body_bytes) const;
    /// Excludes the candidates without room for the body, and sets the cost of what they hold.
    void consider_memory(std::vector<target_candidate>& all, std::uint64_t body_bytes,
                         time_point now) const;
    /// Counted bytes that all instances have in flight to \p target.
    [[nodiscard]] std::uint64_t bytes_in_flight(const pooled_target& target, time_point now) const;
    [[nodiscard]] bool is_in(const allowed_regions& allowed, const pooled_target& target) const;
    [[nodiscard]] double share_of(const pooled_target& target, time_point now) const;
    [[nodiscard]] std::optional<std::size_t>
    choose_beside_slow_start(std::vector<target_candidate> all, attempt_kind if_lost,
                             time_point now);
    [[nodiscard]] announced_state announced_state_of(const registered_target& registration) const;
    void forget_announcements(time_point now);
    [[nodiscard]] int capacity_of(const pooled_target& target, time_point now) const;
    [[nodiscard]] bool is_warming_up(const pooled_target& target, time_point now) const;
    /// Sets the turn of this instance among those that serve now.
    void set_trial_delay(pooled_target& target, time_point now) const;
    [[nodiscard]] fleet_target_state fleet_state_of(const pooled_target& target,
                                                    time_point now) const;
    [[nodiscard]] target_placement placement_of(const pooled_target& target,
                                                const failure_domain_id& domain) const;
    void update_locality(time_point now);

    service_id service;
    const target_directory& directory;
    const report_exchange& reports;
    target_pool_options options;
    warm_up_gate gate;
    std::map<target_id, target_ptr> targets;
    std::map<target_id, announced_state> announcements;
    service_memory memory;
    std::minstd_rand random;
    std::uint64_t ejection_count{0};
    /// Empty unless targets are assigned.
    std::optional<target_locality> locality;
    std::size_t queued{0};
};

} // namespace knapweedknot
