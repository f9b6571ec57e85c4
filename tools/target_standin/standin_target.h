#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "event/http_server.h"
#include "event/loop.h"

/// \file
/// A simulated target with a concurrency limit, a connection limit and injectable faults.
///
///     GET /health, GET /load        health and number of running requests
///     any other path                executes the request and returns it as JSON

namespace knapweedknot::standin {

/// Behaviour of a target. Every field can be changed at run time.
struct target_behaviour {
    /// "ok", "hang", "reset", "error", "shed", "truncate" or "leaving".
    std::string mode{"ok"};
    /// Execution time of a request.
    double latency_ms{5};
    /// True: execution times are exponentially distributed with the mean latency_ms.
    bool exponential{false};
    /// Fraction of requests (0 to 1) that take slow_factor times as long.
    double slow_share{0};
    double slow_factor{10};
    /// Most requests that are executed at once; further requests are queued.
    int slots{6};
    /// Open connections above which requests are refused with 503.
    int connections{330};
    /// Time after a start or restart during which requests take slow_factor times as long.
    int cold_start_ms{0};
    /// A request whose URI contains this text crashes the target; empty for none.
    std::string crash_marker;
    /// Time from a crash until the target listens again.
    int restart_ms{500};
    /// All responses say that the target is leaving.
    bool announce_leaving{false};
    /// Refusals ask the caller to wait for this long; zero for no such request.
    double retry_after_s{0};
    /// Response of /health: "ok" and "sick" are fixed, "truth" is healthy only in mode "ok".
    std::string health{"truth"};
};

/// Overwrites the fields of \p behaviour that \p source contains. On an error, which names the
/// invalid fields, \p behaviour is unchanged.
[[nodiscard]] result<void> update_behaviour(target_behaviour& behaviour,
                                            const nlohmann::json& source);

/// Called with one JSON object for each step of an execution.
using execution_log = std::function<void(const nlohmann::json&)>;

/// A simulated target that listens on its own address. Not thread safe.
class standin_target {
public:
    standin_target(loop& owner, std::string name, const endpoint& address,
                   target_behaviour behaviour, execution_log log, std::uint64_t seed);

    /// Starts to listen. Fails when the address cannot be bound.
    [[nodiscard]] result<void> start();
    /// Drops all requests and connections at once; listens again after restart_ms.
    void crash();
    [[nodiscard]] target_behaviour& behaviour() noexcept { return this->current_behaviour; }
    [[nodiscard]] const std::string& name() const noexcept { return this->target_name; }
    /// Executions started since the process started.
    [[nodiscard]] std::uint64_t executions() const noexcept { return this->execution_count; }
    /// Maximum number of connections that were open when a request arrived.
    [[nodiscard]] std::size_t most_connections() const noexcept {
        return this->max_open_connections;
    }

private:
    using request_ptr = std::shared_ptr<incoming_request>;
    struct execution {
        request_ptr request;
        std::uint64_t number;
        timer finish_timer;
    };

    void handle(const request_ptr& request);
    void handle_status_request(const request_ptr& request);
    /// Refuses \p request without executing it.
    void refuse(incoming_request& request, const std::string& text);
    void send_response(incoming_request& request, int status, const std::string& text,
                       http_headers further = {});
    void execute_queued();
    void execute(const request_ptr& request);
    void finish(const std::shared_ptr<execution>& running);
    void log_step(std::string_view step, const execution& running);
    [[nodiscard]] duration draw_latency();

    loop& owner;
    std::string target_name;
    endpoint address;
    target_behaviour current_behaviour;
    execution_log log;
    std::mt19937_64 random;
    std::unique_ptr<http_server> server;
    /// A request that is waiting for a slot, with its deadline.
    struct queued_request {
        request_ptr request;
        time_point deadline;
    };
    std::deque<queued_request> queue;
    std::vector<std::shared_ptr<execution>> executing;
    std::vector<request_ptr> hanging;
    time_point started_at;
    timer restart_timer;
    std::uint64_t execution_count{0};
    std::size_t max_open_connections{0};
};

} // namespace knapweedknot::standin
