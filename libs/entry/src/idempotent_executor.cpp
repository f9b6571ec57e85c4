#include "entry/idempotent_executor.h"

#include <utility>

#include "base/digest.h"

namespace knapweedknot {

namespace {

constexpr std::size_t secret_bytes = 32;
constexpr duration expiry_interval = seconds(1);
// Bound on the bodies of recorded responses. A response that would exceed it is not recorded, and
// retries of its request get outcome_unknown.
constexpr std::size_t max_cached_bytes = std::size_t{32} * 1024 * 1024;

service_response copy_of(const service_response& original) {
    service_response copy;
    copy.target = original.target;
    copy.response_time = original.response_time;
    copy.message.status = original.message.status;
    copy.message.headers = original.message.headers;
    append_copy(copy.message.body.get(), original.message.body.get());
    return copy;
}

tl::unexpected<error> unknown_outcome() {
    return fail(error_kind::outcome_unknown,
                "the request may have run before, and its answer is not known");
}

} // namespace

idempotent_executor::idempotent_executor(loop& owner, incarnation_id own)
    : issuer(own), secret(random_hex(secret_bytes)), started(boot_clock::now()),
      expiry_timer(owner.every(expiry_interval, [this] {
          this->table.expire(boot_clock::now(), [this](const std::string& key) {
              const auto found = this->outcomes.find(key);
              if (found != this->outcomes.end()) {
                  if (found->second.response != nullptr) {
                      this->cached_bytes -= body_size(found->second.response->message.body.get());
                  }
                  this->outcomes.erase(found);
              }
          });
      })) {}

std::uint64_t idempotent_executor::now_ms() const {
    return static_cast<std::uint64_t>(to_milliseconds(boot_clock::now() - this->started));
}

std::string idempotent_executor::issue_prefix(const account_id& account) const {
    return make_idempotency_prefix(this->secret, this->issuer, this->now_ms(), account);
}

void idempotent_executor::run(const std::string& presented, const account_id& account,
                              std::uint64_t fingerprint, const starter& start, handler done) {
    const auto key = parse_idempotency_key(presented);
    if (!key) {
        done(fail(error_kind::idempotency_key_invalid, "use PREFIX.UNIQUE"));
        return;
    }
    if (const auto checked = check_idempotency_key(*key, this->secret, account, this->now_ms());
        !checked) {
        done(tl::unexpected(checked.error()));
        return;
    }
    const time_point forget_at =
        this->started + milliseconds(key->issued_ms) + idempotency_prefix_lifetime;
    switch (this->table.begin(presented, fingerprint, forget_at)) {
    case idempotency_key_state::first:
        this->outcomes[presented].waiting_handlers.push_back(std::move(done));
        start([this, presented](result<service_response> outcome) {
            this->record_outcome(presented, std::move(outcome));
        });
        return;
    case idempotency_key_state::running:
        this->outcomes[presented].waiting_handlers.push_back(std::move(done));
        return;
    case idempotency_key_state::done:
        if (const auto found = this->outcomes.find(presented); found->second.response != nullptr) {
            done(copy_of(*found->second.response));
            return;
        }
        done(unknown_outcome());
        return;
    case idempotency_key_state::outcome_unknown:
        done(unknown_outcome());
        return;
    case idempotency_key_state::reused:
        done(fail(error_kind::idempotency_key_reused, "the key was used for another request"));
        return;
    }
}

void idempotent_executor::record_outcome(const std::string& key, result<service_response> outcome) {
    outcome_record& record = this->outcomes.at(key);
    const std::vector<handler> waiting_handlers = std::move(record.waiting_handlers);
    record.waiting_handlers.clear();
    if (outcome) {
        this->table.finish(key);
        const std::size_t size = body_size(outcome->message.body.get());
        if (this->cached_bytes + size <= max_cached_bytes) {
            this->cached_bytes += size;
            record.response = std::make_unique<service_response>(copy_of(*outcome));
        }
    } else if (answer_for(outcome.error().kind).outcome == execution::not_run) {
        this->table.release(key);
        this->outcomes.erase(key);
    } else {
        this->table.mark_outcome_unknown(key);
    }
    for (const handler& done : waiting_handlers) {
        if (outcome) {
            done(copy_of(*outcome));
        } else {
            done(tl::unexpected(outcome.error()));
        }
    }
}

} // namespace knapweedknot
