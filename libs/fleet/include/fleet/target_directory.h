#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/traffic_policy.h"
#include "event/loop.h"
#include "platform/store_client.h"

/// \file
/// Local view of the targets that are registered in the store.

namespace knapweedknot {

/// A registered target as this instance knows it.
struct known_target {
    registered_target registration;
    /// Changes whenever the target restarts or changes its address under the same id.
    std::uint64_t generation{0};
    /// Earliest time at which the registration can have disappeared although the target was not
    /// draining. The store may lose a registration that returns immediately, so the target is kept
    /// for a grace period.
    std::optional<time_point> vanished_at;
    /// When this generation was first seen.
    time_point first_seen;
    /// End of the warm-up that the registration states; empty if it states none. Counted from the
    /// time at which it was learnt, so it may be late, but not early.
    std::optional<time_point> cold_until;
    /// Whether the registration was learnt as a change. One that was listed first may be old.
    bool is_cold_news{false};
};

/// A change of a registration.
struct registration_change {
    /// The registration as it was written; the value has revision 0 if it was removed.
    store_item item;
    /// The change was made at this time or later.
    time_point changed_after;
};

/// Registrations as another instance knows them.
struct relayed_registrations {
    /// Store revision up to which they are complete.
    std::uint64_t revision{0};
    /// They were complete up to the store's revision at this time, or later.
    time_point confirmed_at;
    /// Whether changes holds all registrations, instead of those changed since a revision.
    bool in_full{false};
    std::vector<registration_change> changes;
};

/// Intervals and timeouts of a target_directory.
struct target_directory_options {
    /// Time for which a target whose registration vanished is kept, in case it returns.
    duration vanished_grace{milliseconds(1500)};
    /// Delay before the next watch call after a change, so that one call returns several changes.
    duration batch_window{milliseconds(200)};
    /// Longest time for which one watch call waits for a change.
    duration watch_wait{milliseconds(5000)};
    /// Delay of the first watch, in which an instance may find others to ask instead.
    duration first_watch_delay{duration::zero()};
};

/// Decodes the registration of the target \p id.
using target_decoder =
    std::function<result<registered_target>(std::string_view id, std::string_view data)>;

namespace detail {

/// A read of all registrations in progress.
struct listing {
    time_point started_at{boot_clock::now()};
    std::vector<store_item> items;
    /// Store revision of the first page.
    std::optional<std::uint64_t> revision;
    /// Whether to watch for changes from there on.
    bool then_watch{false};
};

} // namespace detail

/// Keeps the registered targets of each service. Not thread safe.
class target_directory {
public:
    target_directory(loop& owner, store_client& store, std::string prefix, target_decoder decode,
                     const target_directory_options& options);

    /// Starts to read and watch the registrations.
    void start();
    /// While true, the registrations come from other instances through apply_relayed(), and the
    /// store is neither read nor watched.
    void set_relayed(bool relayed);
    /// Reads the registrations from the store, beside the watch in progress, and then calls \p
    /// done, also when the store does not answer.
    void confirm(std::function<void()> done);
    /// Takes over what another instance knows, unless this one already knows more.
    /// \pre changes since a revision start at known_revision() or before
    void apply_relayed(const relayed_registrations& known);
    /// Store revision up to which the registrations are known; 0 before they are loaded.
    [[nodiscard]] std::uint64_t known_revision() const noexcept { return this->synced_revision; }
    /// Registrations that changed later than revision \p since, or all if the changes since then
    /// are not known.
    /// \pre is_loaded()
    [[nodiscard]] relayed_registrations changes_since(std::uint64_t since) const;
    /// Changes the options. A watch in progress that would wait longer than \p changed allows is
    /// replaced.
    void set_options(const target_directory_options& changed);
    /// Targets of \p service by id.
    [[nodiscard]] const std::map<target_id, known_target>&
    targets_of(const service_id& service) const;
    /// Whether a registered target is in \p domain.
    [[nodiscard]] bool has_targets_in(const failure_domain_id& domain) const;
    /// Whether all registrations have been read at least once.
    [[nodiscard]] bool is_loaded() const noexcept { return this->loaded; }
    /// Store revision of the newest change of a registration that this instance knows.
    [[nodiscard]] std::uint64_t last_change() const noexcept { return this->newest_change; }
    /// Notes that a peer knows a change at \p revision. If the watch in progress does not deliver
    /// it soon, it is replaced: its answer has been lost.
    void note_peer_change(std::uint64_t revision);
    /// Entries that were read and could not be used, each revision of a key once.
    [[nodiscard]] std::uint64_t unusable_entries() const noexcept { return this->unusable; }
    /// Whether a peer knows of a change that this instance does not, and the registrations have not
    /// been confirmed since \p since: a target that they list may be leaving.
    [[nodiscard]] bool is_superseded(time_point since) const noexcept;

