#include "proxy/target_locality.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace knapweedknot {

namespace {

constexpr duration update_interval = milliseconds(100);
// Weight of the newest response time in the mean.
constexpr double response_time_weight = 0.02;

} // namespace

target_locality::target_locality(service_id balanced, failure_domain_id own_domain,
                                 const report_exchange& heard)
    : service(std::move(balanced)), service_hash(hash64(this->service.value)),
      own(std::move(own_domain)), reports(heard),
      home(this->own), current_shares{{this->home, 1.0}} {}

void target_locality::targets_changed() {
    this->assigned_for.clear();
    this->next_update = time_point();
}

void target_locality::record_response_time(duration response_time) {
    const double mean_s = to_seconds(this->mean_response_time.value_or(response_time));
    this->mean_response_time = from_seconds(mean_s * (1 - response_time_weight) +
                                            to_seconds(response_time) * response_time_weight);
}

void target_locality::update(const std::vector<located_target>& targets, std::size_t queued,
                             time_point now) {
    this->next_update = now + update_interval;
    this->open_domains.clear();
    for (const located_target& target : targets) {
        if (target.open) {
            this->open_domains.insert(target.failure_domain);
        }
    }
    this->home = this->home_of(this->own, this->reports.self());
    this->update_assignment(targets, now);
    this->loads.clear();
    this->loads[this->home];
    this->add_running(targets, now);
    this->add_demand(targets, queued, now);
    smooth_shares(this->current_shares, overflow_shares(this->loads, this->home, this->policy),
                  now - std::exchange(this->last_update, now), this->policy);
}

void target_locality::update_assignment(const std::vector<located_target>& targets,
                                        time_point now) {
    std::vector<serving_instance> serving = this->reports.serving_instances(now);
    for (serving_instance& instance : serving) {
        instance.failure_domain = this->home_of(instance.failure_domain, instance.incarnation);
    }
    if (serving == this->assigned_for && this->assignment.size() == targets.size()) {
        return;
    }
    std::vector<assignable_target> assignable;
    assignable.reserve(targets.size());
    for (const located_target& target : targets) {
        assignable.push_back({target.hash, target.failure_domain});
    }
    this->assignment = assigned_targets(assignable, serving, this->reports.self());
    this->domain_instances = static_cast<int>(
        std::count_if(serving.begin(), serving.end(), [this](const serving_instance& item) {
            return item.failure_domain == this->home;
        }));
    this->assigned_for = std::move(serving);
}

/// Adds what runs at the targets, and the room that they have.
void target_locality::add_running(const std::vector<located_target>& targets, time_point now) {
    std::map<failure_domain_id, double> peer_running;
    std::map<failure_domain_id, double> slots;
    for (const located_target& target : targets) {
        domain_load& load = this->loads[target.failure_domain];
        const int of_peers = this->reports.sum_target_status(target.hash, now).running;
        const bool is_outside = target.failure_domain != this->home;
        load.running += target.running + of_peers;
        load.room += target.open && !target.ejected ? target.slots : 0;
        peer_running[target.failure_domain] += of_peers;
        slots[target.failure_domain] += target.slots;
        domain_load& own_load = this->loads[this->home];
        own_load.demand += target.running;
        own_load.sent_out += is_outside ? target.running : 0;
    }
    this->peer_utilization.clear();
    for (const auto& [domain, count] : slots) {
        this->peer_utilization[domain] = peer_running[domain] / std::max(1.0, count);
    }
}

/// Adds the requests of this instance that wait, and all requests of its peers.
void target_locality::add_demand(const std::vector<located_target>& targets, std::size_t queued,
                                 time_point now) {
    this->loads[this->home].demand += static_cast<double>(queued);
    for (const auto& [incarnation, peer] : this->reports.peers()) {
        if (!this->reports.is_live(peer, now) || !peer.report->serving) {
            continue;
        }
        domain_load& load = this->loads[this->home_of(peer.info.failure_domain, incarnation)];
        const auto found = peer.report->demands.find(this->service_hash);
        if (found != peer.report->demands.end()) {
            load.demand += found->second.running + found->second.queued;
        }
        if (&load == &this->loads[this->home]) {
            load.sent_out += this->running_outside(targets, *peer.report);
        }
    }
}

/// Requests of a peer that run at targets of other failure domains.
int target_locality::running_outside(const std::vector<located_target>& targets,
                                     const instance_report& report) const {
    int running = 0;
    for (const located_target& target : targets) {
        const auto found = report.targets.find(target.hash);
        const bool is_outside = target.failure_domain != this->home;
        running += is_outside && found != report.targets.end() ? found->second.running : 0;
    }
    return running;
}

failure_domain_id target_locality::home_of(const failure_domain_id& domain,
                                           incarnation_id incarnation) const {
    return home_domain(domain, incarnation, this->open_domains);
}

const failure_domain_id& target_locality::next_domain(std::minstd_rand& random) const {
    return draw_domain(this->current_shares, random);
}

std::optional<usual_load> target_locality::usual_load_of(const failure_domain_id& domain,
                                                         int slots) const {
    const auto found = this->peer_utilization.find(domain);
    if (!this->mean_response_time || found == this->peer_utilization.end()) {
        return std::nullopt;
    }
    return usual_load{found->second * slots, *this->mean_response_time};
}

} // namespace knapweedknot
