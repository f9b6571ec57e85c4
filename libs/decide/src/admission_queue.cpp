#include "decide/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace knapweedknot {

namespace {

// Requests of one round of offers that may have no target while others have one. More are not
// tried, as each look-up of a target costs processor time.
constexpr std::size_t max_set_aside = 64;
// Departure rates vary: late requests begin to wait only where they could wait for this many times
// as long, and waiting ones in time are not given up before the rate is this many times too low.
constexpr double wait_margin = 2;

bool is_in_time(const queued_request& request, time_point now) {
    return now <= request.latest_in_time;
}

template <typename Waiting>
std::size_t count_in_time(const Waiting& requests, time_point now) {
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [now](const auto& item) { return is_in_time(item.request, now); }));
}

/// Numbers of the requests in time of each account of a class.
template <typename Accounts>
std::map<account_id, std::size_t> count_in_time_by_account(const Accounts& accounts,
                                                           time_point now) {
    std::map<account_id, std::size_t> counts;
    for (const auto& [account, queue] : accounts) {
        counts[account] = count_in_time(queue.requests, now);
    }
    return counts;
}

std::size_t sum(const std::map<account_id, std::size_t>& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0},
                           [](std::size_t total, const auto& item) { return total + item.second; });
}

/// Number of requests that leave before the one that has \p own_ahead of its account ahead, by
/// turns between the accounts.
std::size_t ahead_by_turns(const std::map<account_id, std::size_t>& counts,
                           const account_id& account, std::size_t own_ahead) {
    std::size_t ahead = own_ahead;
    for (const auto& [other, number] : counts) {
        ahead += other == account ? 0 : std::min(number, own_ahead + 1);
    }
    return ahead;
}

template <typename Accounts>
std::size_t count_all(const Accounts& accounts) {
    return std::accumulate(
        accounts.begin(), accounts.end(), std::size_t{0},
        [](std::size_t total, const auto& item) { return total + item.second.requests.size(); });
}

template <typename Account>
bool has_offerable(const Account& account) {
    return std::any_of(account.requests.begin(), account.requests.end(),
                       [](const auto& item) { return !item.set_aside; });
}

template <typename Account>
bool has_offerable_in_time(const Account& account, time_point now) {
    return std::any_of(account.requests.begin(), account.requests.end(), [now](const auto& item) {
        return !item.set_aside && is_in_time(item.request, now);
    });
}

/// The account with requests to offer that had no turn for longest. Those with requests in time go
/// before the others unless \p guaranteed.
template <typename Accounts>
auto next_account(Accounts& accounts, bool guaranteed, time_point now) {
    auto best = accounts.end();
    bool best_in_time = false;
    for (auto item = accounts.begin(); item != accounts.end(); ++item) {
        if (!has_offerable(item->second)) {
            continue;
        }
        const bool in_time = !guaranteed && has_offerable_in_time(item->second, now);
        const bool is_better =
            best == accounts.end() || (in_time && !best_in_time) ||
            (in_time == best_in_time && item->second.last_turn < best->second.last_turn);
        if (is_better) {
            best = item;
            best_in_time = in_time;
        }
    }
    return best;
}

/// The oldest request in time, or else the newest one.
template <typename Requests>
auto next_request(Requests& requests, time_point now) {
    auto newest = requests.end();
    for (auto item = requests.begin(); item != requests.end(); ++item) {
        if (item->set_aside) {
            continue;
        }
        if (is_in_time(item->request, now)) {
            return item;
        }
        newest = item;
    }
    return newest;
}

} // namespace

admission_queue::class_queue& admission_queue::class_of(int priority) {
    const auto [place, is_new] = this->classes.try_emplace(priority);
    if (is_new && place != this->classes.begin()) {
        place->second.with_higher = std::prev(place)->second.with_higher;
    }
    return place->second;
}

void admission_queue::set_paused(bool paused, time_point now) {
    this->is_paused = paused;
    this->update_meters(now);
}

duration admission_queue::short_wait_of(const queued_request& request) const {
    return from_seconds(to_seconds(request.latency_target) * this->policy.standing_wait_share);
}

/// To be called before the first request is pushed to an empty class.
void admission_queue::start_waiting(class_queue& own, const queued_request& request,
                                    time_point now) {
    own.last_turn = ++this->last_turn;
    own.last_short_wait = now;
    // An overloaded queue that is kept short is often empty for a moment.
    if (now - own.last_waiting > this->short_wait_of(request)) {
        own.is_standing = false;
    }
}

void admission_queue::detect_standing(class_queue& own, const queued_request& request,
                                      time_point now) {
    if (!own.accounts.empty() && now - own.last_short_wait > request.latency_target) {
        own.is_standing = true;
    }
}

