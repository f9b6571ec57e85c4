#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "cut_relay.h"
#include "operator_client/operator_client.h"
#include "process.h"

/// \file
/// A fleet of instances with stand-ins, as processes on 127.0.0.0/8.

namespace knapweedknot::harness {

/// What to start.
struct fleet_options {
    int instances{4};
    /// Targets that the fleet serves, all carried by one process.
    int targets{6};
    /// Failure domains that instances and targets are spread over.
    int failure_domains{3};
    /// Instances reach each other through relays that can be cut.
    bool with_relays{false};
    /// Added to every instance's settings.
    nlohmann::json settings = nlohmann::json::object();
    /// Behaviour of the targets at the start.
    nlohmann::json behaviour = nlohmann::json::object();
    /// Second byte of every address, so that fleets do not collide.
    int network{40};
};

/// A running fleet. Not thread safe.
class fleet {
public:
    explicit fleet(const fleet_options& options);
    ~fleet();

    /// Starts everything and waits until the instances hold all seats. Throws on a time-out.
    void start();
    void start_platform();
    void start_instance(int number);
    /// Waits until the running instances lend all seats.
    void wait_until_settled(int seconds_limit = 30);

    [[nodiscard]] process& instance(int number) { return this->daemons.at(number); }
    [[nodiscard]] process& platform() { return *this->platform_process; }
    [[nodiscard]] process& target_process() { return *this->targets_process; }
    [[nodiscard]] std::vector<int> running();

    /// Calls the operators' interface of an instance.
    [[nodiscard]] result<operator_response> operate(int number, const std::string& method,
                                                    const std::string& uri,
                                                    const nlohmann::json& body = nullptr) const;
    /// Submits a merge patch against the present number. Throws when it is refused.
    std::uint64_t patch(const nlohmann::json& merge_patch, int number = 0);
    /// Adds a key to \p account and returns it as callers present it.
    [[nodiscard]] std::string add_key(const std::string& account);
    /// Sets faults of the platform.
    void set_platform_faults(const nlohmann::json& faults) const;
    [[nodiscard]] nlohmann::json platform_counts() const;
    /// Sets the platform's list: entries of "address" and "state", "live" or "leaving".
    void set_platform_list(const nlohmann::json& list) const;
    /// Changes the behaviour of a target, or of all for "*".
    void set_target(const std::string& name, const nlohmann::json& behaviour) const;
    /// A service of all targets, for a configuration.
    [[nodiscard]] nlohmann::json service() const;

    [[nodiscard]] endpoint callers_address(int number) const;
    [[nodiscard]] endpoint target_address(int number) const;
    [[nodiscard]] std::string instance_ip(int number) const;
    [[nodiscard]] std::string execution_log() const { return this->folder + "/executions"; }
    [[nodiscard]] const std::string& log_folder() const noexcept { return this->folder; }
    /// Loop for callers and timers of a bench.
    [[nodiscard]] loop& events() noexcept { return this->main_loop; }
    [[nodiscard]] cut_set& cuts() noexcept { return this->cut_pairs; }

private:
    void start_relays();
    [[nodiscard]] std::string write_settings(int number) const;
    [[nodiscard]] endpoint platform_address() const;
    [[nodiscard]] endpoint admin_address() const;
    [[nodiscard]] operator_endpoint operators_target(int number) const;

    fleet_options options;
    std::string folder;
    std::string token;
    loop main_loop;
    /// Relays run on a thread of their own, so that blocking calls do not hold them up.
    loop relay_loop;
    timer relay_stop;
    std::atomic<bool> relays_ended{false};
    std::thread relay_thread;
    cut_set cut_pairs;
    std::map<int, std::unique_ptr<cut_relay>> relays;
    std::unique_ptr<process> platform_process;
    std::unique_ptr<process> targets_process;
    std::map<int, process> daemons;
};

/// Runs \p events for \p length.
void run_for(loop& events, duration length);

} // namespace knapweedknot::harness
