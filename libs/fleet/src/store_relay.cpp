#include "fleet/store_relay.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration tick_interval = milliseconds(125);
// Time after the start in which an instance looks for relays before it watches the store itself.
constexpr duration search_time = milliseconds(1000);
// A relay that has to ask another one first is given longer.
constexpr duration direct_reply_timeout = milliseconds(250);
constexpr duration chained_reply_timeout = milliseconds(500);
// Time for which relays may still answer once what the instance knows is too old.
constexpr duration late_reply_timeout = milliseconds(125);
// Time for which a relay that gave no answer is not asked again.
constexpr duration avoidance_time = seconds(2);
constexpr duration refusal_avoidance_time = milliseconds(500);
// The same for a relay that does not follow the evacuation orders: longer than what is known may be
// unconfirmed, so that the store is read before it is asked again.
constexpr duration orderless_avoidance_time = seconds(30);
// Interval between two attempts while neither a relay nor the store answers.
constexpr duration retry_interval = milliseconds(500);
// After so many unanswered requests, an instance watches the registrations itself.
constexpr int max_unanswered_in_row = 3;
// Interval at which an instance that the store did not answer reads it again, although a relay
// answers.
constexpr duration own_read_interval = seconds(6);

/// Age in milliseconds, rounded up: an age must not be understated.
std::uint32_t age_in_ms(time_point since, time_point now) {
    return static_cast<std::uint32_t>(to_milliseconds(now - since) + 1);
}

std::unique_ptr<wire::registrationT> encode(const registration_change& change, time_point now) {
    auto message = std::make_unique<wire::registrationT>();
    message->key = change.item.key;
    message->data = change.item.value.data;
    message->revision = change.item.value.revision;
    message->changed_at = change.item.changed_at;
    message->changed_ms = age_in_ms(change.changed_after, now);
    return message;
}

registration_change decode(const wire::registrationT& message, time_point asked_at) {
    return {{message.key, {message.data, message.revision}, message.changed_at},
            asked_at - milliseconds(message.changed_ms)};
}

} // namespace

store_relay_options make_store_relay_options(duration policy_apply, duration target_drain) {
    store_relay_options options;
    options.serving_interval = target_drain / 6;
    options.idle_interval = target_drain / 4;
    options.max_policy_age = policy_apply / 4;
    options.max_targets_age = target_drain * 2 / 5;
    options.max_unconfirmed_policy = policy_apply / 2;
    options.max_unconfirmed_targets = target_drain / 2;
    options.own_retry_interval = policy_apply;
    return options;
}

store_relay::store_relay(const dependencies& given, const store_relay_options& relay_options)
    : parts(given), options(relay_options), started_at(boot_clock::now()) {}

void store_relay::start() {
    this->relay_policy_reads();
    this->tick_timer = this->parts.owner.every(tick_interval, [this] { this->tick(); });
}

void store_relay::relay_policy_reads() {
    this->parts.policy.set_relay([this](callback done) { this->ask(std::move(done)); });
}

bool store_relay::can_relay() const noexcept {
    // The operator may not have written a policy yet; a read shows that as well.
    const policy_follower& policy = this->parts.policy;
    return policy.confirmed_at() && this->parts.directory.is_loaded() &&
           policy.is_own_read_answered();
}

void store_relay::tick() {
    const time_point now = boot_clock::now();
    const time_point too_old_at = this->too_old_at();
    const bool has_become_too_old = too_old_at <= now && this->last_asked < too_old_at;
    const bool is_due = has_become_too_old || now - this->last_asked >= this->refresh_interval();
    if (!is_due || now - this->started_at < search_time) {
        return;
    }
    const relay_choice choice = this->choose();
    this->follow_choice(choice);
    if (this->pending) {
        return;
    }
    if (choice.relays.empty()) {
        this->refresh_from_store(now);
    } else {
        this->last_asked = now;
        this->parts.policy.await_confirmation([] {});
    }
}

/// When what the instance knows becomes, or became, too old.
time_point store_relay::too_old_at() const {
    const auto policy_at = this->parts.policy.confirmed_at();
    const auto targets_at = this->parts.directory.confirmed_at();
    if (!policy_at || !targets_at) {
        return this->started_at;
    }
    return std::min(*policy_at + this->options.max_unconfirmed_policy,
                    *targets_at + this->options.max_unconfirmed_targets);
}

/// When relays that have not answered by then are given up: their timeouts, one after the other,
/// would use up the share of the bound that the read of the store needs. While the store was read
/// in place of the last answers, they get no time beyond that.
time_point store_relay::relays_deadline(time_point now) const {
    const bool has_replaced_relays =
        this->unanswered_in_row > 0 && this->parts.policy.is_own_read_answered();
    return std::max(this->too_old_at() + late_reply_timeout,
                    has_replaced_relays ? now : now + late_reply_timeout);
}