std::size_t admission_queue::size_of_higher(int priority) const {
    std::size_t total = 0;
    for (auto item = this->classes.begin(); item != this->classes.lower_bound(priority); ++item) {
        total += count_all(item->second.accounts);
    }
    return total;
}

admission_queue::class_outlook admission_queue::outlook_of(int priority, time_point now) {
    const class_queue& own = this->class_of(priority);
    const departure_policy& measured = this->policy.departures;
    return {departure_rate(own.own, this->expected_rate, measured, now),
            departure_rate(own.with_higher, this->expected_rate, measured, now),
            this->size_of_higher(priority)};
}

duration admission_queue::wait_behind(const class_outlook& outlook, std::size_t ahead) {
    return from_seconds(
        std::max(static_cast<double>(ahead + 1) / outlook.own_rate,
                 static_cast<double>(outlook.higher + ahead + 1) / outlook.joint_rate));
}

bool admission_queue::may_wait(const queued_request& request, duration pause, time_point now) {
    class_queue& own = this->class_of(request.priority);
    detect_standing(own, request, now);
    const class_outlook outlook = this->outlook_of(request.priority, now);
    const duration longest_wait = wait_behind(outlook, count_all(own.accounts));
    if (request.is_retry) {
        return now + pause + longest_wait <= request.latest_start;
    }
    auto in_time = count_in_time_by_account(own.accounts, now);
    const std::size_t ahead = ahead_by_turns(in_time, request.account, in_time[request.account]);
    const duration wait = pause + wait_behind(outlook, ahead);
    const bool is_first = sum(in_time) == 0;
    // Without a queue, nothing but this moment shows a lack of capacity. Requests that only some
    // targets may get say nothing of the others.
    if (this->holds_up_nobody() && now + pause <= request.latest_in_time) {
        return true;
    }
    if (now + wait <= request.latest_in_time) {
        return is_first || !own.is_standing || wait <= this->short_wait_of(request);
    }
    const duration careful_wait = from_seconds(to_seconds(longest_wait) * wait_margin);
    return is_first && now + pause + careful_wait <= request.latest_start;
}

bool admission_queue::holds_up_nobody() const {
    return std::all_of(this->classes.begin(), this->classes.end(), [](const auto& item) {
        return std::all_of(
            item.second.accounts.begin(), item.second.accounts.end(), [](const auto& account) {
                return std::all_of(account.second.requests.begin(), account.second.requests.end(),
                                   [](const auto& waiting) { return waiting.passed_over; });
            });
    });
}

duration admission_queue::retry_after(int priority, double jitter, time_point now) {
    class_queue& own = this->class_of(priority);
    const class_outlook outlook = this->outlook_of(priority, now);
    const time_point room_at = now + wait_behind(outlook, count_all(own.accounts));
    own.next_return = std::max(own.next_return, room_at) + from_seconds(1 / outlook.own_rate);
    own.next_return = std::min<time_point>(own.next_return, now + this->policy.max_retry_after);
    const duration shortest =
        std::max<duration>(this->policy.min_retry_after, own.next_return - now);
    return from_seconds(to_seconds(shortest) * (1 + this->policy.retry_spread * jitter));
}

void admission_queue::push(const queued_request& request, time_point now) {
    class_queue& own = this->class_of(request.priority);
    if (own.accounts.empty()) {
        this->start_waiting(own, request, now);
    }
    const auto [place, is_new] = own.accounts.try_emplace(request.account);
    if (is_new) {
        place->second.last_turn = ++this->last_turn;
    }
    std::deque<waiting_request>& requests = place->second.requests;
    const auto after = std::upper_bound(
        requests.begin(), requests.end(), request.id,
        [](std::uint64_t id, const waiting_request& item) { return id < item.request.id; });
    requests.insert(after, {request, now});
    ++this->count;
    this->update_meters(now);
}

bool admission_queue::remove(std::uint64_t id, time_point now) {
    for (auto& [priority, own] : this->classes) {
        for (auto& [account, queue] : own.accounts) {
            const auto found =
                std::find_if(queue.requests.begin(), queue.requests.end(),
                             [id](const auto& item) { return item.request.id == id; });
            if (found != queue.requests.end()) {
                this->erase({&own, &queue, found});
                this->update_meters(now);
                return true;
            }
        }
    }
    return false;
}

void admission_queue::offer(const std::function<offer_result(std::uint64_t)>& send,
                            time_point now) {
    std::size_t set_aside = 0;
    bool is_target_free = true;
    while (is_target_free && set_aside < max_set_aside) {
        const position at = this->next_position(now);
        if (at.in_class == nullptr) {
            break;
        }
        const offer_result result = send(at.place->request.id);
        switch (result) {
        case offer_result::sent:
            this->record_sent(at, now);
            this->erase(at);
            break;
        case offer_result::ended:
            this->erase(at);
            break;
        case offer_result::no_target_for_it:
            at.place->set_aside = true;
            at.place->passed_over = true;
            ++set_aside;
            break;
        case offer_result::no_target:
            is_target_free = false;
            break;
        }
    }
    if (set_aside > 0) {
        this->end_round();
    }
    this->update_meters(now);
}

