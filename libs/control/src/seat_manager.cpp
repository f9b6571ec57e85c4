#include "control/seat_manager.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration reconcile_interval = milliseconds(500);
constexpr duration retry_delay = milliseconds(500);
// Random delay that keeps instances from writing all at once after the same change.
constexpr int max_write_jitter_ms = 150;
// Fraction of the store lease by which this instance treats it as expired early.
constexpr double lease_safety_margin = 0.02;
constexpr int renewals_per_lease = 4;

/// Key of the value that is tied to the store lease of \p holder and disappears with it.
std::string holder_key(incarnation_id holder) {
    return "knapweedknot/holder/" + std::to_string(holder.value);
}

} // namespace

seat_manager::seat_manager(loop& event_loop, store_client& client, config_follower& config,
                           const peer_info& own, const seat_manager_options& seat_options)
    : owner(event_loop), store(client), follower(config), self(own),
      options(seat_options), current{seat_options.total_seats, {}},
      // Quota leases that an earlier incarnation issued on these seats may still be in force.
      leasing_starts(boot_clock::now() + seat_options.quota_lease_timeout),
      random_engine(random_nonzero()) {}

void seat_manager::start() {
    this->renew_lease();
    this->reconcile_timer = this->owner.every(reconcile_interval, [this] { this->reconcile(); });
    this->watch();
}

int seat_manager::leasable_seats(time_point now) const {
    // A quota lease issued now must expire before the store lease does.
    const bool expires_first = now + this->options.quota_lease_timeout >= this->lease_expires;
    if (!this->held_lease || expires_first || this->leaving || now < this->leasing_starts) {
        return 0;
    }
    return std::max(0, this->confirmed_seats - this->withheld_seats);
}

int seat_manager::voting_seats(time_point now) const {
    return this->held_lease && now < this->lease_expires ? this->confirmed_seats : 0;
}

void seat_manager::check_lease(incarnation_id holder) {
    this->store.get(holder_key(holder), [this, holder](const result<store_value>& value) {
        if (value && value->revision == 0) {
            this->mark_terminated(holder);
        }
    });
}

void seat_manager::mark_terminated(incarnation_id holder) {
    if (std::find(this->terminated.begin(), this->terminated.end(), holder) ==
        this->terminated.end()) {
        this->terminated.push_back(holder);
    }
}

void seat_manager::leave(std::function<void()> done) {
    this->leaving = true;
    this->on_left = std::move(done);
    this->withheld_since = boot_clock::now();
    this->reconcile();
}

void seat_manager::watch() {
    this->store.watch(seats_key, this->revision, this->options.watch_wait,
                      [this](const result<std::optional<store_value>>& value) {
                          if (!value) {
                              this->watch_timer =
                                  this->owner.after(retry_delay, [this] { this->watch(); });
                              return;
                          }
                          if (value->has_value()) {
                              this->receive(**value);
                          }
                          this->watch();
                      });
    // A watch of an absent record does not answer, but this instance may have to create it.
    if (!this->has_read) {
        this->read_record();
    }
}

void seat_manager::read_record() {
    this->store.get(seats_key, [this](const result<store_value>& value) {
        if (value) {
            this->receive(*value);
        }
    });
}

void seat_manager::receive(const store_value& value) {
    this->has_read = true;
    if (value.revision < this->revision) {
        return;
    }
    if (value.revision != 0) {
        const auto decoded = decode_seats(value.data);
        if (!decoded) {
            log_event(log_level::error, "seat_record_malformed", {});
            return;
        }
        this->current = *decoded;
        this->revision = value.revision;
    }
    const int held = this->held_seats();
    this->confirmed_seats = std::min(this->confirmed_seats, held);
    if (held > this->confirmed_seats) {
        // Additional seats count only after a read of the head record that is newer than they are.
        this->follower.refresh([this, held](const result<void>& outcome) {
            if (outcome) {
                this->confirmed_seats = std::min(held, this->held_seats());
            }
        });
    }
    for (const seat_holder& holder : this->current.holders) {
        if (const auto address = parse_endpoint(holder.peers_address);
            address && this->on_peer_address) {
            this->on_peer_address(*address);
        }
    }
    this->reconcile();
}

int seat_manager::held_seats() const {
    const seat_holder* holder = find_holder(this->current, this->self.incarnation);
    return holder == nullptr ? 0 : holder->seats;
}

void seat_manager::withhold_surplus() {
    const int surplus = surplus_seats(this->current, this->self.incarnation);
    if (surplus > this->withheld_seats) {
        this->withheld_seats = surplus;
        this->withheld_since = boot_clock::now();
    } else if (surplus == 0) {
        this->withheld_seats = 0;
    }
}

