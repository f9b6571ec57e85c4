#include "fleet/target_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration retry_delay = milliseconds(250);
// Also finds targets that expired during a suspension, or by a change of the options.
constexpr duration sweep_interval = milliseconds(250);
// A watch that has not delivered a change this long after a peer has reported it is lost.
constexpr duration missed_change_delay = milliseconds(1000);
// A watch that is answered sooner than this may deliver changes from before it was sent.
constexpr duration prompt_answer_limit = milliseconds(150);
// After a longer time without a proof, the store has been away, and may have lost registrations
// that will return.
constexpr duration longest_usual_gap = milliseconds(1500);
// Time for which a removal is kept, to be told to instances that have not heard of it.
constexpr duration removal_retention = seconds(120);
// Least time between two replacements. Where answers are late because the link is full, each
// further call would fill it more.
constexpr duration watch_replacement_interval = seconds(8);
// Registrations of one warm-up are learnt with different delays; ends closer than this are equal.
constexpr duration warm_up_tolerance = milliseconds(500);

std::string_view state_text(const known_target& target) {
    if (target.vanished_at) {
        return "vanished";
    }
    return target.registration.state == target_state::ready ? "ready" : "draining";
}

void log_target(std::string_view event, const known_target& target) {
    log_event(log_level::info, event,
              {{"target", target.registration.id.value},
               {"service", target.registration.service.value},
               {"address", target.registration.ip + ':' + std::to_string(target.registration.port)},
               {"state", std::string(state_text(target))}});
}

} // namespace

target_directory::target_directory(loop& event_loop, store_client& client, std::string key_prefix,
                                   target_decoder decoder,
                                   const target_directory_options& directory_options)
    : owner(event_loop), store(client), prefix(std::move(key_prefix)), decode(std::move(decoder)),
      options(directory_options) {}

void target_directory::start() {
    this->sweep_timer = this->owner.every(sweep_interval, [this] { this->remove_expired(); });
    this->read_all();
}

const std::map<target_id, known_target>&
target_directory::targets_of(const service_id& service) const {
    static const std::map<target_id, known_target> none;
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? none : found->second;
}

bool target_directory::has_targets_in(const failure_domain_id& domain) const {
    return std::any_of(this->by_service.begin(), this->by_service.end(), [&](const auto& service) {
        return std::any_of(service.second.begin(), service.second.end(), [&](const auto& item) {
            return item.second.registration.failure_domain == domain;
        });
    });
}

std::optional<duration> target_directory::age(time_point now) const noexcept {
    return this->last_synced ? std::optional(now - *this->last_synced) : std::nullopt;
}

void target_directory::schedule(duration delay, void (target_directory::*step)()) {
    this->step_timer = this->owner.after(delay, [this, step] { (this->*step)(); });
}

void target_directory::read_all() {
    auto started = std::make_shared<detail::listing>();
    started->then_watch = true;
    this->read_page(started);
}

void target_directory::read_page(const std::shared_ptr<detail::listing>& read) {
    const std::string after = read->items.empty() ? "" : read->items.back().key;
    this->store.list(
        this->prefix, after, read_mode::linearizable, [this, read](result<store_page> page) {
            if (!page) {
                this->notify_confirmation_waiters();
                if (read->then_watch && !this->is_relayed) {
                    this->schedule(retry_delay, &target_directory::read_all);
                }
                return;
            }
            // The pages are not a snapshot: the watch starts at the revision of the
            // first page and returns changes made since then again.
            read->revision = read->revision.value_or(page->store_revision);
            const bool has_more = page->has_more && !page->items.empty();
            std::move(page->items.begin(), page->items.end(), std::back_inserter(read->items));
            if (has_more) {
                this->read_page(read);
            } else {
                this->finish_listing(*read);
            }
        });
}

void target_directory::finish_listing(const detail::listing& read) {
    this->replace_all(read.items, *read.revision, this->earliest_unheard_change());
    this->finish_sync(*read.revision);
    this->confirm_at(read.started_at);
    this->notify_confirmation_waiters();
    if (read.then_watch && !this->is_relayed) {
        this->schedule(std::exchange(this->options.first_watch_delay, duration::zero()),
                       &target_directory::watch);
    }
}

