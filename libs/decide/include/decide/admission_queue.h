#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/departure_meter.h"

/// \file
/// Requests of one service that wait for a free target at one instance: which of them wait, which
/// are refused, and in which order they are sent.

namespace knapweedknot {

/// Parameters of a queue.
struct admission_policy {
    departure_policy departures;
    /// A class is standing when, for the length of a latency target, none of its requests has left
    /// within this share of that target. Requests that would wait for longer than the share are
    /// then refused until the class has been empty for longer than the share: a standing queue
    /// delays all requests and serves no more of them.
    double standing_wait_share{0.125};
    /// Each of this many departures goes to the class, and in it to the account, that had none for
    /// longest, so that none starves.
    std::uint64_t guaranteed_turn_interval{10};
    /// Bounds of the retry delay, before it is spread.
    duration min_retry_after{milliseconds(300)};
    duration max_retry_after{milliseconds(2000)};
    /// Retry delays are longer by up to this share.
    double retry_spread{0.5};
};

/// A request that has to wait, or may have to.
struct queued_request {
    /// Grows with each request of the instance.
    std::uint64_t id{0};
    account_id account;
    /// Priority class; 0 is the highest.
    int priority{0};
    duration latency_target{seconds(1)};
    /// Latest time to send it with which the response usually meets the latency target.
    time_point latest_in_time;
    /// The same for the deadline; later, the request is of no use.
    time_point latest_start;
    /// True if an attempt may have run it. It cannot be refused as not run.
    bool is_retry{false};
};

/// What became of a request that was offered to the targets.
enum class offer_result : std::uint8_t {
    sent,
    /// It ended otherwise.
    ended,
    /// No target is free that this request may be sent to; one may be free for others.
    no_target_for_it,
    /// No target is free for any request.
    no_target,
};

/// Queues by priority class, with fair queuing between accounts. Within a class, requests that can
/// no longer meet their latency target go behind all others, the newest of them first. Not thread
/// safe.
class admission_queue {
public:
    explicit admission_queue(const admission_policy& policy = {}) : policy(policy) {}

    /// Sets the departure rate to be expected while there is no measurement.
    /// \pre per_s is greater than zero
    void set_expected_rate(double per_s) { this->expected_rate = per_s; }
    /// While paused, as no request may be sent at all, departures are not measured.
    void set_paused(bool paused, time_point now);

    /// Whether \p request, which is not in the queue, should wait: if no waiting request could use
    /// any target and it is still in time after \p pause; else if its expected wait meets the
    /// latency target, and is short where the class is standing; a late one only if none in time
    /// waits in its class and twice the longest wait meets its deadline; a retry if the longest
    /// wait meets its deadline. \param pause time for which no target accepts requests
    [[nodiscard]] bool may_wait(const queued_request& request, duration pause, time_point now);
    /// Time after which there is room for a refused request of the class \p priority. Each call
    /// counts as one refused request, and later ones are given later times.
    /// \param jitter random number from 0 to 1
    [[nodiscard]] duration retry_after(int priority, double jitter, time_point now);

    /// \pre no request of this id is in the queue
    void push(const queued_request& request, time_point now);
    /// Returns whether the request was in the queue.
    bool remove(std::uint64_t id, time_point now);
    /// Offers the requests in their order, until no target is free. Those that are not sent and
    /// have not ended stay in the queue. \p send must not change the queue.
    void offer(const std::function<offer_result(std::uint64_t)>& send, time_point now);
    /// Removes the requests that will not be sent before their deadline.
    [[nodiscard]] std::vector<std::uint64_t> take_hopeless(time_point now);
    /// Removes all requests.
    [[nodiscard]] std::vector<std::uint64_t> take_all(time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

private:
    struct waiting_request {
        queued_request request;
        time_point queued_at;
        /// True when no target was free for it in the present round of offers.
        bool set_aside{false};
        /// True when no target was free for it at its last offer although one may be for others.
        bool passed_over{false};
    };
    struct account_queue {
        /// In the order of their arrival.
        std::deque<waiting_request> requests;
        std::uint64_t last_turn{0};
    };
    struct class_queue {
        std::map<account_id, account_queue> accounts;
        std::uint64_t last_turn{0};
        /// Departures of this class, and of this and all higher ones.
        departure_meter own;
        departure_meter with_higher;
        /// When a request last left after a short wait, or began to wait with no other before it.
        time_point last_short_wait;
        /// When the queue was last seen with waiting requests.
        time_point last_waiting;
        bool is_standing{false};
        /// Time at which those refused so far will have returned and been sent.
        time_point next_return;
    };
    /// How fast the requests of a class are sent.
    struct class_outlook {
        double own_rate{1};
        /// Of this class and all higher ones.
        double joint_rate{1};
        /// Number of waiting requests of higher classes.
        std::size_t higher{0};
    };
    /// A place in the queue.
    struct position {
        class_queue* in_class{nullptr};
        account_queue* in_account{nullptr};
        std::deque<waiting_request>::iterator place;
    };
    class_queue& class_of(int priority);
    /// Whether all waiting requests were passed over.
    [[nodiscard]] bool holds_up_nobody() const;
    [[nodiscard]] duration short_wait_of(const queued_request& request) const;
    void start_waiting(class_queue& own, const queued_request& request, time_point now);
    static void detect_standing(class_queue& own, const queued_request& request, time_point now);
    [[nodiscard]] std::size_t size_of_higher(int priority) const;
    [[nodiscard]] class_outlook outlook_of(int priority, time_point now);
    /// Time until a request of a class is sent that has \p ahead others of it before it.
    [[nodiscard]] static duration wait_behind(const class_outlook& outlook, std::size_t ahead);
    [[nodiscard]] position next_position(time_point now);
    [[nodiscard]] class_queue* next_class(bool guaranteed);
    void record_sent(const position& at, time_point now);
    void erase(const position& at);
    void end_round();
    void update_meters(time_point now);
    [[nodiscard]] std::vector<std::uint64_t> hopeless_ids(int priority, const class_queue& from,
                                                          time_point now);

    admission_policy policy;
    double expected_rate{1};
    bool is_paused{false};
    std::map<int, class_queue> classes;
    std::size_t count{0};
    std::uint64_t last_turn{0};
    std::uint64_t departures{0};
};

} // namespace knapweedknot
