#include "control/seat_keeper.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration tick = milliseconds(500);
constexpr duration retry_delay = milliseconds(500);
// Spreads the writes of instances that see the same change.
constexpr int max_swap_jitter_ms = 150;
// An instance stops this share of the lease before its end.
constexpr double lease_margin = 0.02;
constexpr int renewals_per_lease = 4;

/// Key of the value that ends with the lease of \p holder.
std::string lease_mark_key(incarnation_id holder) {
    return "knapweedknot/holder/" + std::to_string(holder.value);
}

} // namespace

seat_keeper::seat_keeper(loop& event_loop, store_client& client, config_follower& config,
                         const peer_info& own, const seat_keeper_options& seat_options)
    : owner(event_loop), store(client), follower(config), self(own),
      options(seat_options), known{seat_options.total_seats, {}},
      // An earlier incarnation may have lent the seats that this one inherits.
      may_lend_from(boot_clock::now() + seat_options.loan_end), random(random_nonzero()) {}

void seat_keeper::start() {
    this->renew_lease();
    this->ticking = this->owner.every(tick, [this] { this->act(); });
    this->watch();
}

int seat_keeper::lendable_seats(time_point now) const {
    // A loan made now must end before the lease does.
    const bool lapses = now + this->options.loan_end >= this->lease_until;
    if (!this->lease || lapses || this->leaving || now < this->may_lend_from) {
        return 0;
    }
    return std::max(0, this->confirmed - this->withheld);
}

int seat_keeper::voting_seats(time_point now) const {
    return this->lease && now < this->lease_until ? this->confirmed : 0;
}

void seat_keeper::check_lease(incarnation_id holder) {
    this->store.get(lease_mark_key(holder), [this, holder](const result<store_value>& value) {
        if (value && value->revision == 0) {
            this->note_gone(holder);
        }
    });
}

void seat_keeper::note_gone(incarnation_id holder) {
    if (std::find(this->gone.begin(), this->gone.end(), holder) == this->gone.end()) {
        this->gone.push_back(holder);
    }
}

void seat_keeper::leave(std::function<void()> done) {
    this->leaving = true;
    this->left = std::move(done);
    this->withheld_since = boot_clock::now();
    this->act();
}

void seat_keeper::watch() {
    this->store.watch(seats_key, this->revision, this->options.watch_wait,
                      [this](const result<std::optional<store_value>>& value) {
                          if (!value) {
                              this->retry_watch =
                                  this->owner.after(retry_delay, [this] { this->watch(); });
                              return;
                          }
                          if (value->has_value()) {
                              this->receive(**value);
                          }
                          this->watch();
                      });
    // The first watch of an absent record does not answer, yet this instance must create it.
    if (!this->has_read) {
        this->reread();
    }
}

void seat_keeper::reread() {
    this->store.get(seats_key, [this](const result<store_value>& value) {
        if (value) {
            this->receive(*value);
        }
    });
}

void seat_keeper::receive(const store_value& value) {
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
        this->known = *decoded;
        this->revision = value.revision;
    }
    const int held = this->held_seats();
    this->confirmed = std::min(this->confirmed, held);
    if (held > this->confirmed) {
        // More seats count only with a head record that is as new as they are.
        this->follower.refresh([this, held](const result<void>& outcome) {
            if (outcome) {
                this->confirmed = std::min(held, this->held_seats());
            }
        });
    }
    for (const seat_holder& holder : this->known.holders) {
        if (const auto address = parse_endpoint(holder.peers_address);
            address && this->on_address) {
            this->on_address(*address);
        }
    }
    this->act();
}

int seat_keeper::held_seats() const {
    const seat_holder* holder = find_holder(this->known, this->self.incarnation);
    return holder == nullptr ? 0 : holder->seats;
}

void seat_keeper::lower_lending() {
    const int surplus = surplus_seats(this->known, this->self.incarnation);
    if (surplus > this->withheld) {
        this->withheld = surplus;
        this->withheld_since = boot_clock::now();
    } else if (surplus == 0) {
        this->withheld = 0;
    }
}

