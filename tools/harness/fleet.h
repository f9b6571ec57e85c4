#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "operator_client/operator_client.h"
#include "partition_relay.h"
#include "process.h"

/// \file
/// A fleet of instances with its platform and targets, run as processes on 127.0.0.0/8.

namespace knapweedknot::harness {

/// Size, settings and network of a fleet.
struct fleet_options {
    int instances{4};
    /// Targets that the fleet serves, all in one process.
    int targets{6};
    /// Number of failure domains over which instances and targets are distributed.
    int failure_domains{3};
    /// Instances reach each other through relays that can block single directions.
    bool use_partition_relays{false};
    /// Settings that are merged into those of every instance.
    nlohmann::json settings = nlohmann::json::object();
    /// Initial behaviour of the targets.
    nlohmann::json behaviour = nlohmann::json::object();
    /// Second byte of every address, so that the addresses of concurrent fleets are distinct.
    int network{40};
};

/// A fleet of processes; the destructor kills them. Not thread safe.
class fleet {
public:
    explicit fleet(const fleet_options& options);
    ~fleet();

    /// Starts all processes and calls wait_until_ready().
    void start();
    void start_platform();
    /// Starts a new process for the instance.
    /// \pre an earlier process of the instance has ended
    void start_instance(int number);
    /// Waits until the first running instance is connected to all running instances, which together
    /// have leased out all seats. Throws std::runtime_error after \p seconds_limit seconds
    /// or when no instance is running.
    void wait_until_ready(int seconds_limit = 30);

    [[nodiscard]] process& instance(int number) { return this->instance_processes.at(number); }
    [[nodiscard]] process& platform() { return *this->platform_process; }
    [[nodiscard]] process& target_process() { return *this->targets_process; }
    [[nodiscard]] std::vector<int> running_instances();

    /// Sends a request to the operators' interface of an instance and waits for the response.
    [[nodiscard]] result<operator_response>
    send_operator_request(int number, const std::string& method, const std::string& uri,
                          const nlohmann::json& body = nullptr) const;
    /// Applies a merge patch to the current configuration and returns the new configuration number.
    /// Throws std::runtime_error when the patch is refused.
    std::uint64_t patch(const nlohmann::json& merge_patch, int number = 0);
    /// Adds an API key to \p account and returns the key in the form that callers send.
    [[nodiscard]] std::string add_api_key(const std::string& account);
    /// Replaces the injected faults of the platform; \p faults as in PUT /v1/admin/faults.
    void set_platform_faults(const nlohmann::json& faults) const;
    [[nodiscard]] nlohmann::json platform_counts() const;
    /// Sets the platform's list of instances: each entry has an "address" and a "state", "live" or
    /// "leaving".
    void set_platform_instances(const nlohmann::json& list) const;
    /// Changes the behaviour of the target \p name, or of all targets when it is "*".
    void set_target_behaviour(const std::string& name, const nlohmann::json& behaviour) const;
    /// Configuration of a service with all targets.
    [[nodiscard]] nlohmann::json service_settings() const;

    [[nodiscard]] endpoint callers_address(int number) const;
    [[nodiscard]] endpoint target_address(int number) const;
    [[nodiscard]] std::string instance_ip(int number) const;
    [[nodiscard]] std::string execution_log() const { return this->folder + "/executions"; }
    [[nodiscard]] const std::string& log_folder() const noexcept { return this->folder; }
    /// Event loop for load generators and timers; runs only within run_for() and similar calls.
    [[nodiscard]] loop& events() noexcept { return this->main_loop; }
    [[nodiscard]] blocked_directions& blocked() noexcept { return this->blocked_pairs; }

private:
    void start_relays();
    [[nodiscard]] std::string write_settings(int number) const;
    [[nodiscard]] endpoint platform_address() const;
    [[nodiscard]] endpoint admin_address() const;
    [[nodiscard]] operator_endpoint operators_endpoint(int number) const;

    fleet_options options;
    std::string folder;
    std::string operator_token;
    loop main_loop;
    /// Loop of the relay thread. The relays have their own thread because the main thread makes
    /// blocking calls.
    loop relay_loop;
    timer relay_stop_timer;
    std::atomic<bool> relay_stop_requested{false};
    std::thread relay_thread;
    blocked_directions blocked_pairs;
    std::map<int, std::unique_ptr<partition_relay>> relays;
    std::unique_ptr<process> platform_process;
    std::unique_ptr<process> targets_process;
    std::map<int, process> instance_processes;
};

/// Runs the loop \p events for \p length.
void run_for(loop& events, duration length);

} // namespace knapweedknot::harness