void store_relay::give_up_relays() {
    // The timer owns this function.
    const timer expired = std::move(this->pending->late_timer);
    this->drop_first_relay(failure::too_late);
    this->finish_unanswered();
}

duration store_relay::refresh_interval() const {
    if (!this->followed || !this->was_answered) {
        return retry_interval;
    }
    return this->is_serving() ? this->options.serving_interval : this->options.idle_interval;
}

/// Renews what is about to be too old. Usually the questions of other instances do so earlier.
void store_relay::refresh_from_store(time_point now) {
    if (!this->is_policy_younger(this->options.max_unconfirmed_policy, now)) {
        this->last_asked = now;
        this->parts.policy.await_confirmation([] {});
    }
    if (!this->are_targets_younger(this->options.max_unconfirmed_targets, now)) {
        this->last_asked = now;
        this->parts.directory.confirm([] {});
    }
}

/// Reads the store itself while there is no relay, and through relays otherwise.
void store_relay::follow_choice(const relay_choice& choice) {
    const std::optional<incarnation_id> first =
        choice.relays.empty() ? std::nullopt : std::optional(choice.relays.front());
    const bool is_changed = std::exchange(this->followed, first) != first;
    if (is_changed) {
        log_event(log_level::info, "relay_chosen",
                  {{"relay", first ? std::to_string(first->value) : "none"},
                   {"domain_relay", choice.is_domain_relay ? "1" : "0"}});
    }
    if (first) {
        this->relay_policy_reads();
    } else {
        this->parts.policy.set_relay(nullptr);
        this->parts.directory.set_relayed(false);
    }
}

void store_relay::ask(callback done) {
    const time_point now = boot_clock::now();
    std::erase_if(this->avoided_until, [now](const auto& item) { return item.second <= now; });
    relay_choice choice = this->choose();
    std::erase_if(choice.relays,
                  [this](incarnation_id relay) { return this->avoided_until.contains(relay); });
    const policy_follower& policy = this->parts.policy;
    // Finds out whether the store answers this instance again.
    const bool is_own_read_due =
        !policy.is_own_read_answered() && now - policy.last_own_read() >= own_read_interval;
    this->last_asked = now;
    this->pending.emplace();
    this->pending->may_ask = !choice.is_domain_relay;
    this->pending->done = std::move(done);
    this->pending->is_own_read = is_own_read_due;
    this->pending->is_domain_best = choice.is_domain_best;
    if (!is_own_read_due) {
        this->pending->relays = std::move(choice.relays);
        this->pending->late_timer = this->parts.owner.after(this->relays_deadline(now) - now,
                                                            [this] { this->give_up_relays(); });
    }
    this->ask_first();
}

void store_relay::ask_first() {
    if (this->pending->relays.empty()) {
        this->finish_unanswered();
        return;
    }
    detail::pending_store_request& request = *this->pending;
    request.id = ++this->last_id;
    request.asked_at = boot_clock::now();
    request.policy_revision = this->parts.policy.document().revision;
    wire::store_requestT message;
    message.id = request.id;
    message.may_ask = request.may_ask;
    message.policy_revision = request.policy_revision;
    message.targets_revision = this->parts.directory.known_revision();
    message.max_policy_age_ms =
        static_cast<std::uint32_t>(to_milliseconds(this->options.max_policy_age));
    message.max_targets_age_ms =
        static_cast<std::uint32_t>(to_milliseconds(this->options.max_targets_age));
    ++this->totals.asked;
    const duration limit = request.may_ask ? chained_reply_timeout : direct_reply_timeout;
    request.timeout = this->parts.owner.after(limit, [this] {
        // The timer owns this function.
        const timer expired = std::move(this->pending->timeout);
        this->ask_next(failure::timed_out);
    });
    if (!this->parts.network.send(request.relays.front(), message)) {
        this->ask_next(failure::disconnected);
    }
}

const char* store_relay::name_of(failure reason) {
    switch (reason) {
    case failure::timed_out:
        return "timed_out";
    case failure::refused:
        return "refused";
    case failure::unusable:
        return "unusable";
    case failure::disconnected:
        return "disconnected";
    case failure::too_late:
        return "too_late";
    }
    return "timed_out";
}

/// Asks the next relay instead of the first, which is of no use.
void store_relay::ask_next(failure reason) {
    this->drop_first_relay(reason);
    this->ask_first();
}

