#include "proxy/request_admission.h"

#include <algorithm>

#include "base/digest.h"

namespace knapweedknot {

namespace {

constexpr double max_spread = 0.5;

/// A caller that states less time than the route allows has used up the difference, for example by
/// an attempt at another instance: its request counts as that much older.
queued_request describe(const pending_request& pending, const latency_model& model) {
    const proxied_request& request = pending.request;
    const traffic_route& route = *request.route;
    const duration usual_time = model.quantile(0.5);
    const time_point began =
        std::min<time_point>(request.arrived_at, request.deadline - route.timeout);
    return {.id = pending.id.value,
            .account = request.account,
            .priority = request.priority,
            .latency_target = route.latency_target,
            .latest_in_time = began + route.latency_target - usual_time,
            .latest_start = request.deadline - usual_time,
            .is_retry = pending.may_have_run};
}

} // namespace

request_admission::request_admission(const target_pool& pool, const report_exchange& heard)
    : targets(pool), reports(heard),
      random(static_cast<std::minstd_rand::result_type>(random_nonzero())) {}

bool request_admission::may_wait(const pending_request& pending, const latency_model& model,
                                 duration pause, time_point now) {
    const serving_peer_counts peers = this->reports.count_serving(now);
    const std::size_t serving = peers.on_time + peers.overdue + 1;
    this->waiting.set_expected_rate(
        expected_departure_rate(this->targets.capacity(now), serving, model.mean()));
    return this->waiting.may_wait(describe(pending, model), pause, now);
}

void request_admission::push(const pending_request& pending, const latency_model& model,
                             time_point now) {
    this->waiting.push(describe(pending, model), now);
}

duration request_admission::retry_after(const pending_request& pending, duration pause,
                                        time_point now) {
    const duration for_room =
        this->waiting.retry_after(pending.request.priority, this->jitter(), now);
    return std::max(for_room, this->spread(pause));
}

duration request_admission::spread(duration delay) {
    return from_seconds(to_seconds(delay) * (1 + max_spread * this->jitter()));
}

/// Random number from 0 to 1.
double request_admission::jitter() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

} // namespace knapweedknot
