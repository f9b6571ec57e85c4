#include "fleet/policy_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration retry_delay = milliseconds(200);
// Gives the watch time to deliver a change first, which saves a read.
constexpr duration peer_read_delay = milliseconds(250);
// A watch that has not delivered a change this long after a read has shown it is lost.
constexpr duration missed_change_delay = milliseconds(300);

void log_problem(log_level level, std::string_view event, const policy_problem& problem,
                 std::uint64_t revision) {
    const std::optional<std::size_t>& entry = problem.place.entry;
    log_event(level, event,
              {{"revision", std::to_string(revision)},
               {"entry", entry ? std::to_string(*entry) : std::string()},
               {"kind", problem.place.kind},
               {"name", problem.place.name},
               {"field", problem.place.field},
               {"problem", problem.reason},
               {"effect", std::string(to_string(problem.effect))}});
}

void log_problems(const std::vector<policy_problem>& problems, std::uint64_t revision) {
    for (const policy_problem& problem : problems) {
        if (problem.effect == problem_effect::kind_unknown) {
            log_problem(log_level::info, "policy_entry_ignored", problem, revision);
        } else {
            log_problem(log_level::warning, "policy_entry_unreadable", problem, revision);
        }
    }
}

} // namespace

policy_follower::policy_follower(loop& event_loop, store_client& client, std::string document_key,
                                 policy_decoder decoder,
                                 const policy_follower_options& follower_options)
    : owner(event_loop), store(client), key(std::move(document_key)), decode(std::move(decoder)),
      options(follower_options) {}

void policy_follower::start() {
    this->read();
}

bool policy_follower::is_fresh(time_point now) const noexcept {
    return this->last_confirmation &&
           now - *this->last_confirmation < this->options.confirmation_lifetime;
}

std::optional<duration> policy_follower::confirmation_age(time_point now) const noexcept {
    return this->last_confirmation ? std::optional(now - *this->last_confirmation) : std::nullopt;
}

std::optional<duration> policy_follower::watch_age(time_point now) const noexcept {
    return this->watch_sent_at ? std::optional(now - *this->watch_sent_at) : std::nullopt;
}

void policy_follower::confirm_if_due(time_point now, bool is_busy) {
    const duration interval =
        is_busy ? this->options.confirmation_interval : this->options.idle_confirmation_interval;
    if (!this->reading && (!this->last_confirmation || now - this->last_read_started >= interval)) {
        this->read();
    }
}

void policy_follower::await_confirmation(std::function<void()> done) {
    this->confirmation_waiters.push_back(std::move(done));
    if (!this->reading) {
        this->read();
    }
}

bool policy_follower::is_superseded() const noexcept {
    return this->policy != nullptr && this->policy->number() < this->newest_of_peers;
}

void policy_follower::note_peer_policy_number(config_number number) {
    this->newest_of_peers = std::max(this->newest_of_peers, number);
    if (this->policy != nullptr && number <= this->policy->number()) {
        return;
    }
    if (!this->peer_read_timer) {
        this->peer_read_timer = this->owner.after(peer_read_delay, [this, number] {
            this->peer_read_timer = timer();
            if (!this->reading && (this->policy == nullptr || this->policy->number() < number)) {
                this->read();
            }
        });
    }
}

/// Reads the document. A successful read confirms that the policy was the newest one when the read
/// started, and returns a newer policy if there is one.
void policy_follower::read() {
    if (!this->relay) {
        this->read_from_store();
        return;
    }
    this->reading = true;
    this->last_read_started = boot_clock::now();
    this->relay([this](const relayed_answer& answer) { this->finish_relayed_read(answer); });
}

void policy_follower::finish_relayed_read(const relayed_answer& answer) {
    if (!answer) {
        if (answer.error() == relay_failure::read_store) {
            this->read_from_store();
        } else {
            this->fail_read("no relay answers");
        }
        return;
    }
    this->reading = false;
    this->record_store_call(true, "");
    if (answer->changed) {
        this->process(*answer->changed, source::relay);
    }
    if (answer->evacuated && this->order_keys) {
        this->report_changes(
            this->orders.apply_report(*answer->evacuated, answer->confirmed_at, boot_clock::now()),
            source::relay);
    }
    this->confirm(answer->confirmed_at);
    this->finish_confirmation();
}

void policy_follower::read_from_store() {
    this->reading = true;
    const time_point read_started = boot_clock::now();
    this->last_read_started = read_started;
    this->last_own_read_started = read_started;
    if (this->order_keys) {
        auto listing = std::make_shared<detail::operator_listing>();
        listing->started_at = read_started;
        this->read_page(listing);
        return;
    }
    this->store.get(this->key, [this, read_started](const result<store_value>& value) {
        this->finish_store_read(value, read_started);
    });
}

