#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "decide/relay_choice.h"
#include "event/loop.h"
#include "fleet/policy_follower.h"
#include "fleet/target_directory.h"
#include "peers/mesh.h"

/// \file
/// Reading the store through other instances.
///
/// A reply states the age of the read behind it, counted from before that read to the reply. The
/// asker counts it back from before its own question, so the proof is sound without synchronized
/// clocks, and also if either of the two is suspended meanwhile
/// (models/relayed_proof.pml).
///
/// What an instance knows of the store is renewed by a timer of its own, whether or not there are
/// requests, watches or other instances.

namespace knapweedknot {

/// Intervals, ages and timeouts of a store_relay.
struct store_relay_options {
    /// Interval between two requests of an instance that serves callers.
    duration serving_interval{milliseconds(500)};
    /// Interval between two requests of another instance.
    duration idle_interval{milliseconds(750)};
    /// Greatest age of a confirmation of the policy that is asked for.
    duration max_policy_age{milliseconds(750)};
    /// Greatest age of the registrations that is asked for.
    duration max_targets_age{milliseconds(1200)};
    /// The store is read once the policy or the registrations have not been confirmed for this
    /// long, also while the answer of a relay is awaited.
    duration max_unconfirmed_policy{milliseconds(1500)};
    duration max_unconfirmed_targets{milliseconds(1500)};
    /// Interval at which an instance that the store did not answer reads it again, while no relay
    /// answers. The best instance of a failure domain does so at its shorter retry interval.
    duration own_retry_interval{milliseconds(2000)};
};

/// Options with which a policy is in force within \p policy_apply, and a target that is leaving is
/// known within \p target_drain, with time left to use what is known. Thread safe.
[[nodiscard]] store_relay_options make_store_relay_options(duration policy_apply,
                                                           duration target_drain);

/// Counts of a store_relay since its start.
struct store_relay_counts {
    std::uint64_t asked{0};
    std::uint64_t unanswered{0};
    std::uint64_t replied{0};
    std::uint64_t refused{0};
};

namespace detail {

using relay_callback = std::function<void(relayed_answer)>;

/// The request to a relay that is in progress.
struct pending_store_request {
    std::uint64_t id{0};
    bool may_ask{false};
    /// The store is to be read, to find out whether it answers this instance.
    bool is_own_read{false};
    /// Whether the instance is the best one of its failure domain.
    bool is_domain_best{false};
    std::uint64_t policy_revision{0};
    time_point asked_at;
    /// Relays to ask; the first has been asked.
    std::vector<incarnation_id> relays;
    relay_callback done;
    timer timeout;
    /// Ends the request early enough to read the store.
    timer late_timer;
};

} // namespace detail

/// Asks a relay at an interval, and answers the instances for which this one is a relay. Not thread
/// safe.
class store_relay {
public:
    /// Components that the relay uses. All must outlive it.
    struct dependencies {
        loop& owner;
        mesh& network;
        policy_follower& policy;
        target_directory& directory;
    };

    store_relay(const dependencies& given, const store_relay_options& options);

    /// The present choice of relays. Must be set before start().
    std::function<relay_choice()> choose;
    /// Whether this instance serves callers. Must be set before start().
    std::function<bool()> is_serving;

    /// Takes over the reads of the policy. Call before those of policy and registrations start.
    void start();
    void set_options(const store_relay_options& changed) noexcept { this->options = changed; }
    void handle(const peer_info& from, const wire::store_requestT& message);
    void handle(const peer_info& from, const wire::store_replyT& message);
    /// Asks the next relay if the one that was asked is lost.
    void peer_lost(incarnation_id peer);

    /// Whether this instance has read policy and registrations, and the store answered its own last
    /// read.
    [[nodiscard]] bool can_relay() const noexcept;
    [[nodiscard]] const store_relay_counts& counts() const noexcept { return this->totals; }

private:
    using callback = detail::relay_callback;

    void tick();
    void relay_policy_reads();
    void follow_choice(const relay_choice& choice);
    void refresh_from_store(time_point now);
    [[nodiscard]] duration refresh_interval() const;
    [[nodiscard]] time_point too_old_at() const;
    [[nodiscard]] time_point relays_deadline(time_point now) const;
    void give_up_relays();
    void ask(callback done);
    void ask_first();
    /// Why a relay that was asked is of no use.
    enum class failure { timed_out, refused, unusable, disconnected, too_late };
    [[nodiscard]] static const char* name_of(failure reason);
    void ask_next(failure reason);
    void drop_first_relay(failure reason);
    void read_targets_from_store();
    [[nodiscard]] std::optional<relayed_policy> recent_confirmation() const;
    [[nodiscard]] bool may_read_store(const detail::pending_store_request& request) const;
    void finish(const relayed_policy& answer);
    void finish_unanswered();
    void avoid_orderless_relay(const peer_info& relay);
    [[nodiscard]] std::optional<relayed_policy> take(const wire::store_replyT& message);
    [[nodiscard]] bool is_policy_younger(duration limit, time_point now) const;
    [[nodiscard]] bool are_targets_younger(duration limit, time_point now) const;
    [[nodiscard]] bool is_policy_young(const wire::store_requestT& message, time_point now) const;
    [[nodiscard]] bool are_targets_young(const wire::store_requestT& message, time_point now) const;
    void reply(const peer_info& to, const wire::store_requestT& message);
    [[nodiscard]] wire::store_replyT make_reply(const wire::store_requestT& message,
                                                time_point now) const;

    dependencies parts;
    store_relay_options options;
    std::optional<detail::pending_store_request> pending;
    std::uint64_t last_id{0};
    /// Relays that gave no answer, each with the time until which it is not asked again.
    std::map<incarnation_id, time_point> avoided_until;
    std::optional<incarnation_id> followed;
    /// Whether the last request was answered.
    bool was_answered{false};
    int unanswered_in_row{0};
    store_relay_counts totals;
    time_point started_at;
    time_point last_asked;
    timer tick_timer;
};

} // namespace knapweedknot
