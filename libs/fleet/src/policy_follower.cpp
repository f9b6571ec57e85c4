#include "fleet/policy_follower.h"

#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration retry_delay = milliseconds(200);
// Lets the own watch report a change before the store is asked because of a peer.
constexpr duration peer_hint_delay = milliseconds(250);

} // namespace

policy_follower::policy_follower(loop& event_loop, store_client& client, std::string document_key,
                                 policy_decoder decoder,
                                 const policy_follower_options& follower_options)
    : owner(event_loop), store(client), key(std::move(document_key)), decode(std::move(decoder)),
      options(follower_options) {}

void policy_follower::start() {
    this->ask();
}

bool policy_follower::is_fresh(time_point now) const noexcept {
    return this->proved_at && now - *this->proved_at < this->options.proof_lifetime;
}

std::optional<duration> policy_follower::proof_age(time_point now) const noexcept {
    return this->proved_at ? std::optional(now - *this->proved_at) : std::nullopt;
}

void policy_follower::keep_fresh(time_point now, bool is_busy) {
    const duration interval =
        is_busy ? this->options.proof_interval : this->options.quiet_proof_interval;
    if (!this->asking && (!this->proved_at || now - this->asked_at >= interval)) {
        this->ask();
    }
}

void policy_follower::await_proof(std::function<void()> done) {
    this->waiting.push_back(std::move(done));
    if (!this->asking) {
        this->ask();
    }
}

void policy_follower::note_peer_number(config_number number) {
    if (this->policy != nullptr && number <= this->policy->number()) {
        return;
    }
    if (!this->peer_hint) {
        this->peer_hint = this->owner.after(peer_hint_delay, [this, number] {
            this->peer_hint = timer();
            if (!this->asking && (this->policy == nullptr || this->policy->number() < number)) {
                this->ask();
            }
        });
    }
}

/// Reads the document, which both proves its age and brings a newer one.
void policy_follower::ask() {
    this->asking = true;
    const time_point asked = boot_clock::now();
    this->asked_at = asked;
    this->store.get(this->key, [this, asked](const result<store_value>& value) {
        this->asking = false;
        this->note_call(value.has_value(), value ? "" : value.error().detail);
        if (value) {
            this->receive(*value);
            this->proved_at = asked;
        }
        this->finish_proof();
        if (!value && !this->proved_at) {
            this->retry = this->owner.after(retry_delay, [this] { this->ask(); });
        }
        if (!this->watching && value) {
            this->watch();
        }
    });
}

void policy_follower::finish_proof() {
    const std::vector<std::function<void()>> done = std::exchange(this->waiting, {});
    for (const auto& callback : done) {
        callback();
    }
}

void policy_follower::watch() {
    this->watching = true;
    const std::uint64_t after = this->revision;
    this->store.watch(this->key, after, this->options.watch_wait,
                      [this](const result<std::optional<store_value>>& value) {
                          this->note_call(value.has_value(), value ? "" : value.error().detail);
                          if (!value) {
                              this->watch_again(retry_delay);
                              return;
                          }
                          if (value->has_value()) {
                              this->receive(**value);
                          }
                          this->watch_again(duration::zero());
                      });
}

void policy_follower::watch_again(duration delay) {
    this->retry = this->owner.after(delay, [this] { this->watch(); });
}

void policy_follower::receive(const store_value& value) {
    if (value.revision <= this->revision) {
        return;
    }
    std::vector<std::string> problems;
    auto parts = this->decode(value.data, problems);
    for (const std::string& problem : problems) {
        log_event(log_level::warning, "policy_entry_unreadable",
                  {{"revision", std::to_string(value.revision)}, {"problem", problem}});
    }
    this->revision = value.revision;
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
    const auto age = this->proof_age(boot_clock::now());
    log_event(log_level::info, "policy_adopted",
              {{"number", std::to_string(this->policy->number().value)},
               {"last_proof_age_ms", std::to_string(age ? to_milliseconds(*age) : -1)},
               {"revision", std::to_string(this->revision)},
               {"routes", std::to_string(this->policy->route_count())},
               {"accounts", std::to_string(this->policy->accounts().size())}});
    if (this->on_adopted) {
        this->on_adopted();
    }
}

void policy_follower::note_call(bool answered, std::string_view detail) {
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
