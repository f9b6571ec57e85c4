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
/// Sends requests to the targets of one service: chooses, queues, retries and cancels.

namespace knapweedknot {

/// A request for a service.
struct service_request {
    http_request request;
    /// Whose turn it is in the queue; empty on open routes.
    account_id account;
    time_point deadline;
    /// True when a target may run it more than once.
    bool repeatable{false};
};

/// A whole answer and who gave it.
struct service_response {
    http_answer answer;
    target_id target;
    /// Time from the send to the target until its answer was whole.
    duration spent{duration::zero()};
};

/// Identifies a running request so that it can be cancelled.
using dispatch_id = detail::strong_id<struct dispatch_id_tag, std::uint64_t>;

/// Parameters of a dispatcher that do not belong to the service.
struct dispatcher_options {
    /// Instances that share a target's connections.
    int max_instances{44};
    http_client_limits limits;
    /// Local address of connections to targets.
    std::string source_ip;
    /// True for an address that the platform lists as leaving.
    std::function<bool(const endpoint&)> is_leaving;
};

/// What operators see of a target.
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

/// Dispatches for one service. Not thread safe.
class service_dispatcher {
public:
    using handler = std::function<void(result<service_response>)>;

    service_dispatcher(loop& owner, const service_ptr& service, dispatcher_options options);

    /// Takes a changed service. Running requests end where they are.
    void update(const service_ptr& service);
    /// Sends \p request and calls \p done once, at once or later.
    dispatch_id dispatch(service_request request, handler done);
    /// Cancels a request whose caller has gone; its handler is not called.
    void cancel(dispatch_id ticket);
    [[nodiscard]] std::vector<target_view> view() const;
    [[nodiscard]] std::size_t queued() const noexcept { return this->waiting.size(); }

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

    struct job {
        service_request wanted;
        handler done;
        /// Targets that refused or failed the request.
        std::set<target_id> tried;
        int attempts{0};
        /// Target and connection of the running attempt.
        target_ptr at;
        std::unique_ptr<http_connection> connection;
        time_point sent;
        timer expiry;
    };
    using job_ptr = std::shared_ptr<job>;

    void start(dispatch_id ticket, const job_ptr& work);
    void wait(dispatch_id ticket, const job_ptr& work);
    void attempt(dispatch_id ticket, const job_ptr& work, const target_ptr& at);
    void handle_outcome(dispatch_id ticket, const job_ptr& work, http_outcome outcome);
    void handle_answer(dispatch_id ticket, const job_ptr& work, http_answer answer);
    void handle_failure(dispatch_id ticket, const job_ptr& work, const http_failure& failure);
    [[nodiscard]] bool may_retry(const job& work, send_progress progress);
    void release(const job_ptr& work, bool reusable);
    void finish(dispatch_id ticket, result<service_response> outcome);
    void serve_waiting();
    [[nodiscard]] target_ptr choose(const job& work);
    [[nodiscard]] std::vector<target_ptr> usable(time_point now) const;
    [[nodiscard]] int limit_per_target() const;
    [[nodiscard]] health_policy policy() const;
    void judge(target_state& judged, time_point now);

    loop& owner;
    service_ptr current;
    dispatcher_options options;
    std::map<target_id, target_ptr> targets;
    std::map<dispatch_id, job_ptr> jobs;
    fair_queue<dispatch_id> waiting;
    retry_budget retries;
    std::uint64_t last_ticket{0};
    std::minstd_rand random;
};

} // namespace knapweedknot