void store_relay::drop_first_relay(failure reason) {
    ++this->totals.unanswered;
    std::vector<incarnation_id>& relays = this->pending->relays;
    log_event(log_level::info, "relay_unanswered",
              {{"relay", std::to_string(relays.front().value)}, {"reason", name_of(reason)}});
    // A relay that refuses has lost the store or its own relay, and says so at once.
    if (reason != failure::disconnected) {
        this->avoided_until[relays.front()] =
            boot_clock::now() +
            (reason == failure::refused ? refusal_avoidance_time : avoidance_time);
    }
    relays.erase(relays.begin());
}

void store_relay::finish(const relayed_policy& answer) {
    // Moved out first: the callback may ask again.
    const detail::pending_store_request ended = std::move(*this->pending);
    this->pending.reset();
    this->was_answered = true;
    this->unanswered_in_row = 0;
    ended.done(answer);
}

void store_relay::finish_unanswered() {
    const detail::pending_store_request ended = std::move(*this->pending);
    this->pending.reset();
    this->was_answered = false;
    // A domain relay is asked by others: it reads the store at once.
    if (ended.may_ask && !ended.is_own_read) {
        if (const auto recent = this->recent_confirmation(); recent) {
            ended.done(*recent);
            return;
        }
    }
    if (!this->may_read_store(ended)) {
        ended.done(tl::unexpected(relay_failure::give_up));
        return;
    }
    if (this->followed) {
        this->read_targets_from_store();
    }
    ended.done(tl::unexpected(relay_failure::read_store));
}

/// While the store does not answer, few instances ask it often, so that it is not met by all at
/// once when it returns.
bool store_relay::may_read_store(const detail::pending_store_request& request) const {
    const policy_follower& policy = this->parts.policy;
    if (request.is_own_read || policy.is_own_read_answered()) {
        return true;
    }
    const duration interval =
        request.is_domain_best ? retry_interval : this->options.own_retry_interval;
    return boot_clock::now() - policy.last_own_read() >= interval;
}

/// Replaces the part of a reply that is about the registrations.
void store_relay::read_targets_from_store() {
    if (!this->are_targets_younger(this->options.max_unconfirmed_targets / 2, boot_clock::now())) {
        this->parts.directory.confirm([] {});
    }
    if (++this->unanswered_in_row >= max_unanswered_in_row) {
        this->parts.directory.set_relayed(false);
    }
}

/// What is known already, if it was confirmed so recently that the store need not be asked: a relay
/// may answer again by the time that it must.
std::optional<relayed_policy> store_relay::recent_confirmation() const {
    const bool is_recent = this->followed && boot_clock::now() < this->too_old_at();
    return is_recent ? std::optional(relayed_policy{*this->parts.policy.confirmed_at(),
                                                    std::nullopt, std::nullopt})
                     : std::nullopt;
}

void store_relay::handle(const peer_info& from, const wire::store_replyT& message) {
    const bool is_expected = this->pending && this->pending->id == message.id &&
                             !this->pending->relays.empty() &&
                             this->pending->relays.front() == from.incarnation;
    if (!is_expected) {
        return;
    }
    auto answer = message.answered ? this->take(message) : std::nullopt;
    if (!answer) {
        this->ask_next(message.answered ? failure::unusable : failure::refused);
        return;
    }
    if (this->parts.policy.follows_orders() && !answer->evacuated) {
        this->avoid_orderless_relay(from);
    }
    this->parts.directory.set_relayed(true);
    this->finish(*answer);
}

/// The orders have to come from another relay, or from the store.
void store_relay::avoid_orderless_relay(const peer_info& relay) {
    log_event(log_level::info, "relay_without_orders",
              {{"relay", std::to_string(relay.incarnation.value)}});
    this->avoided_until[relay.incarnation] = boot_clock::now() + orderless_avoidance_time;
}

/// Takes over the registrations of a reply and returns what it says of the policy; empty if the
/// reply is of no use.
std::optional<relayed_policy> store_relay::take(const wire::store_replyT& message) {
    const time_point asked_at = this->pending->asked_at;
    const bool is_newer = message.policy_revision > this->pending->policy_revision;
    if (is_newer && message.policy.empty()) {
        log_event(log_level::warning, "relay_reply_unusable",
                  {{"problem", "a newer policy without its document"},
                   {"revision", std::to_string(message.policy_revision)}});
        return std::nullopt;
    }
    relayed_registrations known;
    known.revision = message.targets_revision;
    known.confirmed_at = asked_at - milliseconds(message.targets_age_ms);
    known.in_full = message.targets_in_full;
    for (const auto& registration : message.registrations) {
        known.changes.push_back(decode(*registration, asked_at));
    }
    this->parts.directory.apply_relayed(known);
    relayed_policy answer;
    answer.confirmed_at = asked_at - milliseconds(message.policy_age_ms);
    if (is_newer) {
        answer.changed = store_value{message.policy, message.policy_revision};
    }
    if (message.orders_known) {
        answer.evacuated.emplace();
        for (const std::string& name : message.evacuated) {
            answer.evacuated->push_back(failure_domain_id{name});
        }
    }
    return answer;
}

