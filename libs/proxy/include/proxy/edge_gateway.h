#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/traffic_policy.h"
#include "decide/refill_share.h"
#include "decide/serving_roster.h"
#include "decide/weighted_round_robin.h"
#include "event/http_server.h"
#include "fleet/policy_follower.h"
#include "fleet/report_exchange.h"
#include "fleet/target_directory.h"
#include "proxy/account_rate_limiter.h"
#include "proxy/balancer.h"
#include "proxy/edge_metrics.h"
#include "proxy/edge_settings.h"
#include "proxy/header_names.h"
#include "proxy/request_preparation.h"
#include "proxy/retry_limiter.h"

/// \file
/// Request processing of an edge: routing, authentication, policy confirmation, rate limiting,
/// traffic splitting and load balancing.

namespace knapweedknot {

/// Serves callers under the newest traffic policy. Not thread safe.
class edge_gateway {
public:
    /// Components that the gateway uses. All must outlive it.
    struct dependencies {
        loop& owner;
        const edge_settings& settings;
        const header_names& headers;
        policy_follower& policy;
        target_directory& directory;
        report_exchange& reports;
    };

    explicit edge_gateway(const dependencies& given);

    /// Starts to listen on the callers' address.
    [[nodiscard]] result<void> listen();
    /// Applies the request limits of the newly adopted policy.
    void apply_policy();
    /// Applies changed bounds of the settings that are not read for each request.
    void apply_bounds();
    /// Takes over the directory's targets of \p service.
    void update_targets(const service_id& service);
    /// Applies the evacuations that have started or ended.
    void update_evacuations();
    /// For a planned stop: accepts no further connections, and refuses requests that are received
    /// from now on, since they may take longer than the rest of the stop.
    void stop_accepting();
    /// Ends every request that has no response yet, so that the responses queued behind it on its
    /// connection can be sent.
    void fail_all();
    /// Adds the state of the gateway to the report of this instance.
    void add_to_report(instance_report& report, report_kind kind, time_point now);
    /// Applies a peer's report; \p before is its previous one, null for the first.
    void handle_report(const reporting_peer& peer, const instance_report* before);
    void handle_peer_lost(const reporting_peer& peer);

    /// True when the recent request rate was high enough to count as serving.
    [[nodiscard]] bool is_serving(time_point now) const noexcept;
    /// Requests per second, as an exponential moving average.
    [[nodiscard]] double request_rate_at(time_point now) const;
    [[nodiscard]] http_server& server() noexcept { return this->caller_server; }
    [[nodiscard]] const http_server& server() const noexcept { return this->caller_server; }
    [[nodiscard]] edge_metrics& request_metrics() noexcept { return this->metrics; }
    [[nodiscard]] const edge_metrics& request_metrics() const noexcept { return this->metrics; }
    [[nodiscard]] std::string metrics_text() const;

private:
    using request_ptr = std::shared_ptr<incoming_request>;
    struct running_request;

    void handle(const request_ptr& incoming);
    /// Whether a request has to wait until the policy is confirmed to be the newest one.
    enum class confirmation_need {
        none,
        /// A newer policy may have to be in force. If the store does not answer soon, the request
        /// is handled by the present one.
        preferred,
        /// Without a confirmation the request is refused.
        required,
    };

    /// Matches the request and starts it if it is admitted. Waits once for a confirmation of the
    /// policy where one is needed.
    /// \param confirmation_awaited true when the wait is over
    void route_and_admit(const request_ptr& incoming, bool confirmation_awaited);
    [[nodiscard]] confirmation_need needed_confirmation(const result<matched_request>& matched,
                                                        time_point now) const;
    void await_confirmation(const request_ptr& incoming, confirmation_need need);
    void admit(const request_ptr& incoming, const matched_request& matched);
    void start(const request_ptr& incoming, const matched_request& matched);
    /// Calls \p step after \p wait, unless the request has ended by then. Erasing the returned
    /// entry of waiting_requests cancels it.
    std::uint64_t continue_after(const request_ptr& incoming, duration wait,
                                 std::function<void()> step);
    [[nodiscard]] warm_up_limits warm_up_limits_of(const service_id& service) const;
    /// Takes over the warm-up rates of the policy.
    void apply_warm_up_limits();
    /// Notes which instances serve, where the policy limits the requests to targets in warm-up.
    void observe_instances(time_point now);
    [[nodiscard]] const service_id& choose_service(const traffic_route& route);
    [[nodiscard]] balancer& balancer_of(const service_id& service);
    void finish(const request_ptr& incoming, const proxied_request& summary, proxy_outcome outcome);
    void refuse(const request_ptr& incoming, const error& problem,
                std::optional<duration> retry_after);
    [[nodiscard]] http_response make_refusal(const error& problem, execution outcome,
                                             std::optional<duration> retry_after) const;
    [[nodiscard]] bool may_overlap(const http_request& request) const;
    void record_request(time_point now);
    void record_connection_end(const connection_end& end);
    void write_connection_metrics(std::string& text) const;

    loop& owner;
    const edge_settings& settings;
    header_names headers;
    policy_follower& policy;
    target_directory& directory;
    report_exchange& reports;
    retry_limiter retries;
    account_rate_limiter accounts;
    edge_metrics metrics;
    connection_end_counts connection_ends;
    std::shared_ptr<target_connection_end_counts> target_ends{
        std::make_shared<target_connection_end_counts>()};
    std::map<service_id, std::unique_ptr<balancer>> balancers;
    struct route_split {
        std::vector<weighted_service> services;
        weighted_round_robin split;
    };
    std::unordered_map<route_id, route_split> splits;
    /// Serving peers that are disconnected and may still admit requests.
    lost_instances lost_peers;
    serving_roster instances;
    /// Whether any service has a warm-up rate.
    bool limits_warm_ups{false};
    /// Timers of requests that wait, for their token or for a confirmation.
    std::unordered_map<std::uint64_t, timer> waiting_requests;
    std::uint64_t last_waiting{0};
    time_point started;
    /// Requests per second at rate_updated_at, as an exponential moving average.
    double request_rate{0};
    time_point rate_updated_at;
    std::optional<time_point> last_serving;
    bool accepts_requests{true};
    http_server caller_server;
};

} // namespace knapweedknot