/// Takes over the listing \p items, read at \p revision. What it lacks was removed at
/// \p changed_after or later.
void target_directory::replace_all(const std::vector<store_item>& items, std::uint64_t revision,
                                   time_point changed_after) {
    std::set<std::string_view> listed;
    for (const store_item& item : items) {
        this->apply(item, changed_after);
        listed.insert(item.key);
    }
    std::vector<store_item> removed;
    for (const auto& [key, change] : this->last_changes) {
        if (change.item.value.revision != 0 && !listed.contains(key)) {
            removed.push_back({key, {}, revision});
        }
    }
    for (const store_item& item : removed) {
        this->apply(item, changed_after);
    }
    if (!this->loaded) {
        this->complete_since = revision;
    }
}

void target_directory::finish_sync(std::uint64_t revision) {
    this->synced_revision = std::max(this->synced_revision, revision);
    this->watch_position = std::max(this->watch_position, revision);
    this->last_synced = boot_clock::now();
    this->loaded = true;
}

void target_directory::confirm_at(time_point at) {
    this->confirmed = this->confirmed ? std::max(*this->confirmed, at) : at;
}

void target_directory::set_relayed(bool relayed) {
    if (this->is_relayed == relayed) {
        return;
    }
    this->is_relayed = relayed;
    if (relayed) {
        ++this->last_watch;
        this->current_watch_wait.reset();
        this->unwatched_since.reset();
        this->step_timer = timer();
        this->watch_check_timer = timer();
    } else if (this->loaded) {
        this->watch();
    } else {
        this->read_all();
    }
}

void target_directory::apply_relayed(const relayed_registrations& known) {
    // What is complete up to a later revision is so up to an earlier one.
    if (known.revision < this->synced_revision) {
        this->confirm_at(known.confirmed_at);
        return;
    }
    if (known.in_full) {
        std::vector<store_item> items;
        for (const registration_change& change : known.changes) {
            items.push_back(change.item);
        }
        this->replace_all(items, known.revision, this->earliest_unheard_change());
    } else {
        for (const registration_change& change : known.changes) {
            this->apply(change.item, change.changed_after);
        }
    }
    this->finish_sync(known.revision);
    this->confirm_at(known.confirmed_at);
}

/// Earliest time of a change that this instance can have missed; now if the store has been away, so
/// that registrations which return keep their whole grace period.
time_point target_directory::earliest_unheard_change() const {
    const time_point now = boot_clock::now();
    const bool was_in_sync = this->confirmed && now - *this->confirmed < longest_usual_gap;
    return was_in_sync ? *this->confirmed : now;
}

relayed_registrations target_directory::changes_since(std::uint64_t since) const {
    relayed_registrations known;
    known.revision = this->synced_revision;
    known.confirmed_at = *this->confirmed;
    known.in_full = since < this->complete_since;
    for (const auto& [key, change] : this->last_changes) {
        const bool is_wanted =
            known.in_full ? change.item.value.revision != 0 : change.item.changed_at > since;
        if (is_wanted) {
            known.changes.push_back(change);
        }
    }
    return known;
}

void target_directory::set_options(const target_directory_options& changed) {
    this->options = changed;
    if (this->current_watch_wait && this->options.watch_wait < *this->current_watch_wait) {
        this->watch();
    }
}

bool target_directory::is_superseded(time_point since) const noexcept {
    const bool is_confirmed = this->confirmed && *this->confirmed >= since;
    return !is_confirmed && this->synced_revision < this->newest_change_of_peers;
}

void target_directory::note_peer_change(std::uint64_t revision) {
    this->newest_change_of_peers = std::max(this->newest_change_of_peers, revision);
    const time_point now = boot_clock::now();
    const bool replaced_recently = this->last_watch_replacement &&
                                   now - *this->last_watch_replacement < watch_replacement_interval;
    if (revision <= this->synced_revision || !this->current_watch_wait || this->watch_check_timer ||
        replaced_recently) {
        return;
    }
    this->watch_check_timer =
        this->owner.after(missed_change_delay, [this, revision, number = this->last_watch] {
            this->watch_check_timer = timer();
            const bool is_waiting = this->current_watch_wait && number == this->last_watch;
            if (is_waiting && this->synced_revision < revision) {
                log_event(log_level::warning, "watch_lost",
                          {{"document", this->prefix},
                           {"known_revision", std::to_string(this->synced_revision)},
                           {"peer_revision", std::to_string(revision)}});
                this->last_watch_replacement = boot_clock::now();
                this->watch();
            }
        });
}