    /// Time since the directory was last in sync with the store; empty before it is loaded.
    [[nodiscard]] std::optional<duration> age(time_point now) const noexcept;
    /// The registrations are complete up to the store's revision at this time, or later; empty
    /// before they are loaded.
    [[nodiscard]] std::optional<time_point> confirmed_at() const noexcept {
        return this->confirmed;
    }

    /// Called with each service whose targets changed.
    std::function<void(const service_id&)> on_changed;

private:
    void read_all();
    void read_page(const std::shared_ptr<detail::listing>& read);
    void finish_listing(const detail::listing& read);
    void replace_all(const std::vector<store_item>& items, std::uint64_t revision,
                     time_point changed_after);
    [[nodiscard]] time_point earliest_unheard_change() const;
    void finish_sync(std::uint64_t revision);
    void confirm_at(time_point at);
    void watch();
    void notify_confirmation_waiters();
    void schedule(duration delay, void (target_directory::*step)());
    void apply(const store_item& item, time_point changed_after);
    [[nodiscard]] bool record(const store_item& item, time_point changed_after);
    void forget_old_removals();
    void add(registered_target&& registration);
    [[nodiscard]] bool set_cold_until(known_target& target, duration warm_up_left) const;
    void mark_vanished(const target_id& id, time_point since);
    void remove(const service_id& service, const target_id& id);
    void remove_expired();
    [[nodiscard]] bool is_expired(const known_target& target, time_point now) const;
    void expire_at(time_point at);
    void notify_changed(const service_id& service);

    loop& owner;
    store_client& store;
    std::string prefix;
    target_decoder decode;
    target_directory_options options;
    std::map<service_id, std::map<target_id, known_target>> by_service;
    std::map<target_id, service_id> service_by_id;
    /// Last change of each registration, by key, removals included.
    std::map<std::string, registration_change> last_changes;
    /// Revision since which last_changes holds every change.
    std::uint64_t complete_since{0};
    /// Revision up to which reads and delivered changes show the registrations. An empty answer of
    /// a watch is no proof, so it moves only the position of the next watch.
    std::uint64_t synced_revision{0};
    std::uint64_t watch_position{0};
    bool is_relayed{false};
    std::vector<std::function<void()>> confirmation_waiters;
    std::optional<time_point> confirmed;
    std::uint64_t newest_change{0};
    /// Revision of the newest change that a peer knows.
    std::uint64_t newest_change_of_peers{0};
    std::uint64_t last_generation{0};
    std::uint64_t unusable{0};
    /// Sequence number of the newest watch call; results of earlier ones are ignored.
    std::uint64_t last_watch{0};
    /// Longest wait of the watch call in progress; empty while there is none.
    std::optional<duration> current_watch_wait;
    bool loaded{false};
    /// When the last watch call was answered, if none has failed since: changes that the next one
    /// delivers promptly were made after that.
    std::optional<time_point> unwatched_since;
    /// When the last complete read or watch call succeeded.
    std::optional<time_point> last_synced;
    std::optional<time_point> last_watch_replacement;
    timer watch_check_timer;
    timer step_timer;
    timer sweep_timer;
    /// When the next target expires that is known to; empty while there is none.
    std::optional<time_point> next_expiry;
    timer expiry_timer;
};

} // namespace knapweedknot
