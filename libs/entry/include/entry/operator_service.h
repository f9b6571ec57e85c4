#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/admission_controller.h"
#include "control/config_quorum.h"
#include "control/heartbeat_service.h"
#include "control/patch_committer.h"
#include "control/seat_manager.h"
#include "entry/gateway.h"
#include "event/http_server.h"

/// \file
/// HTTP interface of an instance for operators, on a separate listener.
///
///     GET   /v1/configuration          {"number", "document"}
///     PATCH /v1/configuration?base=N   applies a merge patch or a JSON patch, by Content-Type
///     GET   /v1/history?after=N        accepted patches, oldest first
///     GET   /v1/status                 instances, seats, targets, accounts
///     POST  /v1/drain                  starts a graceful shutdown
///     GET   /metrics                   metrics; needs no token
///
/// All calls but /metrics need "Authorization: Bearer TOKEN" with the token of an operator in the
/// settings. The operator's name is recorded in the history and in the log.

namespace knapweedknot {

/// Components that the operator service uses. All must outlive it.
struct operator_service_dependencies {
    const instance_settings& settings;
    configuration& config;
    config_follower& follower;
    patch_committer& committer;
    config_quorum& quorum;
    heartbeat_service& heartbeats;
    seat_manager& seats;
    admission_controller& admission;
    gateway& caller_gateway;
    store_client& store;
    mesh& network;
};

/// Serves operators. Not thread safe.
class operator_service {
public:
    operator_service(loop& owner, const operator_service_dependencies& shared,
                     std::function<void()> start_drain);

    /// Starts to listen on the operators' address.
    [[nodiscard]] result<void> listen();

private:
    using request_ptr = std::shared_ptr<incoming_request>;

    void handle(const request_ptr& request);
    void handle_authenticated(const request_ptr& request, const std::string& author);
    void handle_patch(const request_ptr& request, const std::string& author);
    void answer_patch(const request_ptr& request, config_number base,
                      const result<accepted_patch>& outcome);
    void handle_history(const request_ptr& request);
    void collect_history(const request_ptr& request, std::uint64_t after,
                         const std::string& archive_key, std::vector<history_entry> newer);
    void answer_status(const request_ptr& request);
    void answer_metrics(const request_ptr& request);
    [[nodiscard]] result<std::string> authenticate(const incoming_request& request) const;
    [[nodiscard]] nlohmann::json changes_since(config_number base) const;
    [[nodiscard]] nlohmann::json describe_instances() const;
    [[nodiscard]] nlohmann::json describe_services() const;
    [[nodiscard]] nlohmann::json describe_accounts() const;
    [[nodiscard]] nlohmann::json describe_seats() const;

    operator_service_dependencies shared;
    std::function<void()> start_drain;
    http_server server;
};

} // namespace knapweedknot