void target_directory::watch() {
    this->current_watch_wait = this->options.watch_wait;
    const time_point sent = boot_clock::now();
    this->store.watch_prefix(
        this->prefix, this->watch_position, this->options.watch_wait,
        [this, sent, number = ++this->last_watch](const result<store_changes>& changes) {
            if (number != this->last_watch) {
                return;
            }
            this->current_watch_wait.reset();
            const std::optional<time_point> unwatched_since =
                std::exchange(this->unwatched_since, std::nullopt);
            if (!changes) {
                this->schedule(retry_delay, &target_directory::watch);
                return;
            }
            if (changes->history_lost) {
                log_event(log_level::info, "target_history_lost",
                          {{"revision", std::to_string(this->synced_revision)}});
                this->schedule(duration::zero(), &target_directory::read_all);
                return;
            }
            const time_point now = boot_clock::now();
            const bool is_prompt = now - sent < prompt_answer_limit;
            const time_point changed_after =
                is_prompt ? unwatched_since.value_or(this->earliest_unheard_change()) : now;
            for (const store_item& item : changes->items) {
                this->apply(item, changed_after);
                this->synced_revision = std::max(this->synced_revision, item.changed_at);
            }
            this->watch_position = std::max(this->watch_position, changes->store_revision);
            this->last_synced = now;
            this->unwatched_since = now;
            this->schedule(changes->items.empty() ? duration::zero() : this->options.batch_window,
                           &target_directory::watch);
        });
}

/// Lists the registrations: a watch that delivers nothing proves nothing.
void target_directory::confirm(std::function<void()> done) {
    this->confirmation_waiters.push_back(std::move(done));
    if (this->confirmation_waiters.size() == 1) {
        this->read_page(std::make_shared<detail::listing>());
    }
}

void target_directory::notify_confirmation_waiters() {
    const auto waiters = std::exchange(this->confirmation_waiters, {});
    for (const auto& waiter : waiters) {
        waiter();
    }
}

/// Records a change. False if it, or a later change of the same registration, is known already.
bool target_directory::record(const store_item& item, time_point changed_after) {
    this->newest_change = std::max(this->newest_change, item.changed_at);
    const auto [place, is_new] = this->last_changes.try_emplace(item.key);
    const store_item& known = place->second.item;
    const bool is_known =
        item.changed_at == known.changed_at && item.value.revision == known.value.revision;
    if (!is_new && (item.changed_at < known.changed_at || is_known)) {
        return false;
    }
    place->second = {item, changed_after};
    return true;
}

/// Forgets removals that every instance has heard of by now.
void target_directory::forget_old_removals() {
    const time_point now = boot_clock::now();
    std::erase_if(this->last_changes, [&](const auto& entry) {
        const registration_change& change = entry.second;
        const bool is_old =
            change.item.value.revision == 0 && now - change.changed_after > removal_retention;
        if (is_old) {
            this->complete_since = std::max(this->complete_since, change.item.changed_at);
        }
        return is_old;
    });
}

/// Applies a change that was made at \p changed_after or later.
void target_directory::apply(const store_item& item, time_point changed_after) {
    if (item.key.size() <= this->prefix.size() || !this->record(item, changed_after)) {
        return;
    }
    const target_id id{item.key.substr(this->prefix.size())};
    if (item.value.revision == 0) {
        this->mark_vanished(id, changed_after);
        return;
    }
    auto registration = this->decode(id.value, item.value.data);
    if (!registration) {
        ++this->unusable;
        log_event(log_level::warning, "registration_unreadable",
                  {{"target", id.value},
                   {"revision", std::to_string(item.value.revision)},
                   {"problem", registration.error().detail},
                   {"count", std::to_string(this->unusable)}});
        // It names no target to use, so what an earlier entry named is gone until it is written
        // again.
        this->mark_vanished(id, changed_after);
        return;
    }
    this->add(std::move(*registration));
}

