#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/overflow.h"
#include "decide/target_assignment.h"
#include "decide/target_rotation.h"
#include "fleet/report_exchange.h"

/// \file
/// Where the targets of one service are, as seen by this instance: which are assigned to it, and to
/// which failure domain the next request should go.

namespace knapweedknot {

/// What the division of load needs to know of a target.
struct located_target {
    std::uint64_t hash{0};
    failure_domain_id failure_domain;
    int slots{1};
    /// Whether it may get requests.
    bool open{true};
    bool ejected{false};
    /// Requests of this instance that run there.
    int running{0};
};

/// Divides the load of one service among targets and failure domains. Not thread safe.
class target_locality {
public:
    /// \p reports must outlive this object.
    target_locality(service_id service, failure_domain_id own, const report_exchange& reports);

    /// Whether the update interval has passed, or targets_changed() was called, since the last
    /// update.
    [[nodiscard]] bool is_due(time_point now) const noexcept { return now >= this->next_update; }
    /// Recomputes assignment and shares from the targets and the reports. \p queued is the number
    /// of this instance's requests that wait for a target.
    void update(const std::vector<located_target>& targets, std::size_t queued, time_point now);
    /// Assigns the targets anew at the next update.
    void targets_changed();
    /// Records a response time of a target.
    void record_response_time(duration response_time);

    /// Whether each target of the last update is assigned to this instance.
    [[nodiscard]] const std::vector<bool>& assigned() const noexcept { return this->assignment; }
    /// Failure domain in which the next request should find its target.
    [[nodiscard]] const failure_domain_id& next_domain(std::minstd_rand& random) const;
    /// Requests of all peers that usually run at a target; empty before the first response.
    [[nodiscard]] std::optional<usual_load> usual_load_of(const failure_domain_id& domain,
                                                          int slots) const;
    /// Shares of the requests by failure domain.
    [[nodiscard]] const domain_shares& shares() const noexcept { return this->current_shares; }
    /// Instances of the own failure domain that serve, this one included.
    [[nodiscard]] int serving_in_domain() const noexcept { return this->domain_instances; }

private:
    void update_assignment(const std::vector<located_target>& targets, time_point now);
    void add_running(const std::vector<located_target>& targets, time_point now);
    [[nodiscard]] int running_outside(const std::vector<located_target>& targets,
                                      const instance_report& report) const;
    [[nodiscard]] failure_domain_id home_of(const failure_domain_id& domain,
                                            incarnation_id incarnation) const;
    void add_demand(const std::vector<located_target>& targets, std::size_t queued, time_point now);

    service_id service;
    std::uint64_t service_hash;
    failure_domain_id own;
    const report_exchange& reports;
    overflow_policy policy;
    /// Failure domains with targets that may get requests.
    std::set<failure_domain_id> open_domains;
    /// The own failure domain, or the one used in its place while that has no open target.
    failure_domain_id home;
    domain_loads loads;
    /// Requests of the peers at the targets of each domain, for each slot.
    std::map<failure_domain_id, double> peer_utilization;
    domain_shares current_shares;
    std::vector<bool> assignment;
    /// The serving instances that the assignment is for; empty if it is out of date.
    std::vector<serving_instance> assigned_for;
    int domain_instances{1};
    std::optional<duration> mean_response_time;
    time_point next_update;
    time_point last_update;
};

} // namespace knapweedknot