void store_relay::peer_lost(incarnation_id peer) {
    if (this->pending && !this->pending->relays.empty() && this->pending->relays.front() == peer) {
        this->ask_next(failure::disconnected);
    }
}

bool store_relay::is_policy_younger(duration limit, time_point now) const {
    const auto at = this->parts.policy.confirmed_at();
    return at && now - *at <= limit;
}

bool store_relay::are_targets_younger(duration limit, time_point now) const {
    const auto at = this->parts.directory.confirmed_at();
    return at && now - *at <= limit;
}

bool store_relay::is_policy_young(const wire::store_requestT& message, time_point now) const {
    return this->is_policy_younger(milliseconds(message.max_policy_age_ms), now);
}

bool store_relay::are_targets_young(const wire::store_requestT& message, time_point now) const {
    return this->are_targets_younger(milliseconds(message.max_targets_age_ms), now);
}

/// Replies at once if what this instance knows is young enough; else first asks the store, or its
/// own relay if the asker allows that.
void store_relay::handle(const peer_info& from, const wire::store_requestT& message) {
    const time_point now = boot_clock::now();
    const bool is_policy_due = !this->is_policy_young(message, now);
    const bool are_targets_due = !this->are_targets_young(message, now);
    const auto answer = [this, from, message] { this->reply(from, message); };
    // While nobody answers this instance, only its own timer tries again: the asker shall not wait.
    const bool is_cut_off =
        this->parts.policy.confirmed_at() && !this->parts.policy.is_store_reachable();
    if (is_cut_off || (this->followed && !message.may_ask)) {
        answer();
        return;
    }
    const auto confirm_targets = [this, message, answer] {
        if (this->are_targets_young(message, boot_clock::now())) {
            answer();
        } else {
            this->parts.directory.confirm(answer);
        }
    };
    // Through its own relay, an instance learns of both.
    if (is_policy_due || (are_targets_due && this->followed)) {
        this->parts.policy.await_confirmation(confirm_targets);
    } else {
        confirm_targets();
    }
}

void store_relay::reply(const peer_info& to, const wire::store_requestT& message) {
    const time_point now = boot_clock::now();
    wire::store_replyT answer = this->make_reply(message, now);
    ++(answer.answered ? this->totals.replied : this->totals.refused);
    if (!answer.answered) {
        const auto policy_age = this->parts.policy.confirmation_age(now);
        const auto targets_at = this->parts.directory.confirmed_at();
        log_event(
            log_level::info, "relay_refused",
            {{"asker", to.instance.value},
             {"relay", this->followed ? std::to_string(this->followed->value) : "none"},
             {"policy_age_ms", std::to_string(policy_age ? to_milliseconds(*policy_age) : -1)},
             {"targets_age_ms",
              std::to_string(targets_at ? to_milliseconds(now - *targets_at) : -1)}});
    }
    this->parts.network.send(to.incarnation, std::move(answer));
}

wire::store_replyT store_relay::make_reply(const wire::store_requestT& message,
                                           time_point now) const {
    const target_directory& directory = this->parts.directory;
    wire::store_replyT answer;
    answer.id = message.id;
    answer.answered = this->is_policy_young(message, now) && this->are_targets_young(message, now);
    if (!answer.answered) {
        return answer;
    }
    const store_value& document = this->parts.policy.document();
    answer.policy_revision = document.revision;
    answer.policy_age_ms = age_in_ms(*this->parts.policy.confirmed_at(), now);
    if (document.revision > message.policy_revision) {
        answer.policy = document.data;
    }
    answer.orders_known = this->parts.policy.are_orders_confirmed();
    if (answer.orders_known) {
        answer.evacuated = this->parts.policy.evacuations().evacuated_names();
    }
    const relayed_registrations known = directory.changes_since(message.targets_revision);
    answer.targets_revision = known.revision;
    answer.targets_age_ms = age_in_ms(known.confirmed_at, now);
    answer.targets_in_full = known.in_full;
    for (const registration_change& change : known.changes) {
        answer.registrations.push_back(encode(change, now));
    }
    return answer;
}

} // namespace knapweedknot
