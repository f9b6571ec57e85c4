#pragma once

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

#include "base/error.h"
#include "config/entities.h"
#include "control/loan_keeper.h"
#include "control/settings.h"
#include "event/loop.h"
#include "peers/mesh.h"

/// \file
/// Admission of requests by client account: a token from the slot held here, or one granted by the
/// slot's broker.

namespace knapweedknot {

/// How requests were admitted since the start.
struct admission_counts {
    std::uint64_t local{0};
    std::uint64_t remote{0};
    std::uint64_t refused{0};
    /// Requests that waited for a broker and got no token in time.
    std::uint64_t timed_out{0};
};

/// Admits requests. Not thread safe.
class token_client {
public:
    using handler = std::function<void(result<void>)>;

    token_client(loop& owner, mesh& network, loan_keeper& loans, const instance_settings& settings);

    /// Calls \p done, at once or later, with success or with rate_exceeded or peer_unreachable.
    /// \param is_wanted false once nobody waits for the request any more; it then gets no token,
    ///     and \p done is called with caller_gone
    void admit(const client_account_ptr& account, time_point deadline,
               std::function<bool()> is_wanted, handler done);
    /// Answers another instance's request for tokens.
    void handle_request(const peer_info& from, const wire::token_requestT& request,
                        const client_account_ptr& account);
    void handle_reply(const peer_info& from, const wire::token_replyT& reply);

    [[nodiscard]] const std::map<account_id, admission_counts>& counts() const noexcept {
        return this->counted;
    }

private:
    struct waiter {
        time_point give_up;
        std::function<bool()> is_wanted;
        handler done;
    };
    struct account_queue {
        client_account_ptr account;
        std::deque<waiter> waiters;
        /// Identifier of the request on its way; zero for none.
        std::uint64_t asked{0};
        time_point asked_at;
        std::uint32_t unspent{0};
        timer retry;
    };

    [[nodiscard]] bool take_local(const client_account& account, time_point now);
    [[nodiscard]] bool should_wait(const client_account& account, time_point now);
    void pump(const account_id& id);
    void serve_locally(account_queue& queue, time_point now);
    void ask_broker(account_queue& queue, time_point now);
    void drop_late(account_queue& queue, time_point now);
    void finish(account_queue& queue, result<void> outcome);

    loop& owner;
    mesh& network;
    loan_keeper& loans;
    admission_mode mode;
    slot_limiter static_slot;
    std::unordered_map<account_id, account_queue> queues;
    std::unordered_map<std::uint64_t, account_id> requests;
    std::map<account_id, admission_counts> counted;
    std::uint64_t last_request{0};
};

} // namespace knapweedknot
