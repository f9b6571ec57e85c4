#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/entities.h"
#include "decide/fair_queue.h"
#include "decide/retry_budget.h"
#include "decide/target_health.h"
#include "event/http_client.h"
#include "event/loop.h"

/// \file
/// Load balancing of one service: target choice, queueing, retries and cancellation.

namespace knapweedknot {

/// An admitted request.
struct service_request {
    http_request message;
    /// Account that the fair queue counts the request under; empty on open routes.
    account_id account;
    time_point deadline;
    /// True when the request may be run more than once, so that it can be retried.
    bool idempotent{false};
};

/// A target's complete response.
struct service_response {
    http_response message;
    target_id target;
    /// Time from the start of the attempt to its complete response.
    duration response_time{duration::zero()};
};

/// Identifies a request for cancellation.
using dispatch_id = detail::strong_id<struct dispatch_id_tag, std::uint64_t>;

/// Options shared by the dispatchers of all services.
struct dispatcher_options {
    /// Number of instances that share the connections allowed to a target.
    int max_instances{44};
    http_client_limits limits;
    /// Local IP address of connections to targets.
    std::string source_ip;
    /// Returns true for an address that the platform lists as leaving.
    std::function<bool(const endpoint&)> is_leaving;
};

/// State of a target, as shown to operators.
struct target_view {
    target_id id;
    int in_flight{0};
    bool ejected{false};
    bool leaving{false};
    std::string reason;
    double latency_ms{0};
    std::uint64_t requests{0};
    std::uint64_t failures{0};
};

/// Balances the requests for one service over its targets. Not thread safe.
class service_dispatcher {
public:
    using handler = std::function<void(result<service_response>)>;

    service_dispatcher(loop& owner, const service_ptr& served, dispatcher_options options);

    /// Applies a changed service. Requests running at a removed target continue there.
    void update(const service_ptr& changed);
    /// Sends or queues \p request. Calls \p done exactly once, possibly before this returns, unless
    /// the request is cancelled.
    dispatch_id dispatch(service_request request, handler done);
    /// Cancels a request whose caller has disconnected. Its handler is not called.
    void cancel(dispatch_id id);
    [[nodiscard]] std::vector<target_view> target_views() const;
    [[nodiscard]] std::size_t queued() const noexcept { return this->queue.size(); }

private:
    struct target_state {
        target definition;
        target_health health;
        std::vector<std::unique_ptr<http_connection>> idle;
        int in_flight{0};
        std::uint64_t requests{0};
        std::uint64_t failures{0};
        bool removed{false};
    };
    using target_ptr = std::shared_ptr<target_state>;

    struct pending_request {
        service_request request;
        handler on_done;
        /// Targets that refused the request or failed.
        std::set<target_id> tried_targets;
        int send_count{0};
        /// Target and connection of the running attempt; null while there is none.
        target_ptr target;
        std::unique_ptr<http_connection> connection;
        time_point sent_at;
        timer deadline_timer;
    };
    using pending_request_ptr = std::shared_ptr<pending_request>;

    void start(dispatch_id id, const pending_request_ptr& pending);
    void enqueue(dispatch_id id, const pending_request_ptr& pending);
    void send(dispatch_id id, const pending_request_ptr& pending, const target_ptr& target);
    void handle_outcome(dispatch_id id, const pending_request_ptr& pending, http_outcome outcome);
    void handle_response(dispatch_id id, const pending_request_ptr& pending, http_response answer);
    void handle_failure(dispatch_id id, const pending_request_ptr& pending,
                        const http_failure& failure);
    [[nodiscard]] bool may_retry(const pending_request& pending, send_progress progress);
    void release_connection(const pending_request_ptr& pending, bool reusable);
    void finish(dispatch_id id, result<service_response> outcome);
    void dispatch_queued();
    [[nodiscard]] target_ptr choose(const pending_request& pending);
    [[nodiscard]] std::vector<target_ptr> targets_in_rotation(time_point now) const;
    [[nodiscard]] int max_requests_per_target() const;
    [[nodiscard]] health_policy make_health_policy() const;
    void check_latency(target_state& checked, time_point now);

    loop& owner;
    service_ptr service;
    dispatcher_options options;
    std::map<target_id, target_ptr> targets;
    std::map<dispatch_id, pending_request_ptr> pending_requests;
    fair_queue<dispatch_id> queue;
    retry_budget retries;
    std::uint64_t last_id{0};
    std::minstd_rand random;
};

} // namespace knapweedknot