seat_plan_input seat_keeper::view(time_point now) const {
    seat_plan_input seen{
        this->self.instance, this->self.incarnation, 0, this->leaving, this->gone, ""};
    seen.peers_address = to_string(this->self.peers_address);
    const bool must_keep = this->must_keep_seats && this->must_keep_seats();
    if (!must_keep && now - this->withheld_since >= this->options.loan_end) {
        seen.releasable = this->withheld;
    }
    return seen;
}

void seat_keeper::act() {
    const time_point now = boot_clock::now();
    if (!this->has_read || this->swapping || !this->lease_marked) {
        if (this->leaving && !this->lease_marked && this->left) {
            std::exchange(this->left, nullptr)();
        }
        return;
    }
    this->lower_lending();
    if (this->leaving && now - this->withheld_since < this->options.loan_end) {
        return;
    }
    const auto planned = plan_seats(this->known, this->view(now));
    if (!planned) {
        if (this->leaving && this->left) {
            std::exchange(this->left, nullptr)();
        }
        return;
    }
    this->swapping = true;
    std::uniform_int_distribution<int> jitter(0, max_swap_jitter_ms);
    this->pending_swap = this->owner.after(milliseconds(jitter(this->random)),
                                           [this, seen = this->revision, planned] {
                                               if (seen != this->revision) {
                                                   this->swapping = false;
                                                   this->act();
                                                   return;
                                               }
                                               this->swap(*planned);
                                           });
}

void seat_keeper::swap(const seat_record& planned) {
    this->store.swap(
        seats_key, encode_seats(planned), this->revision, std::nullopt,
        [this, planned](const result<swap_outcome>& outcome) { this->swapped(planned, outcome); });
}

void seat_keeper::swapped(const seat_record& planned, const result<swap_outcome>& outcome) {
    this->swapping = false;
    if (outcome && outcome->swapped) {
        this->receive({encode_seats(planned), outcome->revision});
        return;
    }
    if (!outcome && this->leaving && this->left) {
        // Without the store the seats stay with this incarnation until their lease ends.
        log_event(log_level::warning, "seats_not_returned", {{"detail", outcome.error().detail}});
        std::exchange(this->left, nullptr)();
        return;
    }
    // Another instance was first, or the answer was lost: the record tells.
    this->reread();
}

void seat_keeper::renew_lease() {
    const auto done = [this, asked = boot_clock::now()](const result<store_lease>& granted) {
        this->lease_granted(granted, asked);
    };
    if (this->lease) {
        this->store.renew_lease(*this->lease, this->options.lease, done);
    } else {
        this->store.grant_lease(this->options.lease, done);
    }
}

void seat_keeper::lease_granted(const result<store_lease>& granted, time_point asked) {
    duration again = this->options.lease / renewals_per_lease;
    if (granted) {
        this->lease = *granted;
        this->lease_until =
            asked + from_seconds(to_seconds(this->options.lease) * (1 - lease_margin));
        if (!this->lease_marked) {
            this->write_lease_mark();
        }
    } else if (granted.error().kind == error_kind::not_found) {
        // Others may have taken the seats since; they count again after the record is read.
        this->lease.reset();
        this->lease_marked = false;
        this->confirmed = 0;
        again = retry_delay;
    } else {
        again = this->lease ? std::min<duration>(again, seconds(5)) : retry_delay;
    }
    this->lease_timer = this->owner.after(again, [this] { this->renew_lease(); });
}

void seat_keeper::write_lease_mark() {
    this->store.swap(lease_mark_key(this->self.incarnation), this->self.instance.value, 0,
                     this->lease, [this](const result<swap_outcome>& outcome) {
                         if (!outcome) {
                             this->lease_timer = this->owner.after(
                                 retry_delay, [this] { this->write_lease_mark(); });
                             return;
                         }
                         // A conflict means that an earlier try took effect.
                         this->lease_marked = true;
                         this->lease_timer =
                             this->owner.after(this->options.lease / renewals_per_lease,
                                               [this] { this->renew_lease(); });
                         this->reread();
                     });
}

} // namespace knapweedknot
