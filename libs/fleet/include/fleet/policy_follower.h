#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/traffic_policy.h"
#include "event/loop.h"
#include "platform/store_client.h"

/// \file
/// Follows the operator's traffic policy in the store, and knows how lately it was proved to be the
/// newest one.

namespace knapweedknot {

/// Times of the follower.
struct policy_follower_options {
    /// A proof that is older than this does not allow a key to be honoured. Counted from before
    /// the question to the store.
    duration proof_lifetime{milliseconds(4500)};
    /// Time between two proofs while many requests come.
    duration proof_interval{milliseconds(1500)};
    /// The same while few come.
    duration quiet_proof_interval{milliseconds(3200)};
    /// Longest wait of one watch.
    duration watch_wait{seconds(20)};
};

/// Decodes the document in the store; lines on unreadable parts go to the second argument.
using policy_decoder =
    std::function<result<traffic_policy::parts>(std::string_view, std::vector<std::string>&)>;

/// Keeps the newest policy. An instance never goes back to an older one. Not thread safe.
class policy_follower {
public:
    policy_follower(loop& owner, store_client& store, std::string key, policy_decoder decode,
                    const policy_follower_options& options);

    /// Begins to read and watch.
    void start();
    void set_options(const policy_follower_options& changed) noexcept { this->options = changed; }
    /// The newest known policy; null until the first was read.
    [[nodiscard]] const traffic_policy_ptr& current() const noexcept { return this->policy; }
    /// True when the policy was the newest one a short while ago.
    [[nodiscard]] bool is_fresh(time_point now) const noexcept;
    /// Time since the policy was last known to be the newest; nothing before the first proof.
    [[nodiscard]] std::optional<duration> proof_age(time_point now) const noexcept;
    /// Asks the store whether the policy is still the newest one, unless it was asked lately.
    /// \param is_busy true when many requests depend on it
    void keep_fresh(time_point now, bool is_busy);
    /// Calls \p done when the question that is under way, or a new one, has its outcome.
    void await_proof(std::function<void()> done);
    /// Another instance has adopted \p number; a greater one than ours is looked for.
    void note_peer_number(config_number number);
    /// True while the last call to the store had an answer.
    [[nodiscard]] bool is_store_reachable() const noexcept { return this->reachable; }

    /// Called after a newer policy was adopted.
    std::function<void()> on_adopted;

private:
    void ask();
    void watch();
    void watch_again(duration delay);
    void receive(const store_value& value);
    void note_call(bool answered, std::string_view detail);
    void finish_proof();

    loop& owner;
    store_client& store;
    std::string key;
    policy_decoder decode;
    policy_follower_options options;
    traffic_policy_ptr policy;
    std::uint64_t revision{0};
    std::optional<time_point> proved_at;
    time_point asked_at;
    bool asking{false};
    bool reachable{false};
    bool watching{false};
    std::vector<std::function<void()>> waiting;
    timer retry;
    timer peer_hint;
};

} // namespace knapweedknot
