#define BOOST_TEST_MODULE rate_bound
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>
#include <limits>
#include <map>

#include <rapidcheck.h>

#include "decide/lease_table.h"
#include "decide/slot_limiter.h"

using namespace knapweedknot;

/// \file
/// Property: all token buckets and grants together admit at most r*T + b in any window of length T,
/// whatever issuers, brokers and the network do. Issuers disagree on the broker of the slot,
/// heartbeats are lost, delayed and reordered, clocks run at different rates, and grants are spent
/// just before they expire.

namespace {

constexpr int instance_count = 4;
constexpr int total_seats = 8;
constexpr int seats_each = total_seats / instance_count;
constexpr duration time_step = milliseconds(50);
const account_id account{"shop"};

/// A heartbeat in flight. The list of leased slots is reduced to the only slot of the simulation.
struct heartbeat {
    int from;
    int to;
    std::uint32_t sequence;
    bool lists_slot;
    time_point echo;
    time_point sent;
    std::uint32_t acknowledged;
    time_point arrives_at;
};

struct token_grant {
    int holder;
    int tokens;
    time_point expires;
};

struct simulated_instance {
    double clock_rate{1};
    lease_table issued;
    slot_limiter limiter;
    int chosen_broker{0};
    std::uint32_t sequence{0};
    std::map<int, std::uint32_t> processed;
    std::map<int, time_point> last_received_stamp;
};

/// Draws from rapidcheck, so that it can shrink a failing case.
int draw(int low, int high) {
    return *rc::gen::inRange(low, high + 1);
}

class simulation {
public:
    /// \param await_lease_expiry false disables the rule under test, to show that the simulation
    ///        detects its absence
    explicit simulation(const rate_limit& account_limit, bool await_lease_expiry = true)
        : limit(account_limit), await_expiry(await_lease_expiry) {
        for (int i = 0; i < instance_count; ++i) {
            simulated_instance& one = this->instances.emplace_back();
            one.clock_rate = 1 + 0.0049 * (i % 2 == 0 ? 1 : -1);
            one.issued.slots.resize(1);
            one.limiter.total_seats = total_seats;
            one.limiter.share_changed_at = this->local_time(one);
        }
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            this->now += time_step;
            this->deliver();
            simulated_instance& active =
                this->instances[static_cast<std::size_t>(draw(0, instance_count - 1))];
            this->choose_broker(active);
            this->send_heartbeats(active);
            this->admit();
        }
    }

    /// Largest number of requests over the bound in any window.
    [[nodiscard]] double max_excess() const {
        // Maximum over all i <= j of (j - i + 1) - r * (t_j - t_i) - b, by a running minimum.
        double worst = -std::numeric_limits<double>::infinity();
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t j = 0; j < this->admitted.size(); ++j) {
            const double at = to_seconds(this->admitted[j].time_since_epoch());
            const double count = static_cast<double>(j);
            least = std::min(least, count - this->limit.rate_per_s * at);
            worst = std::max(worst,
                             count + 1 - this->limit.rate_per_s * at - least - this->limit.burst);
        }
        return worst;
    }

    [[nodiscard]] std::size_t count() const { return this->admitted.size(); }