void target_directory::add(registered_target&& registration) {
    const target_id id = registration.id;
    const service_id service = registration.service;
    if (const auto earlier = this->service_by_id.find(id);
        earlier != this->service_by_id.end() && earlier->second != service) {
        this->remove(earlier->second, id);
    }
    this->service_by_id[id] = service;
    const auto [place, is_new] = this->by_service[service].try_emplace(id);
    known_target& target = place->second;
    const bool is_new_generation =
        is_new || target.registration.started_unix_ms != registration.started_unix_ms ||
        target.registration.ip != registration.ip || target.registration.port != registration.port;
    const bool is_changed =
        is_new_generation || target.vanished_at || target.registration.state != registration.state;
    const bool is_warm_up_changed = this->set_cold_until(target, registration.warm_up_left);
    if (is_new_generation) {
        target.generation = ++this->last_generation;
        target.first_seen = boot_clock::now();
    }
    target.registration = std::move(registration);
    target.vanished_at.reset();
    if (is_changed) {
        log_target("target_registered", target);
    }
    if (is_changed || is_warm_up_changed) {
        this->notify_changed(service);
    }
}

/// Notes the warm-up that a new registration of \p target states. True if it ends at another time
/// than was known.
bool target_directory::set_cold_until(known_target& target, duration warm_up_left) const {
    const std::optional<time_point> known = std::exchange(target.cold_until, std::nullopt);
    if (warm_up_left > duration::zero()) {
        target.cold_until = boot_clock::now() + warm_up_left;
    }
    target.is_cold_news = this->loaded;
    if (!known || !target.cold_until) {
        return known.has_value() != target.cold_until.has_value();
    }
    return std::chrono::abs(*known - *target.cold_until) > warm_up_tolerance;
}

/// Notes that the registration of \p id disappeared, no earlier than \p since: the grace period
/// runs from there, as the bound on using the target runs from the removal in the store.
void target_directory::mark_vanished(const target_id& id, time_point since) {
    const auto found = this->service_by_id.find(id);
    if (found == this->service_by_id.end()) {
        return;
    }
    const service_id service = found->second;
    known_target& target = this->by_service.at(service).at(id);
    if (target.registration.state == target_state::draining) {
        this->remove(service, id);
    } else if (!target.vanished_at) {
        target.vanished_at = since;
        log_target("target_vanished", target);
        if (this->is_expired(target, boot_clock::now())) {
            this->remove(service, id);
            return;
        }
        this->expire_at(since + this->options.vanished_grace);
        this->notify_changed(service);
    }
}

bool target_directory::is_expired(const known_target& target, time_point now) const {
    return target.vanished_at && now - *target.vanished_at >= this->options.vanished_grace;
}

/// Looks for expired targets at \p at, if not before.
void target_directory::expire_at(time_point at) {
    if (this->next_expiry && *this->next_expiry <= at) {
        return;
    }
    this->next_expiry = at;
    this->expiry_timer = this->owner.after(at - boot_clock::now(), [this] {
        // The timer owns this function.
        const timer expired = std::move(this->expiry_timer);
        this->next_expiry.reset();
        this->remove_expired();
    });
}

void target_directory::remove(const service_id& service, const target_id& id) {
    auto& targets = this->by_service.at(service);
    if (const auto found = targets.find(id); found != targets.end()) {
        log_target("target_gone", found->second);
        targets.erase(found);
    }
    this->service_by_id.erase(id);
    this->notify_changed(service);
}

void target_directory::remove_expired() {
    this->forget_old_removals();
    const time_point now = boot_clock::now();
    std::vector<std::pair<service_id, target_id>> expired;
    for (const auto& [service, targets] : this->by_service) {
        for (const auto& [id, target] : targets) {
            if (this->is_expired(target, now)) {
                expired.emplace_back(service, id);
            } else if (target.vanished_at) {
                this->expire_at(*target.vanished_at + this->options.vanished_grace);
            }
        }
    }
    for (const auto& [service, id] : expired) {
        this->remove(service, id);
    }
}

void target_directory::notify_changed(const service_id& service) {
    if (this->on_changed) {
        this->on_changed(service);
    }
}

} // namespace knapweedknot
