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
/// One stand-in target: slots, a connection limit, and failures that can be switched on.
///
///     GET /health, GET /load        what the target says of itself
///     any other path                runs as a request and answers what was received, as JSON

namespace knapweedknot::standin {

/// How a target behaves. Every field can be changed while it runs.
struct target_behaviour {
    /// "ok", "hang", "reset", "error", "shed", "truncate" or "leaving".
    std::string mode{"ok"};
    double latency_ms{5};
    /// True: latencies are exponentially distributed around latency_ms.
    bool exponential{false};
    /// Share of requests that take slow_factor times as long.
    double slow_share{0};
    double slow_factor{10};
    int slots{6};
    int connections{330};
    /// Time after a start during which requests take slow_factor times as long.
    int cold_start_ms{0};
    /// A request whose URI holds this text crashes the target; empty for none.
    std::string crash_marker;
    /// Time from a crash until the target listens again.
    int restart_ms{500};
    /// What /health says: "truth", "ok" or "sick".
    std::string health{"truth"};
};

/// Reads the fields that \p source has into \p behaviour. The error names a bad field.
[[nodiscard]] result<void> update_behaviour(target_behaviour& behaviour,
                                            const nlohmann::json& source);

/// Receives one line of JSON for each step of an execution.
using execution_log = std::function<void(const nlohmann::json&)>;

/// A target in this process. Not thread safe.
class standin_target {
public:
    standin_target(loop& owner, std::string name, const endpoint& address,
                   target_behaviour behaviour, execution_log log, std::uint64_t seed);

    /// Starts to listen. The error says why not.
    [[nodiscard]] result<void> start();
    /// Closes every connection at once and stays down for restart_ms.
    void crash();
    [[nodiscard]] target_behaviour& behaviour() noexcept { return this->current; }
    [[nodiscard]] const std::string& name() const noexcept { return this->target_name; }
    /// Requests run since the process started.
    [[nodiscard]] std::uint64_t executions() const noexcept { return this->started; }
    /// Most connections open at once so far.
    [[nodiscard]] std::size_t most_connections() const noexcept { return this->connection_peak; }

private:
    using request_ptr = std::shared_ptr<incoming_request>;
    struct execution {
        request_ptr request;
        std::uint64_t number;
        timer end;
    };

    void handle(const request_ptr& request);
    void handle_health(const request_ptr& request);
    void run_next();
    void run(const request_ptr& request);
    void finish(const std::shared_ptr<execution>& running);
    void note(std::string_view step, const execution& running);
    [[nodiscard]] duration next_latency();

    loop& owner;
    std::string target_name;
    endpoint address;
    target_behaviour current;
    execution_log log;
    std::mt19937_64 random;
    std::unique_ptr<http_server> server;
    /// A request that waits for a slot, and when its caller stops waiting for it.
    struct waiting_request {
        request_ptr request;
        time_point deadline;
    };
    std::deque<waiting_request> waiting;
    std::vector<std::shared_ptr<execution>> executing;
    std::vector<request_ptr> hanging;
    time_point started_at;
    timer restart;
    std::uint64_t started{0};
    std::size_t connection_peak{0};
};

} // namespace knapweedknot::standin