void admission_queue::end_round() {
    for (auto& [priority, own] : this->classes) {
        for (auto& [account, queue] : own.accounts) {
            for (waiting_request& waiting : queue.requests) {
                waiting.set_aside = false;
            }
        }
    }
}

admission_queue::class_queue* admission_queue::next_class(bool guaranteed) {
    class_queue* best = nullptr;
    for (auto& [priority, own] : this->classes) {
        const bool has_any =
            std::any_of(own.accounts.begin(), own.accounts.end(),
                        [](const auto& item) { return has_offerable(item.second); });
        if (has_any && (best == nullptr || (guaranteed && own.last_turn < best->last_turn))) {
            best = &own;
        }
    }
    return best;
}

admission_queue::position admission_queue::next_position(time_point now) {
    const bool guaranteed = this->departures % this->policy.guaranteed_turn_interval ==
                            this->policy.guaranteed_turn_interval - 1;
    class_queue* const from = this->next_class(guaranteed);
    if (from == nullptr) {
        return {};
    }
    account_queue& account = next_account(from->accounts, guaranteed, now)->second;
    return {from, &account, next_request(account.requests, now)};
}

void admission_queue::record_sent(const position& at, time_point now) {
    const queued_request& sent = at.place->request;
    if (now - at.place->queued_at <= this->short_wait_of(sent)) {
        at.in_class->last_short_wait = now;
    }
    at.in_class->last_turn = ++this->last_turn;
    at.in_account->last_turn = this->last_turn;
    ++this->departures;
    record_departure(at.in_class->own, this->policy.departures, now);
    for (auto item = this->classes.lower_bound(sent.priority); item != this->classes.end();
         ++item) {
        record_departure(item->second.with_higher, this->policy.departures, now);
    }
}

void admission_queue::erase(const position& at) {
    at.in_account->requests.erase(at.place);
    --this->count;
    std::erase_if(at.in_class->accounts,
                  [](const auto& item) { return item.second.requests.empty(); });
}

void admission_queue::update_meters(time_point now) {
    bool any_waiting = false;
    for (auto& [priority, own] : this->classes) {
        own.last_waiting = own.accounts.empty() ? own.last_waiting : now;
        const bool is_waiting = !own.accounts.empty() && !this->is_paused;
        any_waiting = any_waiting || is_waiting;
        set_busy(own.own, is_waiting, this->policy.departures, now);
        set_busy(own.with_higher, any_waiting, this->policy.departures, now);
    }
}

/// The requests of a class that are too late now, or will be by their place in the queue.
std::vector<std::uint64_t> admission_queue::hopeless_ids(int priority, const class_queue& from,
                                                         time_point now) {
    std::vector<std::uint64_t> ids;
    const auto in_time = count_in_time_by_account(from.accounts, now);
    const std::size_t all_in_time = sum(in_time);
    const class_outlook outlook = this->outlook_of(priority, now);
    for (const auto& [account, queue] : from.accounts) {
        std::size_t own_ahead = 0;
        std::size_t later = queue.requests.size() - in_time.at(account);
        for (const waiting_request& waiting : queue.requests) {
            const queued_request& request = waiting.request;
            const bool in_good_time = is_in_time(request, now);
            const std::size_t ahead = in_good_time ? ahead_by_turns(in_time, account, own_ahead++)
                                                   : all_in_time + --later;
            const double margin = in_good_time ? wait_margin : 1;
            const duration wait = from_seconds(to_seconds(wait_behind(outlook, ahead)) / margin);
            const bool is_too_far =
                !request.is_retry && !this->is_paused && now + wait > request.latest_start;
            if (now > request.latest_start || is_too_far) {
                ids.push_back(request.id);
            }
        }
    }
    return ids;
}

std::vector<std::uint64_t> admission_queue::take_hopeless(time_point now) {
    std::vector<std::uint64_t> all;
    for (const auto& [priority, own] : this->classes) {
        const auto ids = this->hopeless_ids(priority, own, now);
        all.insert(all.end(), ids.begin(), ids.end());
    }
    for (const std::uint64_t id : all) {
        this->remove(id, now);
    }
    return all;
}

std::vector<std::uint64_t> admission_queue::take_all(time_point now) {
    std::vector<std::uint64_t> all;
    for (auto& [priority, own] : this->classes) {
        for (const auto& [account, queue] : own.accounts) {
            for (const waiting_request& waiting : queue.requests) {
                all.push_back(waiting.request.id);
            }
        }
        own.accounts.clear();
    }
    this->count = 0;
    this->update_meters(now);
    return all;
}

} // namespace knapweedknot
