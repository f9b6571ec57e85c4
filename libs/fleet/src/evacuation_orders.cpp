#include "fleet/evacuation_orders.h"

#include <algorithm>
#include <set>

namespace knapweedknot {

namespace {

// Time for which the end of an evacuation is kept: longer than the slow start after it, and than
// older knowledge may be on its way.
constexpr duration end_retention = seconds(120);

} // namespace

std::vector<evacuation_change> evacuation_orders::apply_change(const evacuation_order& order,
                                                               time_point now) {
    std::vector<evacuation_change> changes;
    const auto known = this->domains.find(order.failure_domain);
    if (known == this->domains.end() || known->second.revision < order.revision) {
        this->set(order.failure_domain, order.in_force, order.revision, now, changes);
    }
    return changes;
}

std::vector<evacuation_change>
evacuation_orders::apply_listing(const std::vector<evacuation_order>& orders,
                                 std::uint64_t revision, time_point read_started, time_point now) {
    std::vector<evacuation_change> changes;
    if (this->confirmed && read_started < *this->confirmed) {
        return changes;
    }
    // A report that was learned of during the read may be newer than the listing.
    const auto is_newer_report = [read_started](const evacuation_state& known) {
        return known.revision == 0 && known.learned_at > read_started;
    };
    std::set<failure_domain_id> listed;
    for (const evacuation_order& order : orders) {
        listed.insert(order.failure_domain);
        const auto known = this->domains.find(order.failure_domain);
        const bool is_known_better =
            known != this->domains.end() &&
            (known->second.revision >= order.revision || is_newer_report(known->second));
        if (!is_known_better) {
            this->set(order.failure_domain, true, order.revision, now, changes);
        }
    }
    std::vector<failure_domain_id> ended;
    for (const auto& [domain, known] : this->domains) {
        const bool is_newer = known.revision > revision || is_newer_report(known);
        if (known.evacuated && !listed.contains(domain) && !is_newer) {
            ended.push_back(domain);
        }
    }
    for (const failure_domain_id& domain : ended) {
        this->set(domain, false, revision, now, changes);
    }
    this->confirm(read_started);
    this->forget_old_ends(now);
    return changes;
}

std::vector<evacuation_change>
evacuation_orders::apply_report(const std::vector<failure_domain_id>& evacuated,
                                time_point confirmed_at, time_point now) {
    std::vector<evacuation_change> changes;
    if (this->confirmed && confirmed_at < *this->confirmed) {
        return changes;
    }
    const std::set<failure_domain_id> listed(evacuated.begin(), evacuated.end());
    std::set<failure_domain_id> changed;
    for (const failure_domain_id& domain : listed) {
        if (!is_evacuated(this->domains, domain)) {
            changed.insert(domain);
        }
    }
    for (const auto& [domain, known] : this->domains) {
        if (known.evacuated && !listed.contains(domain)) {
            changed.insert(domain);
        }
    }
    for (const failure_domain_id& domain : changed) {
        const auto known = this->domains.find(domain);
        // What was learned of after the confirmation may be newer than the report.
        if (known == this->domains.end() || known->second.learned_at <= confirmed_at) {
            this->set(domain, listed.contains(domain), 0, now, changes);
        }
    }
    this->confirm(confirmed_at);
    this->forget_old_ends(now);
    return changes;
}

std::vector<std::string> evacuation_orders::evacuated_names() const {
    std::vector<std::string> names;
    for (const auto& [domain, known] : this->domains) {
        if (known.evacuated) {
            names.push_back(domain.value);
        }
    }
    return names;
}

void evacuation_orders::set(const failure_domain_id& domain, bool evacuated, std::uint64_t revision,
                            time_point now, std::vector<evacuation_change>& changes) {
    const bool is_change = is_evacuated(this->domains, domain) != evacuated;
    evacuation_state& state = this->domains[domain];
    state.evacuated = evacuated;
    state.revision = revision;
    state.learned_at = now;
    if (is_change) {
        state.since = now;
        changes.push_back({domain, evacuated, revision});
    }
}

void evacuation_orders::confirm(time_point at) {
    this->confirmed = this->confirmed ? std::max(*this->confirmed, at) : at;
}

void evacuation_orders::forget_old_ends(time_point now) {
    std::erase_if(this->domains, [now](const auto& item) {
        return !item.second.evacuated && now - item.second.learned_at > end_retention;
    });
}

} // namespace knapweedknot
