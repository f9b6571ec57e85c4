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
#include "key_value_store.h"

/// \file
/// HTTP interface of the stand-in for the platform. It implements the platform's store protocol
/// (/kv-key, /kv-range, /kv-watch, /kv-txn, /kv-lease, /kv-keep/ID, /kv-lease-end/ID) and adds:
///
///     GET /v1/instances          the list of live and leaving instances, delayed by list_lag
///     PUT /v1/admin/instances    sets that list
///     PUT /v1/admin/faults       {"outage", "slow_ms", "lose_answers", "lose_watches",
///                                "drop_history"}
///     GET /v1/admin/counts       calls since the start, by kind

namespace knapweedknot::standin {

/// Injected faults. Calls under /v1/admin/ are not affected.
struct platform_faults {
    /// "none", "refuse" (503 at once) or "hang" (no response).
    std::string outage{"none"};
    /// Time by which each call is delayed.
    duration delay{duration::zero()};
    /// Fraction of transactions (0 to 1) whose response is dropped; they are applied nonetheless.
    double lose_answers{0};
    /// No watch call is answered, and its connection stays open. Other calls work.
    bool lose_watches{false};
    /// Watch calls deliver no change, and are answered when their wait has ended.
    bool silence_watches{false};
};

/// HTTP server of the stand-in. Not thread safe.
class platform_service {
public:
    /// \param list_lag delay until a change of the instance list becomes visible
    /// \param seed seeds the choice of dropped responses
    platform_service(loop& owner, duration list_lag, std::uint64_t seed);

    [[nodiscard]] result<void> listen(const endpoint& address);
    [[nodiscard]] platform_faults& faults() noexcept { return this->current_faults; }
    /// Platform calls handled since the start, without those under /v1/admin/.
    [[nodiscard]] std::uint64_t call_count() const;

private:
    using request_ptr = std::shared_ptr<incoming_request>;
    struct pending_watch {
        request_ptr request;
        std::string prefix;
        std::uint64_t after;
        timer timeout;
    };

    void handle(const request_ptr& request);
    void dispatch(const request_ptr& request);
    void handle_get(const request_ptr& request);
    void handle_range(const request_ptr& request);
    void handle_watch(const request_ptr& request);
    /// Leaves all watch calls in progress without a response.
    void lose_pending_watches();
    /// Keeps \p request and its connection open without a response.
    void leave_unanswered(const request_ptr& request);
    void handle_transaction(const request_ptr& request);
    void handle_lease(const request_ptr& request);
    void handle_lease_renewal(const request_ptr& request, std::uint64_t lease);
    void handle_admin(const request_ptr& request);
    /// Responds if there are changes or the history no longer reaches back. True when it responded.
    bool respond_to_watch(const request_ptr& request, const std::string& prefix,
                          std::uint64_t after);
    void notify_watches();

    loop& owner;
    duration list_lag;
    key_value_store store;
    platform_faults current_faults;
    std::mt19937_64 random;
    std::map<std::string, std::uint64_t> counts;
    std::list<pending_watch> watches;
    std::list<request_ptr> unanswered;
    nlohmann::json visible_instances = nlohmann::json::array();
    std::list<timer> delay_timers;
    http_server server;
    timer expiry_timer;
};

} // namespace knapweedknot::standin
