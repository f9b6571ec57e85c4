#pragma once

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

#include "base/error.h"
#include "config/entities.h"
#include "control/heartbeat_service.h"
#include "control/settings.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Admission of requests by the rate limit of their client account: with a token from a local token
/// bucket or, when another instance brokers the account's slot, with a token granted by that
/// broker.

namespace knapweedknot {

/// Outcomes of admission since the start.
struct admission_counts {
    std::uint64_t from_local_bucket{0};
    std::uint64_t by_grant{0};
    std::uint64_t refused{0};
    /// Requests that got no token from a broker in time.
    std::uint64_t timed_out{0};
};

/// Admits requests. Not thread safe.
class admission_controller {
public:
    using handler = std::function<void(result<void>)>;

    admission_controller(loop& owner, mesh& network, heartbeat_service& heartbeats,
                         const instance_settings& settings);

    /// Calls \p done, at once or later, with success, rate_exceeded or peer_unreachable.
    /// \param is_wanted returns false once the caller has gone; the request then gets no token, and
    ///     \p done is called with caller_gone
    void admit(const client_account_ptr& account, time_point deadline,
               std::function<bool()> is_wanted, handler done);
    /// Answers a token request of another instance. \p account is null when it is unknown here.
    void handle_request(const peer_info& from, const wire::token_requestT& request,
                        const client_account_ptr& account);
    /// Admits waiting requests with the tokens granted by a broker.
    void handle_reply(const peer_info& from, const wire::token_replyT& reply);

    [[nodiscard]] const std::map<account_id, admission_counts>& counts() const noexcept {
        return this->counts_by_account;
    }

private:
    struct waiter {
        time_point expires_at;
        std::function<bool()> is_wanted;
        handler done;
    };
    struct account_queue {
        client_account_ptr account;
        std::deque<waiter> waiters;
        /// Identifier of the token request in flight; zero for none.
        std::uint64_t request_id{0};
        time_point requested_at;
        /// Tokens of the last grant that were not needed; returned with the next token request.
        std::uint32_t unspent{0};
        timer retry_timer;
    };

    [[nodiscard]] bool take_local_token(const client_account& account, time_point now);
    [[nodiscard]] bool should_wait(const client_account& account, time_point now);
    void process_queue(const account_id& id);
    void admit_locally(account_queue& queue, time_point now);
    void request_tokens(account_queue& queue, time_point now);
    void drop_expired(account_queue& queue, time_point now);
    void finish(account_queue& queue, result<void> outcome);

    loop& owner;
    mesh& network;
    heartbeat_service& heartbeats;
    admission_mode mode;
    slot_limiter static_slot;
    std::unordered_map<account_id, account_queue> queues;
    std::unordered_map<std::uint64_t, account_id> accounts_by_request;
    std::map<account_id, admission_counts> counts_by_account;
    std::uint64_t last_request_id{0};
};

} // namespace knapweedknot
