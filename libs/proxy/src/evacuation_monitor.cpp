#include "proxy/evacuation_monitor.h"

#include "base/log.h"
#include "proxy/edge_metrics.h"

namespace knapweedknot {

namespace {

constexpr duration check_interval = seconds(1);

/// Formats the label of a failure domain. An operator may have written any name.
std::string domain_label(const failure_domain_id& domain) {
    std::string label = "failure_domain=\"";
    for (const char character : domain.value) {
        if (character == '\n') {
            label += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            label += '\\';
        }
        label += character;
    }
    return label + '"';
}

bool is_same_order(const evacuation_state& a, const evacuation_state& b) {
    return a.since == b.since && a.revision == b.revision;
}

} // namespace

void evacuation_monitor::start() {
    if (this->sources.policy.follows_orders()) {
        this->check_timer =
            this->sources.owner.every(check_interval, [this] { this->check_domains(); });
    }
}

void evacuation_monitor::record_malformed(const evacuation_order& order) {
    this->report(order.failure_domain, order.revision, "the value is not a JSON object");
}

void evacuation_monitor::check_domains() {
    const evacuation_states& states = this->sources.policy.evacuations().states();
    std::erase_if(this->unknown_domains,
                  [&states](const auto& item) { return !is_evacuated(states, item.first); });
    if (!this->sources.directory.is_loaded()) {
        return;
    }
    for (const auto& [domain, state] : states) {
        if (!state.evacuated || this->sources.directory.has_targets_in(domain)) {
            continue;
        }
        const auto [place, is_new] = this->unknown_domains.try_emplace(domain, state);
        if (is_new || !is_same_order(place->second, state)) {
            place->second = state;
            this->report(domain, state.revision, "no target is registered in the failure domain");
        }
    }
}

void evacuation_monitor::report(const failure_domain_id& domain, std::uint64_t revision,
                                const char* problem) {
    ++this->unusable;
    log_event(log_level::warning, "evacuation_order_unusable",
              {{"failure_domain", domain.value},
               {"revision", std::to_string(revision)},
               {"problem", problem},
               {"count", std::to_string(this->unusable)}});
}

void evacuation_monitor::write_metrics(std::string& text) const {
    if (!this->sources.policy.follows_orders()) {
        return;
    }
    const time_point now = boot_clock::now();
    const evacuation_orders& orders = this->sources.policy.evacuations();
    for (const auto& [domain, state] : orders.states()) {
        const std::string label = domain_label(domain);
        write_metric(text, "failure_domain_evacuated", label, state.evacuated ? 1 : 0);
        if (state.evacuated) {
            write_metric(text, "failure_domain_evacuated_seconds", label,
                         to_seconds(now - state.since));
        }
    }
    const auto confirmed_at = orders.confirmed_at();
    write_metric(text, "evacuation_proof_age_seconds", "",
                 confirmed_at ? to_seconds(now - *confirmed_at) : -1);
    write_metric(text, "evacuation_orders_unusable_total", "", static_cast<double>(this->unusable));
}

} // namespace knapweedknot
