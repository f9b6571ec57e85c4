#pragma once

#include <functional>
#include <map>
#include <memory>

#include "config/configuration.h"
#include "control/admission_controller.h"
#include "control/config_quorum.h"
#include "control/heartbeat_service.h"
#include "control/instance_list_poller.h"
#include "control/settings.h"
#include "entry/gateway_metrics.h"
#include "entry/idempotent_executor.h"
#include "entry/prefix_collector.h"
#include "entry/request_preparation.h"
#include "entry/service_dispatcher.h"
#include "event/http_server.h"

/// \file
/// Request processing of an instance: routing, authentication, rate limiting, idempotency keys and
/// load balancing.

namespace knapweedknot {

/// Serves callers. Not thread safe.
class gateway {
public:
    gateway(loop& owner, const instance_settings& settings, configuration& config,
            config_quorum& quorum, admission_controller& admission, heartbeat_service& heartbeats,
            instance_list_poller& instance_list, mesh& network);

    /// Starts to listen on the callers' address.
    [[nodiscard]] result<void> listen();
    /// Applies the services of a changed configuration.
    void update_services();

    [[nodiscard]] http_server& server() noexcept { return this->caller_server; }
    [[nodiscard]] prefix_collector& prefixes() noexcept { return this->collector; }
    [[nodiscard]] gateway_metrics& request_metrics() noexcept { return this->metrics; }
    [[nodiscard]] const std::map<service_id, std::unique_ptr<service_dispatcher>>&
    dispatchers() const noexcept {
        return this->service_dispatchers;
    }

private:
    using context_ptr = std::shared_ptr<request_context>;

    void handle(const std::shared_ptr<incoming_request>& request);
    [[nodiscard]] result<void> prepare(request_context& context) const;
    /// Applies the account's rate limit, if the request has an account, and dispatches it.
    /// \param cancel_with_caller true when the request is cancelled once its caller disconnects
    /// \param done called with the outcome
    void admit_and_dispatch(const context_ptr& context, bool cancel_with_caller,
                            service_dispatcher::handler done);
    void dispatch(const context_ptr& context, service_request&& request, bool cancel_with_caller,
                  service_dispatcher::handler done);
    void run_idempotent(const context_ptr& context, const std::string& key);
    void forward_to_issuer(const context_ptr& context, incarnation_id issuer);
    void send_addresses(const context_ptr& context, const std::vector<peer_info>& chosen,
                        const prefix_collector::prefixes_by_issuer& prefixes);
    [[nodiscard]] std::vector<peer_info> choose_instances(const client_account& account) const;
    void finish(const context_ptr& context, result<service_response> outcome);
    void refuse(const request_context& context, const error& problem);
    void handle_address_request(const context_ptr& context);
    [[nodiscard]] dispatcher_options make_dispatcher_options() const;

    loop& owner;
    const instance_settings& settings;
    configuration& config;
    config_quorum& quorum;
    admission_controller& admission;
    heartbeat_service& heartbeats;
    instance_list_poller& instance_list;
    mesh& network;
    idempotent_executor executor;
    prefix_collector collector;
    gateway_metrics metrics;
    std::map<service_id, std::unique_ptr<service_dispatcher>> service_dispatchers;
    std::map<service_id, service_ptr> applied_services;
    http_server caller_server;
};

} // namespace knapweedknot
