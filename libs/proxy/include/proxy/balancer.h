#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/traffic_policy.h"
#include "decide/latency_model.h"
#include "proxy/attempt_evidence.h"
#include "proxy/attempt_sender.h"
#include "proxy/header_names.h"
#include "proxy/pending_request.h"
#include "proxy/proxied_request.h"
#include "proxy/request_admission.h"
#include "proxy/retry_limiter.h"
#include "proxy/target_pool.h"

/// \file
/// Load balancing of one service: target choice, queueing, retries, hedging and cancellation.

namespace knapweedknot {

/// Options shared by the balancers of all services.
struct balancer_options : attempt_options {
    header_names headers;
    target_pool_options targets;
    /// While another instance knows of a change to the registrations that this one does not, and
    /// these were confirmed longer ago, no target is sent a request: it may be leaving. Requests
    /// are held for a short time, and refused if that does not end.
    duration max_registrations_age{milliseconds(1500)};
};

/// Components shared by the balancers of an instance. All must outlive the balancer.
struct balancer_dependencies {
    loop& owner;
    const target_directory& directory;
    const report_exchange& reports;
    retry_limiter& retries;
};

/// Counters of a balancer since its creation.
struct balancer_counts {
    std::uint64_t sent{0};
    std::uint64_t retried{0};
    std::uint64_t new_connections{0};
    std::uint64_t not_executed{0};
    std::uint64_t failed_attempts{0};
    /// Requests refused at once because they could not be served in time.
    std::uint64_t refused_not_in_time{0};
    /// Queued requests refused when it showed that they would not be sent before their deadline.
    std::uint64_t dropped_from_queue{0};
    /// Requests refused because the service has no target for them.
    std::uint64_t refused_no_target{0};
    /// Requests refused because the targets for them are in evacuated failure domains.
    std::uint64_t refused_evacuated{0};
    /// Requests refused because no target is in their allowed regions.
    std::uint64_t refused_regions{0};
    /// Requests that had to wait, or were refused, because no target with a free slot had room for
    /// their bodies.
    std::uint64_t held_for_memory{0};
};

/// Balances the requests for one service over its targets. Not thread safe.
class balancer {
public:
    balancer(service_id service, const balancer_dependencies& shared,
             const balancer_options& options);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    /// Sends or queues \p request. Calls \p done exactly once, possibly before this returns, unless
    /// the request is cancelled.
    balancer_request_id start(proxied_request&& request, proxy_handler done);
    /// Cancels a request whose caller has disconnected. Its handler is not called.
    void cancel(balancer_request_id id);
    /// Ends every request as if its deadline had passed.
    void fail_all();
    /// Replaces the targets by those that the directory now lists, and sends queued requests.
    void update_targets();
    /// Applies the evacuations that have started or ended: refuses queued requests without a
    /// permitted target, and sends the others.
    void update_evacuations();
    [[nodiscard]] balancer_counts counts() const noexcept;
    [[nodiscard]] std::size_t queued() const noexcept { return this->admission.queue().size(); }
    [[nodiscard]] std::size_t running() const noexcept { return this->pending_requests.size(); }
    /// What this instance's callers ask of the service, for its reports.
    [[nodiscard]] service_demand demand() const;
    [[nodiscard]] target_pool& pool() noexcept { return this->targets; }

private:
    void dispatch(const pending_request_ptr& pending);
    void send(const pending_request_ptr& pending, const target_ptr& target);
    void handle_outcome(const pending_request_ptr& pending, request_attempt& ended,
                        http_outcome outcome);
    void handle_response(const pending_request_ptr& pending, const target_ptr& target,
                         duration response_time, http_response answer);
    void handle_failure(const pending_request_ptr& pending, const ended_attempt& ended,
                        const http_failure& failure);
    void handle_not_executed(const pending_request_ptr& pending);
    void retry_or_fail(const pending_request_ptr& pending, const error& problem);
    [[nodiscard]] bool wait_for_retry(const pending_request_ptr& pending, const error& problem);
    void enqueue(const pending_request_ptr& pending, duration pause);
    void refuse_overloaded(const pending_request_ptr& pending, const std::string& reason,
                           duration pause);
    void drop_hopeless(time_point now);
    [[nodiscard]] offer_result offer(const pending_request_ptr& pending, time_point now);
    void forget(const pending_request_ptr& pending);
    void dispatch_queued();
    [[nodiscard]] bool refuse_for_warm_up(const pending_request_ptr& pending);
    [[nodiscard]] bool knows_targets(time_point now) const;
    [[nodiscard]] bool has_lost_targets(time_point now) const;
    [[nodiscard]] bool is_quarantined(const pending_request& pending, time_point now) const;
    void refuse_quarantined(const pending_request_ptr& pending);
    void refuse_unknown_targets(const pending_request_ptr& pending);
    void refuse_queued(time_point now);
    void refuse_without_target(const pending_request_ptr& pending, std::optional<duration> wait);
    void refuse_queued_without_target();
    void record_if_held(pending_request& pending, time_point now);
    [[nodiscard]] bool lacks_only_memory(const pending_request& pending, time_point now) const;
    void check_running_requests();
    void hedge_if_slow(const pending_request_ptr& pending, time_point now);
    void handle_deadline(const pending_request_ptr& pending);
    void finish(const pending_request_ptr& pending, proxy_outcome outcome);
    void finish_with_error(const pending_request_ptr& pending, const error& problem,
                           std::optional<duration> retry_after);
    [[nodiscard]] target_ptr choose(const pending_request& pending, time_point now);
    [[nodiscard]] latency_model& latency_model_of(const traffic_route& route);

    service_id service;
    balancer_dependencies shared;
    balancer_options options;
    target_pool targets;
    request_admission admission;
    attempt_evidence evidence;
    attempt_sender sender;
    std::map<balancer_request_id, pending_request_ptr> pending_requests;
    std::unordered_map<route_id, latency_model> latency_models;
    balancer_counts counters;
    std::uint64_t last_id{0};
    timer check_timer;
};

} // namespace knapweedknot
