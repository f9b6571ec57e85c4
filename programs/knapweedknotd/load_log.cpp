#include "load_log.h"

#include <array>
#include <optional>
#include <utility>

#include "base/log.h"
#include "proxy/edge_metrics.h"

namespace knapweedknot {

namespace {

constexpr duration look_interval = seconds(1);

std::string ms_text(std::optional<duration> value) {
    return std::to_string(value ? to_milliseconds(*value) : -1);
}

double seconds_or_none(std::optional<duration> value) {
    return value ? to_seconds(*value) : -1;
}

const char* name_of(report_kind kind) {
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

load_log::load_log(const parts& given)
    : measured(given), monitor(given.owner),
      looking(given.owner.every(look_interval, [this] { this->look(); })) {}

void load_log::look() {
    const time_point now = boot_clock::now();
    this->latest_lateness = this->monitor.take_max_lateness();
    this->latest_call = this->measured.store.take_longest_call();
    const mesh_traffic traffic = this->measured.network.traffic();
    const mesh_traffic last = std::exchange(this->before, traffic);
    if (!this->measured.gateway.is_serving(now)) {
        return;
    }
    const serving_peer_counts peers = this->measured.reports.count_serving(now);
    log_event(
        log_level::info, "instance_load",
        {{"late_ms", ms_text(this->latest_lateness)},
         {"store_call_ms", ms_text(this->latest_call)},
         {"requests_per_s",
          std::to_string(static_cast<int>(this->measured.gateway.request_rate_at(now)))},
         {"running", std::to_string(this->measured.gateway.server().running_requests())},
         {"caller_bytes_queued", std::to_string(this->measured.gateway.server().bytes_queued())},
         {"peer_bytes_sent", std::to_string(traffic.sent - last.sent)},
         {"peer_bytes_received", std::to_string(traffic.received - last.received)},
         {"peer_bytes_queued", std::to_string(traffic.queued)},
         {"serving_peers_heard", std::to_string(peers.on_time)},
         {"serving_peers_unheard", std::to_string(peers.overdue)},
         {"oldest_report_ms", ms_text(peers.oldest_report_age)},
         {"proof_age_ms", ms_text(this->measured.policy.confirmation_age(now))},
         {"targets_age_ms", ms_text(this->measured.directory.age(now))}});
}

void load_log::write_metrics(std::string& text) const {
    const time_point now = boot_clock::now();
    const mesh_traffic traffic = this->measured.network.traffic();
    const auto write = [&](const char* name, const std::string& label, auto value) {
        write_metric(text, name, label, static_cast<double>(value));
    };
    write("loop_lateness_seconds", "", to_seconds(this->latest_lateness));
    write("store_call_seconds", "", to_seconds(this->latest_call));
    write("caller_bytes_queued", "", this->measured.gateway.server().bytes_queued());
    write("peer_bytes_total", "direction=\"sent\"", traffic.sent);
    write("peer_bytes_total", "direction=\"received\"", traffic.received);
    write("peer_bytes_queued", "", traffic.queued);
    for (const auto& [kind, sent] : this->measured.reports.sent()) {
        const std::string label = std::string("kind=\"") + name_of(kind) + '"';
        write("reports_sent_total", label, sent.count);
        write("report_bytes_sent_total", label, sent.bytes);
    }
    write("policy_proof_age_seconds", "",
          seconds_or_none(this->measured.policy.confirmation_age(now)));
    write("targets_age_seconds", "", seconds_or_none(this->measured.directory.age(now)));
    write("peers_heard", "", this->measured.reports.live_peer_count());
}

} // namespace knapweedknot
