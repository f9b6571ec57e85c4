#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "event/http_server.h"
#include "event/loop.h"
#include "platform_state.h"

/// \file
/// HTTP face of the stand-in for the platform. It speaks the platform's store protocol
/// (/kv-key, /kv-range, /kv-watch, /kv-txn, /kv-lease, /kv-keep/ID, /kv-lease-end/ID) and adds:
///
///     GET /v1/instances          the lagging list of live and leaving instances
///     PUT /v1/admin/instances    sets that list
///     PUT /v1/admin/faults       {"outage", "slow_ms", "lose_answers", "drop_history"}
///     GET /v1/admin/counts       calls since the start, by kind

namespace knapweedknot::standin {

/// Faults that the stand-in shows. Administration is not affected.
struct platform_faults {
    /// "none", "refuse" (503 at once) or "hang" (no answer).
    std::string outage{"none"};
    duration delay{duration::zero()};
    /// Share of writes whose answer is lost after the write took effect.
    double lose_answers{0};
};

/// The running stand-in. Not thread safe.
class platform_service {
public:
    /// \param list_lag time until a change of the instance list is seen
    platform_service(loop& owner, duration list_lag, std::uint64_t seed);

    [[nodiscard]] result<void> listen(const endpoint& address);
    [[nodiscard]] platform_faults& faults() noexcept { return this->current_faults; }
    [[nodiscard]] std::uint64_t calls() const;

private:
    using request_ptr = std::shared_ptr<incoming_request>;
    struct waiting_watch {
        request_ptr request;
        std::string prefix;
        std::uint64_t after;
        timer limit;
    };

    void handle(const request_ptr& request);
    void handle_platform_call(const request_ptr& request);
    void handle_get(const request_ptr& request);
    void handle_range(const request_ptr& request);
    void handle_watch(const request_ptr& request);
    void handle_transaction(const request_ptr& request);
    void handle_lease(const request_ptr& request);
    void handle_keep(const request_ptr& request, std::uint64_t lease);
    void handle_admin(const request_ptr& request);
    /// True when there were changes, or the history is gone, and the watch was answered.
    bool answer_watch(const request_ptr& request, const std::string& prefix, std::uint64_t after);
    void notify_watches();

    loop& owner;
    duration list_lag;
    platform_state state;
    platform_faults current_faults;
    std::mt19937_64 random;
    std::map<std::string, std::uint64_t> counts;
    std::list<waiting_watch> watches;
    std::list<request_ptr> hanging;
    nlohmann::json visible_instances = nlohmann::json::array();
    std::list<timer> delayed;
    http_server server;
    timer expiry;
};

} // namespace knapweedknot::standin