seat_plan_input seat_manager::view(time_point now) const {
    seat_plan_input seen{this->self.instance, this->self.incarnation, 0,
                         this->leaving,       this->terminated,       ""};
    seen.peers_address = to_string(this->self.peers_address);
    const bool must_keep = this->must_keep_seats && this->must_keep_seats();
    if (!must_keep && now - this->withheld_since >= this->options.quota_lease_timeout) {
        seen.releasable = this->withheld_seats;
    }
    return seen;
}

void seat_manager::reconcile() {
    const time_point now = boot_clock::now();
    if (!this->has_read || this->is_writing || !this->is_holder_key_written) {
        if (this->leaving && !this->is_holder_key_written && this->on_left) {
            std::exchange(this->on_left, nullptr)();
        }
        return;
    }
    this->withhold_surplus();
    if (this->leaving && now - this->withheld_since < this->options.quota_lease_timeout) {
        return;
    }
    const auto planned = plan_seats(this->current, this->view(now));
    if (!planned) {
        if (this->leaving && this->on_left) {
            std::exchange(this->on_left, nullptr)();
        }
        return;
    }
    this->is_writing = true;
    std::uniform_int_distribution<int> jitter(0, max_write_jitter_ms);
    this->write_timer = this->owner.after(milliseconds(jitter(this->random_engine)),
                                          [this, planned_revision = this->revision, planned] {
                                              if (planned_revision != this->revision) {
                                                  this->is_writing = false;
                                                  this->reconcile();
                                                  return;
                                              }
                                              this->write_record(*planned);
                                          });
}

void seat_manager::write_record(const seat_record& planned) {
    this->store.compare_and_swap(seats_key, encode_seats(planned), this->revision, std::nullopt,
                                 [this, planned](const result<write_result>& outcome) {
                                     this->handle_write(planned, outcome);
                                 });
}

void seat_manager::handle_write(const seat_record& planned, const result<write_result>& outcome) {
    this->is_writing = false;
    if (outcome && outcome->applied) {
        this->receive({encode_seats(planned), outcome->revision});
        return;
    }
    if (!outcome && this->leaving && this->on_left) {
        // Without an answer the seats stay assigned to this incarnation until its store lease
        // expires.
        log_event(log_level::warning, "seats_not_returned", {{"detail", outcome.error().detail}});
        std::exchange(this->on_left, nullptr)();
        return;
    }
    // Another instance wrote first, or the answer was lost: reading the record resolves both.
    this->read_record();
}

void seat_manager::renew_lease() {
    const auto done = [this, requested_at = boot_clock::now()](const result<store_lease>& granted) {
        this->handle_lease(granted, requested_at);
    };
    if (this->held_lease) {
        this->store.renew_lease(*this->held_lease, this->options.store_lease_ttl, done);
    } else {
        this->store.grant_lease(this->options.store_lease_ttl, done);
    }
}

void seat_manager::handle_lease(const result<store_lease>& granted, time_point requested_at) {
    duration delay = this->options.store_lease_ttl / renewals_per_lease;
    if (granted) {
        this->held_lease = *granted;
        this->lease_expires =
            requested_at +
            from_seconds(to_seconds(this->options.store_lease_ttl) * (1 - lease_safety_margin));
        if (!this->is_holder_key_written) {
            this->write_holder_key();
        }
    } else if (granted.error().kind == error_kind::not_found) {
        // The store lease has expired, so others may have taken the seats. They count again after
        // the record was read.
        this->held_lease.reset();
        this->is_holder_key_written = false;
        this->confirmed_seats = 0;
        delay = retry_delay;
    } else {
        delay = this->held_lease ? std::min<duration>(delay, seconds(5)) : retry_delay;
    }
    this->lease_timer = this->owner.after(delay, [this] { this->renew_lease(); });
}

void seat_manager::write_holder_key() {
    this->store.compare_and_swap(holder_key(this->self.incarnation), this->self.instance.value, 0,
                                 this->held_lease, [this](const result<write_result>& outcome) {
                                     if (!outcome) {
                                         this->lease_timer = this->owner.after(
                                             retry_delay, [this] { this->write_holder_key(); });
                                         return;
                                     }
                                     // On a conflict an earlier attempt took effect.
                                     this->is_holder_key_written = true;
                                     this->lease_timer = this->owner.after(
                                         this->options.store_lease_ttl / renewals_per_lease,
                                         [this] { this->renew_lease(); });
                                     this->read_record();
                                 });
}

} // namespace knapweedknot