private:
    [[nodiscard]] time_point local_time(const simulated_instance& one) const {
        return time_point(from_seconds(to_seconds(this->now.time_since_epoch()) * one.clock_rate));
    }
    [[nodiscard]] static incarnation_id id_of(int index) {
        return incarnation_id{static_cast<std::uint64_t>(index + 1)};
    }
    [[nodiscard]] int index_of(const simulated_instance& one) const {
        return static_cast<int>(&one - this->instances.data());
    }

    /// Mostly all instances choose the same broker; occasionally they differ.
    void choose_broker(simulated_instance& one) {
        if (draw(0, 39) == 0) {
            this->common_broker = draw(0, instance_count - 1);
        }
        one.chosen_broker = draw(0, 39) == 0 ? draw(0, instance_count - 1) : this->common_broker;
        if (!this->await_expiry) {
            for (int other = 0; other < instance_count; ++other) {
                release_leases(one.issued, id_of(other), this->local_time(one));
            }
        }
    }

    void send_heartbeats(simulated_instance& from) {
        const int self = this->index_of(from);
        for (int to = 0; to < instance_count; ++to) {
            ++from.sequence;
            const auto listed = issue_leases(from.issued, id_of(to), {id_of(from.chosen_broker)},
                                             from.sequence, this->times, this->local_time(from));
            if (to == self) {
                const time_point until = this->local_time(from) + this->times.length;
                set_lease(from.limiter, id_of(self), {listed.empty() ? 0 : seats_each, until},
                          this->local_time(from));
                record_acknowledgement(from.issued, id_of(self), from.sequence,
                                       this->local_time(from));
                continue;
            }
            const bool lost = draw(0, 7) == 0;
            if (!lost) {
                this->in_flight.push_back(
                    {self, to, from.sequence, !listed.empty(), from.last_received_stamp[to],
                     this->local_time(from), from.processed[to],
                     this->now + time_step * (draw(0, 3) == 0 ? draw(0, 20) : 0)});
            }
        }
    }

    void deliver() {
        const auto due = [this](const heartbeat& message) {
            return message.arrives_at <= this->now;
        };
        for (const heartbeat& message : this->in_flight) {
            if (due(message)) {
                this->receive(message);
            }
        }
        std::erase_if(this->in_flight, due);
    }

    void receive(const heartbeat& message) {
        simulated_instance& to = this->instances[static_cast<std::size_t>(message.to)];
        record_acknowledgement(to.issued, id_of(message.from), message.acknowledged,
                               this->local_time(to));
        if (message.sequence <= to.processed[message.from]) {
            return;
        }
        to.processed[message.from] = message.sequence;
        to.last_received_stamp[message.from] = message.sent;
        const time_point until = message.echo + this->times.length;
        set_lease(to.limiter, id_of(message.from), {message.lists_slot ? seats_each : 0, until},
                  this->local_time(to));
    }

    void admit() {
        for (simulated_instance& one : this->instances) {
            const time_point at = this->local_time(one);
            if (draw(0, 3) == 0) {
                const duration lifetime = milliseconds(400);
                const int tokens = grant_tokens(one.limiter, account, this->limit, id_of(99),
                                                draw(1, 20), at, at + lifetime);
                // The clock of the holder may run slower than the broker's by the drift.
                const duration spendable = from_seconds(to_seconds(lifetime) * 0.99);
                this->grants.push_back({0, tokens, this->now + spendable});
            }
            while (draw(0, 4) != 0 && take_token(one.limiter, account, this->limit, at)) {
                this->admitted.push_back(this->now);
            }
        }
        for (token_grant& grant : this->grants) {
            const bool last_moment = grant.expires - this->now <= time_step;
            while (grant.tokens > 0 && grant.expires > this->now &&
                   (last_moment || draw(0, 9) == 0)) {
                --grant.tokens;
                this->admitted.push_back(this->now);
            }
        }
        std::erase_if(this->grants, [this](const token_grant& grant) {
            return grant.tokens == 0 || grant.expires <= this->now;
        });
    }

    rate_limit limit;
    bool await_expiry;
    int common_broker{0};
    lease_times times{milliseconds(1000), 0.01};
    time_point now{seconds(1000)};
    std::vector<simulated_instance> instances;
    std::vector<heartbeat> in_flight;
    std::vector<token_grant> grants;
    std::vector<time_point> admitted;
};

} // namespace

namespace {

constexpr int simulation_steps = 400;

/// Runs one simulation with a drawn limit. Returns the number of requests over the bound.
double excess_of_simulation(bool await_lease_expiry, std::size_t& admitted) {
    const rate_limit limit{static_cast<double>(draw(1, 40)), static_cast<double>(draw(2, 30))};
    simulation run(limit, await_lease_expiry);
    run.run(simulation_steps);
    admitted += run.count();
    // A clock that runs fast by the drift refills faster by the same fraction.
    const double clock_allowance =
        0.0049 * limit.rate_per_s * simulation_steps * to_seconds(time_step) + 1e-6;
    return run.max_excess() - clock_allowance;
}

} // namespace

BOOST_AUTO_TEST_CASE(admissions_never_exceed_rate_and_burst_in_any_window) {
    std::size_t admitted = 0;
    const bool holds =
        rc::check("bound", [&] { RC_ASSERT(excess_of_simulation(true, admitted) <= 0); });
    BOOST_TEST(holds);
    std::cout << "admitted in all simulations: " << admitted << '\n';
    BOOST_TEST(admitted > 10'000U);
}

BOOST_AUTO_TEST_CASE(the_simulation_detects_an_issuer_that_does_not_await_expiry) {
    std::size_t admitted = 0;
    double worst = -1;
    rc::check("bound without the wait",
              [&] { worst = std::max(worst, excess_of_simulation(false, admitted)); });
    std::cout << "over the bound without waiting for lease expiry: " << worst << '\n';
    BOOST_TEST(worst > 0);
}
