#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "decide/latency_model.h"
#include "decide/target_rotation.h"
#include "event/http_client.h"
#include "fleet/fleet_reports.h"
#include "fleet/target_directory.h"

/// \file
/// The targets of one service at one instance: evidence, idle connections, and the choice between
/// them.

namespace knapweedknot {

/// A request that runs at a target.
struct running_attempt {
    time_point started;
    /// Answer times of its route.
    const latency_model* model{nullptr};
};

/// A target and what this instance has to do with it.
struct pooled_target {
    known_target known;
    std::uint64_t hash{0};
    target_evidence evidence;
    std::vector<std::unique_ptr<http_connection>> idle;
    /// Attempts of this instance that run there.
    std::vector<const running_attempt*> running;
    /// True when the directory no longer lists it.
    bool removed{false};
    /// Set when another target answered at its address; its registration is out of date.
    bool misdirected{false};

    [[nodiscard]] const target_id& id() const noexcept { return this->known.registration.id; }
    [[nodiscard]] bool accepts_requests(time_point now) const;
};

using target_ptr = std::shared_ptr<pooled_target>;

/// Parameters of a pool.
struct target_pool_options {
    failure_domain_id failure_domain;
    rotation_policy rotation;
    /// Idle connections kept for each target.
    std::size_t idle_connections{3};
};

/// The targets of a service. Not thread safe.
class target_pool {
public:
    /// \p directory and \p reports must outlive the pool.
    target_pool(service_id service, const target_directory& directory, const fleet_reports& reports,
                const target_pool_options& options);

    /// Takes the directory's newest targets.
    void update();

    /// The target that should get the next request, other than those \p tried; null when none has
    /// a free slot.
    [[nodiscard]] target_ptr choose(const std::set<target_id>& tried, loss if_lost, time_point now);
    /// True when a target other than those \p tried takes work, now or later.
    [[nodiscard]] bool has_target(const std::set<target_id>& tried, time_point now) const;
    /// Requests that all targets can run at once.
    [[nodiscard]] int capacity(time_point now) const;
    /// Targets that are registered, and those of them that are taken out.
    [[nodiscard]] std::pair<std::size_t, std::size_t> rotation_counts(time_point now) const;
    [[nodiscard]] std::uint64_t ejections() const noexcept { return this->ejection_count; }

    void record_failure(pooled_target& target, double suspicion, time_point now);
    void record_success(pooled_target& target, time_point now);
    /// Takes \p target out of rotation if the evidence of all instances gives reason to.
    void check_target(pooled_target& target, time_point now);
    /// The same for each target at which something runs.
    void check_running_targets(time_point now);

    /// An idle connection that was used within \p limit; null when there is none.
    [[nodiscard]] static std::unique_ptr<http_connection> take_connection(pooled_target& target,
                                                                          duration limit);
    void keep_connection(pooled_target& target, std::unique_ptr<http_connection> connection) const;

    /// Adds what runs at the targets to the own report.
    void add_to_report(fleet_report& report, time_point now) const;
    /// Takes the judgements of a peer.
    void adopt_ejections(const fleet_report& report, time_point now);

private:
    [[nodiscard]] std::vector<target_candidate> candidates(const std::set<target_id>& tried,
                                                           time_point now) const;
    [[nodiscard]] target_standing fleet_state_of(const pooled_target& target, time_point now) const;

    service_id service;
    const target_directory& directory;
    const fleet_reports& reports;
    target_pool_options options;
    std::map<target_id, target_ptr> targets;
    std::minstd_rand random;
    std::uint64_t ejection_count{0};
};

} // namespace knapweedknot