/// Reads the next page of the policy and the orders. Together the pages show both as of the start
/// of the first page, or later.
void policy_follower::read_page(const std::shared_ptr<detail::operator_listing>& listing) {
    const std::string after = listing->items.empty() ? "" : listing->items.back().key;
    this->store.list(
        this->order_keys->prefix, after, read_mode::linearizable,
        [this, listing](result<store_page> page) {
            if (!page) {
                this->finish_store_read(tl::unexpected(page.error()), listing->started_at);
                return;
            }
            listing->revision = listing->revision.value_or(page->store_revision);
            const bool has_more = page->has_more && !page->items.empty();
            std::move(page->items.begin(), page->items.end(), std::back_inserter(listing->items));
            if (has_more) {
                this->read_page(listing);
            } else {
                this->finish_listing(*listing);
            }
        });
}

void policy_follower::finish_listing(const detail::operator_listing& listing) {
    const platform::operator_documents documents = this->order_keys->split(listing.items);
    this->history_lost = false;
    this->watch_position = std::max(this->watch_position, *listing.revision);
    this->report_malformed(documents.orders);
    this->report_changes(this->orders.apply_listing(documents.orders, *listing.revision,
                                                    listing.started_at, boot_clock::now()),
                         source::read);
    this->finish_store_read(documents.policy.value_or(store_value{}), listing.started_at);
}

void policy_follower::finish_store_read(const result<store_value>& value, time_point read_started) {
    this->own_read_answered = value.has_value();
    if (!value) {
        this->fail_read(value.error().detail);
        return;
    }
    this->reading = false;
    this->record_store_call(true, "");
    this->process(*value, source::read);
    this->confirm(read_started);
    this->finish_confirmation();
    if (!this->watching && !this->relay) {
        this->watch();
    }
}

void policy_follower::fail_read(std::string_view detail) {
    this->reading = false;
    this->record_store_call(false, detail);
    this->finish_confirmation();
    const bool must_read_again = this->history_lost && !this->relay;
    if (!this->last_confirmation || must_read_again) {
        this->retry_timer = this->owner.after(retry_delay, [this] { this->read(); });
    }
}

/// Answers may arrive in another order than that of the reads behind them.
void policy_follower::confirm(time_point at) {
    this->last_confirmation = this->last_confirmation ? std::max(*this->last_confirmation, at) : at;
}

void policy_follower::set_relay(policy_relay changed) {
    const bool was_set = static_cast<bool>(this->relay);
    this->relay = std::move(changed);
    if (this->relay) {
        this->stop_watching();
    } else if (was_set && !this->reading) {
        this->read();
    }
}

void policy_follower::stop_watching() {
    if (this->watching) {
        ++this->last_watch;
        this->watching = false;
        this->watch_sent_at.reset();
        this->retry_timer = timer();
        this->watch_check_timer = timer();
    }
}

void policy_follower::finish_confirmation() {
    const std::vector<std::function<void()>> done = std::exchange(this->confirmation_waiters, {});
    for (const auto& callback : done) {
        callback();
    }
}

void policy_follower::watch() {
    this->watching = true;
    this->watch_sent_at = boot_clock::now();
    if (this->order_keys) {
        this->watch_prefix();
    } else {
        this->watch_document();
    }
}

void policy_follower::watch_document() {
    this->store.watch(
        this->key, this->newest.revision, this->options.watch_wait,
        [this, number = ++this->last_watch](const result<std::optional<store_value>>& value) {
            if (number != this->last_watch) {
                return;
            }
            this->record_store_call(value.has_value(), value ? "" : value.error().detail);
            if (!value) {
                this->watch_again(retry_delay);
                return;
            }
            if (value->has_value()) {
                this->process(**value, source::watch);
            }
            this->watch_again(duration::zero());
        });
}

/// Watches the policy and the orders.
void policy_follower::watch_prefix() {
    this->store.watch_prefix(
        this->order_keys->prefix, this->watch_position, this->options.watch_wait,
        [this, number = ++this->last_watch](const result<store_changes>& changes) {
            if (number != this->last_watch) {
                return;
            }
            this->record_store_call(changes.has_value(), changes ? "" : changes.error().detail);
            if (!changes) {
                this->watch_again(retry_delay);
                return;
            }
            if (changes->history_lost) {
                this->read_lost_history();
                return;
            }
            // An empty answer may stand for changes that were lost; the next watch delivers them.
            if (!changes->items.empty()) {
                this->watch_position = std::max(this->watch_position, changes->store_revision);
            }
            this->process_changes(this->order_keys->split(changes->items));
            this->watch_again(duration::zero());
        });
}

void policy_follower::process_changes(const platform::operator_documents& changed) {
    this->report_malformed(changed.orders);
    for (const evacuation_order& order : changed.orders) {
        this->report_changes(this->orders.apply_change(order, boot_clock::now()), source::watch);
    }
    if (changed.policy) {
        this->process(*changed.policy, source::watch);
    }
}

