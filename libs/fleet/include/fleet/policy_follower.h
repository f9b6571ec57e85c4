#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/clock.h"
#include "config/policy_problem.h"
#include "config/traffic_policy.h"
#include "event/loop.h"
#include "fleet/evacuation_orders.h"
#include "platform/store_client.h"
#include "platform/store_documents.h"

/// \file
/// Follows the operator's traffic policy in the store and tracks when the local copy was last
/// confirmed to be the newest version. Where the deployment has evacuation orders, these are
/// followed with it: the same calls read and watch both.

namespace knapweedknot {

/// Intervals and timeouts of a policy_follower.
struct policy_follower_options {
    /// Time for which a confirmation allows API keys to be accepted, counted from the start of the
    /// read from the store.
    duration confirmation_lifetime{milliseconds(4500)};
    /// Least time between two confirmations while many requests arrive.
    duration confirmation_interval{milliseconds(1500)};
    /// Least time between two confirmations while few requests arrive.
    duration idle_confirmation_interval{milliseconds(3200)};
    /// Longest time for which one watch call waits for a change.
    duration watch_wait{seconds(20)};
};

/// Decodes the policy document; problems of single entries are appended to the second argument.
using policy_decoder =
    std::function<result<traffic_policy::parts>(std::string_view, std::vector<policy_problem>&)>;

/// Where evacuation orders stand in the store, beside the policy document.
struct order_source {
    /// Prefix of the keys of the policy document and of the orders.
    std::string prefix;
    /// Separates the policy document and the orders among the keys with the prefix.
    std::function<platform::operator_documents(const std::vector<store_item>&)> split;
};

/// What another instance said of the policy and of the evacuation orders.
struct relayed_policy {
    /// The policy was the newest one at this time, or later.
    time_point confirmed_at;
    /// The document, if it differs from the one held.
    std::optional<store_value> changed;
    /// The evacuated failure domains; empty if the other instance does not follow the orders.
    std::optional<std::vector<failure_domain_id>> evacuated;
};

namespace detail {

/// A read of the policy and the evacuation orders in progress.
struct operator_listing {
    time_point started_at{boot_clock::now()};
    std::vector<store_item> items;
    /// Store revision of the first page.
    std::optional<std::uint64_t> revision;
};

} // namespace detail

/// What to do when no other instance could answer.
enum class relay_failure {
    /// Read the store.
    read_store,
    /// Count the read as failed: the store has not answered this instance lately either.
    give_up,
};

/// Answer of another instance, or what to do without one.
using relayed_answer = tl::expected<relayed_policy, relay_failure>;

/// Asks another instance for the policy.
using policy_relay = std::function<void(std::function<void(relayed_answer)>)>;

/// Keeps the newest known policy and never replaces it by one with a lower number. Not thread safe.
class policy_follower {
public:
    policy_follower(loop& owner, store_client& store, std::string key, policy_decoder decode,
                    const policy_follower_options& options);

    /// Follows the evacuation orders as well. Call before start().
    void follow_orders(order_source source) { this->order_keys = std::move(source); }
    /// Starts to read and watch the policy document.
    void start();
    /// While set, the policy is read through other instances, and from the store only when \p relay
    /// says so. The document is then not watched. Null: from the store.
    void set_relay(policy_relay relay);
    void set_options(const policy_follower_options& changed) noexcept { this->options = changed; }
    /// The newest known policy; null until the first one has been read.
    [[nodiscard]] const traffic_policy_ptr& current() const noexcept { return this->policy; }
    /// Whether the policy was confirmed within the confirmation lifetime.
    [[nodiscard]] bool is_fresh(time_point now) const noexcept;
    /// Time since the policy was last confirmed to be the newest; empty before the first
    /// confirmation.
    [[nodiscard]] std::optional<duration> confirmation_age(time_point now) const noexcept;
    /// The policy was the newest one at this time, or later; empty before the first confirmation.
    [[nodiscard]] std::optional<time_point> confirmed_at() const noexcept {
        return this->last_confirmation;
    }
    /// Time since the watch call in progress was sent; empty while there is none.
    [[nodiscard]] std::optional<duration> watch_age(time_point now) const noexcept;
    /// Reads the policy from the store if the last read started longer ago than the interval.
    /// \param is_busy selects the shorter interval for an instance with many requests
    void confirm_if_due(time_point now, bool is_busy);
    /// Calls \p done when the read in progress, or a new one, has succeeded or failed.
    void await_confirmation(std::function<void()> done);
    /// Notes that a peer has adopted policy \p number. Reads the store after a short delay if that
    /// is newer than the local policy.
    void note_peer_policy_number(config_number number);
    /// Whether a peer has adopted a newer policy than the local one.
    [[nodiscard]] bool is_superseded() const noexcept;
    /// Whether the store, or an instance that relays it, answered the last call.
    [[nodiscard]] bool is_store_reachable() const noexcept { return this->reachable; }
    /// Whether the last read of the store by this instance itself succeeded; true before the first.
    [[nodiscard]] bool is_own_read_answered() const noexcept { return this->own_read_answered; }
    /// When the last read of the store by this instance itself started.
    [[nodiscard]] time_point last_own_read() const noexcept { return this->last_own_read_started; }
    /// The policy document as it was read; revision 0 before the first read.
    [[nodiscard]] const store_value& document() const noexcept { return this->newest; }
    /// Entries of the adopted policy's document that are not used as the document states them; 0
    /// before the first policy.
    [[nodiscard]] std::size_t unreadable_entries() const noexcept {
        return this->unreadable_entry_count;
    }

