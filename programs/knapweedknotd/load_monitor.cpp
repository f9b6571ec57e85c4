#include "load_monitor.h"

#include <array>
#include <optional>
#include <utility>

#include "base/log.h"
#include "proxy/edge_metrics.h"

namespace knapweedknot {

namespace {

constexpr duration sample_interval = seconds(1);
constexpr duration store_calls_interval = seconds(10);

std::string milliseconds_text(std::optional<duration> value) {
    return std::to_string(value ? to_milliseconds(*value) : -1);
}

double seconds_or_minus_one(std::optional<duration> value) {
    return value ? to_seconds(*value) : -1;
}

const char* report_kind_name(report_kind kind) {
    switch (kind) {
    case report_kind::brief:
        return "brief";
    case report_kind::full:
        return "full";
    case report_kind::changes:
        return "changes";
    case report_kind::introduction:
        return "introduction";
    }
    return "brief";
}

} // namespace

load_monitor::load_monitor(const dependencies& given)
    : sources(given), lateness_monitor(given.owner),
      sample_timer(given.owner.every(sample_interval, [this] { this->sample(); })),
      store_calls_timer(
          given.owner.every(store_calls_interval, [this] { this->log_store_calls(); })) {}

/// Logs the calls since the start by kind, if there were any since the last line.
void load_monitor::log_store_calls() {
    const std::uint64_t total = this->sources.store.calls();
    if (std::exchange(this->logged_store_calls, total) == total) {
        return;
    }
    const auto& calls = this->sources.store.calls_by_kind();
    const auto count_of = [&calls](const char* kind) {
        const auto found = calls.find(kind);
        return std::to_string(found == calls.end() ? 0 : found->second.sent);
    };
    const store_relay_counts& relayed = this->sources.relay.counts();
    log_event(log_level::info, "store_calls",
              {{"total", std::to_string(total)},
               {"get", count_of("get")},
               {"list", count_of("list")},
               {"watch", count_of("watch")},
               {"write", count_of("write")},
               {"relay_asked", std::to_string(relayed.asked)},
               {"relay_unanswered", std::to_string(relayed.unanswered)},
               {"relay_replied", std::to_string(relayed.replied)},
               {"relay_refused", std::to_string(relayed.refused)}});
}

void load_monitor::sample() {
    const time_point now = boot_clock::now();
    this->max_lateness = this->lateness_monitor.take_max_lateness();
    this->longest_store_call = this->sources.store.take_longest_call();
    const mesh_traffic traffic = this->sources.network.traffic();
    const mesh_traffic previous = std::exchange(this->previous_traffic, traffic);
    if (!this->sources.gateway.is_serving(now)) {
        return;
    }
    const serving_peer_counts peers = this->sources.reports.count_serving(now);
    log_event(
        log_level::info, "instance_load",
        {{"late_ms", milliseconds_text(this->max_lateness)},
         {"store_call_ms", milliseconds_text(this->longest_store_call)},
         {"requests_per_s",
          std::to_string(static_cast<int>(this->sources.gateway.request_rate_at(now)))},
         {"running", std::to_string(this->sources.gateway.server().running_requests())},
         {"caller_bytes_queued", std::to_string(this->sources.gateway.server().bytes_queued())},
         {"peer_bytes_sent", std::to_string(traffic.sent - previous.sent)},
         {"peer_bytes_received", std::to_string(traffic.received - previous.received)},
         {"peer_bytes_queued", std::to_string(traffic.queued)},
         {"serving_peers_heard", std::to_string(peers.on_time)},
         {"serving_peers_unheard", std::to_string(peers.overdue)},
         {"oldest_report_ms", milliseconds_text(peers.oldest_report_age)},
         {"store_calls", std::to_string(this->sources.store.calls())},
         {"proof_age_ms", milliseconds_text(this->sources.policy.confirmation_age(now))},
         {"targets_age_ms", milliseconds_text(this->sources.directory.age(now))}});
}

void load_monitor::write_metrics(std::string& text) const {
    const time_point now = boot_clock::now();
    const mesh_traffic traffic = this->sources.network.traffic();
    const auto write = [&](const char* name, const std::string& label, auto value) {
        write_metric(text, name, label, static_cast<double>(value));
    };
    write("loop_lateness_seconds", "", to_seconds(this->max_lateness));
    write("store_call_seconds", "", to_seconds(this->longest_store_call));
    write("caller_bytes_queued", "", this->sources.gateway.server().bytes_queued());
    write("peer_bytes_total", "direction=\"sent\"", traffic.sent);
    write("peer_bytes_total", "direction=\"received\"", traffic.received);
    write("peer_bytes_queued", "", traffic.queued);
    for (const auto& [kind, sent] : this->sources.reports.sent()) {
        const std::string label = std::string("kind=\"") + report_kind_name(kind) + '"';
        write("reports_sent_total", label, sent.count);
        write("report_bytes_sent_total", label, sent.bytes);
    }
    const store_relay_counts& relayed = this->sources.relay.counts();
    write("relay_requests_total", "outcome=\"sent\"", relayed.asked);
    write("relay_requests_total", "outcome=\"unanswered\"", relayed.unanswered);
    write("relay_replies_total", "outcome=\"answered\"", relayed.replied);
    write("relay_replies_total", "outcome=\"refused\"", relayed.refused);
    write("policy_proof_age_seconds", "",
          seconds_or_minus_one(this->sources.policy.confirmation_age(now)));
    write("policy_watch_age_seconds", "",
          seconds_or_minus_one(this->sources.policy.watch_age(now)));
    write("targets_age_seconds", "", seconds_or_minus_one(this->sources.directory.age(now)));
    write("peers_heard", "", this->sources.reports.live_peer_count());
}

} // namespace knapweedknot