/// The store has discarded changes that were not delivered: reads everything, and watches from
/// there on.
void policy_follower::read_lost_history() {
    log_event(log_level::info, "policy_history_lost",
              {{"revision", std::to_string(this->watch_position)}});
    this->history_lost = true;
    this->watching = false;
    this->watch_sent_at.reset();
    if (!this->reading) {
        this->read();
    }
}

void policy_follower::check_watch() {
    if (!this->watch_sent_at) {
        return;
    }
    this->watch_check_timer =
        this->owner.after(missed_change_delay, [this, number = this->last_watch] {
            if (this->watch_sent_at && number == this->last_watch) {
                log_event(log_level::warning, "watch_lost", {{"document", this->key}});
                this->watch();
            }
        });
}

void policy_follower::watch_again(duration delay) {
    this->watch_sent_at.reset();
    this->retry_timer = this->owner.after(delay, [this] { this->watch(); });
}

const char* policy_follower::source_name(source learnt_by) {
    switch (learnt_by) {
    case source::read:
        return "read";
    case source::watch:
        return "watch";
    case source::relay:
        return "relay";
    }
    return "read";
}

void policy_follower::process(const store_value& value, source learnt_by) {
    if (value.revision <= this->newest.revision) {
        return;
    }
    std::vector<policy_problem> problems;
    auto parts = this->decode(value.data, problems);
    log_problems(problems, value.revision);
    this->newest = value;
    if (!parts) {
        log_event(
            log_level::error, "policy_unreadable",
            {{"revision", std::to_string(value.revision)}, {"problem", parts.error().detail}});
        return;
    }
    if (this->policy != nullptr && parts->number < this->policy->number()) {
        log_event(log_level::warning, "policy_older_ignored",
                  {{"number", std::to_string(parts->number.value)},
                   {"adopted", std::to_string(this->policy->number().value)}});
        return;
    }
    this->policy = std::make_shared<const traffic_policy>(std::move(*parts));
    this->unreadable_entry_count = count_unreadable_entries(problems);
    for (const policy_problem& conflict : this->policy->conflicts()) {
        log_problem(log_level::warning, "policy_entry_hidden", conflict, value.revision);
    }
    const time_point now = boot_clock::now();
    const auto age = this->confirmation_age(now);
    const auto watched_for = this->watch_age(now);
    log_event(log_level::info, "policy_adopted",
              {{"number", std::to_string(this->policy->number().value)},
               {"last_proof_age_ms", std::to_string(age ? to_milliseconds(*age) : -1)},
               {"source", source_name(learnt_by)},
               {"watch_age_ms", std::to_string(watched_for ? to_milliseconds(*watched_for) : -1)},
               {"revision", std::to_string(this->newest.revision)},
               {"routes", std::to_string(this->policy->route_count())},
               {"accounts", std::to_string(this->policy->accounts().size())}});
    if (learnt_by != source::watch) {
        this->check_watch();
    }
    if (this->on_adopted) {
        this->on_adopted();
    }
}

bool policy_follower::are_orders_confirmed() const noexcept {
    return this->order_keys && this->orders.confirmed_at() &&
           this->orders.confirmed_at() >= this->last_confirmation;
}

void policy_follower::report_malformed(const std::vector<evacuation_order>& changed) {
    for (const evacuation_order& order : changed) {
        if (order.readable) {
            this->malformed_orders.erase(order.failure_domain);
            continue;
        }
        const bool is_reported = std::exchange(this->malformed_orders[order.failure_domain],
                                               order.revision) == order.revision;
        if (!is_reported && this->on_malformed_order) {
            this->on_malformed_order(order);
        }
    }
}

void policy_follower::report_changes(const std::vector<evacuation_change>& changes,
                                     source learnt_by) {
    if (changes.empty()) {
        return;
    }
    for (const evacuation_change& change : changes) {
        log_event(change.evacuated ? log_level::warning : log_level::info,
                  change.evacuated ? "evacuation_ordered" : "evacuation_ended",
                  {{"failure_domain", change.failure_domain.value},
                   {"revision", std::to_string(change.revision)},
                   {"source", source_name(learnt_by)}});
    }
    if (learnt_by != source::watch) {
        this->check_watch();
    }
    if (this->on_orders_changed) {
        this->on_orders_changed(changes);
    }
}

void policy_follower::record_store_call(bool answered, std::string_view detail) {
    if (answered == this->reachable) {
        return;
    }
    this->reachable = answered;
    if (answered) {
        log_event(log_level::info, "store_regained", {{"document", this->key}});
    } else {
        log_event(log_level::warning, "store_lost",
                  {{"document", this->key}, {"detail", std::string(detail)}});
    }
}

} // namespace knapweedknot