    [[nodiscard]] bool follows_orders() const noexcept { return this->order_keys.has_value(); }
    /// The evacuation orders known; always empty if they are not followed.
    [[nodiscard]] const evacuation_orders& evacuations() const noexcept { return this->orders; }
    /// Whether the evacuation orders are known as of the last confirmation of the policy.
    [[nodiscard]] bool are_orders_confirmed() const noexcept;

    /// Called after a policy has been adopted.
    std::function<void()> on_adopted;
    /// Called with each order that was read and whose value is malformed, once per revision.
    std::function<void(const evacuation_order&)> on_malformed_order;
    /// Called after evacuations have started or ended.
    std::function<void(const std::vector<evacuation_change>&)> on_orders_changed;

private:
    void read();
    void read_from_store();
    void read_page(const std::shared_ptr<detail::operator_listing>& listing);
    void finish_listing(const detail::operator_listing& listing);
    void finish_relayed_read(const relayed_answer& answer);
    void fail_read(std::string_view detail);
    void finish_store_read(const result<store_value>& value, time_point read_started);
    void confirm(time_point confirmed_at);
    void watch();
    void watch_document();
    void watch_prefix();
    void process_changes(const platform::operator_documents& changed);
    void read_lost_history();
    void stop_watching();
    void watch_again(duration delay);
    /// Replaces the watch in progress unless it soon delivers the change that a read has shown.
    void check_watch();
    /// How the instance learnt of a policy.
    enum class source { read, watch, relay };
    [[nodiscard]] static const char* source_name(source learnt_by);
    void process(const store_value& value, source learnt_by);
    void report_malformed(const std::vector<evacuation_order>& changed);
    void report_changes(const std::vector<evacuation_change>& changes, source learnt_by);
    void record_store_call(bool answered, std::string_view detail);
    void finish_confirmation();

    loop& owner;
    store_client& store;
    std::string key;
    policy_decoder decode;
    policy_follower_options options;
    std::optional<order_source> order_keys;
    evacuation_orders orders;
    /// Revisions of the malformed orders that have been reported.
    std::map<failure_domain_id, std::uint64_t> malformed_orders;
    /// Store revision from which the next watch of the prefix delivers changes.
    std::uint64_t watch_position{0};
    /// The store has discarded changes after that revision; only a listing shows them.
    bool history_lost{false};
    traffic_policy_ptr policy;
    /// Number of the newest policy that a peer has adopted.
    config_number newest_of_peers;
    policy_relay relay;
    store_value newest;
    std::size_t unreadable_entry_count{0};
    std::optional<time_point> last_confirmation;
    time_point last_read_started;
    std::optional<time_point> watch_sent_at;
    bool reading{false};
    bool reachable{false};
    bool own_read_answered{true};
    time_point last_own_read_started;
    bool watching{false};
    std::vector<std::function<void()>> confirmation_waiters;
    timer retry_timer;
    timer peer_read_timer;
    /// Sequence number of the newest watch call; results of earlier ones are ignored.
    std::uint64_t last_watch{0};
    timer watch_check_timer;
};

} // namespace knapweedknot
