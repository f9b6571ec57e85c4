#include "control/admission_controller.h"

#include <algorithm>
#include <utility>

#include "decide/placement.h"

namespace knapweedknot {

namespace {

// Lifetime of a grant at its broker. The holder counts it from its own request, and uses only a
// fraction of it to allow for clock drift.
constexpr duration grant_lifetime = milliseconds(400);
constexpr double usable_lifetime_fraction = 0.98;
constexpr duration retry_interval = milliseconds(50);
// Longest wait of a request for a token while the slot has no broker with a settled share.
constexpr duration max_token_wait = milliseconds(5000);
// For this long after its share has changed, a broker queues requests that find no token instead of
// refusing them: a backlog from the time without a broker is then admitted at the account's rate.
constexpr duration share_settling_time = milliseconds(6000);
constexpr std::uint32_t max_tokens_per_grant = 256;

rate_limit limit_of(const client_account& account) {
    return {account.rate_per_s, account.burst};
}

} // namespace

admission_controller::admission_controller(loop& event_loop, mesh& peer_mesh,
                                           heartbeat_service& heartbeat_source,
                                           const instance_settings& settings)
    : owner(event_loop), network(peer_mesh), heartbeats(heartbeat_source),
      mode(settings.admission) {
    // With static_split each instance has one lease on a fixed part, which never expires.
    const time_point now = boot_clock::now();
    this->static_slot.total_seats = settings.max_instances;
    this->static_slot.share_changed_at = now;
    set_lease(this->static_slot, incarnation_id{1}, {1, time_point::max()}, now);
}

bool admission_controller::take_local_token(const client_account& account, time_point now) {
    slot_limiter& slot = this->mode == admission_mode::static_split
                             ? this->static_slot
                             : this->heartbeats.slot(slot_of(account.id, slot_count));
    return take_token(slot, account.id, limit_of(account), now);
}

bool admission_controller::should_wait(const client_account& account, time_point now) {
    if (this->mode == admission_mode::static_split) {
        return false;
    }
    const slot_id id = slot_of(account.id, slot_count);
    const slot_limiter& slot = this->heartbeats.slot(id);
    return !this->heartbeats.is_broker_of(id) || slot.leased_seats == 0 ||
           now - slot.share_changed_at < share_settling_time;
}

void admission_controller::admit(const client_account_ptr& account, time_point deadline,
                                 std::function<bool()> is_wanted, handler done) {
    const time_point now = boot_clock::now();
    admission_counts& count = this->counts_by_account[account->id];
    const auto found = this->queues.find(account->id);
    const bool queue_is_empty = found == this->queues.end() || found->second.waiters.empty();
    if (queue_is_empty && this->take_local_token(*account, now)) {
        ++count.from_local_bucket;
        done({});
        return;
    }
    if (!this->should_wait(*account, now)) {
        ++count.refused;
        done(fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
        return;
    }
    account_queue& queue = this->queues[account->id];
    queue.account = account;
    if (to_seconds(max_token_wait) * account->rate_per_s <
        static_cast<double>(queue.waiters.size())) {
        // The queued requests already need all tokens that refill until this one would time out.
        ++count.refused;
        done(fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
        return;
    }
    queue.waiters.push_back(
        {std::min(deadline, now + max_token_wait), std::move(is_wanted), std::move(done)});
    this->process_queue(account->id);
}

void admission_controller::finish(account_queue& queue, result<void> outcome) {
    const handler done = std::move(queue.waiters.front().done);
    queue.waiters.pop_front();
    done(std::move(outcome));
}

void admission_controller::drop_expired(account_queue& queue, time_point now) {
    while (!queue.waiters.empty()) {
        if (!queue.waiters.front().is_wanted()) {
            this->finish(queue, fail(error_kind::caller_gone, "the caller has gone"));
            continue;
        }
        if (queue.waiters.front().expires_at > now) {
            return;
        }
        ++this->counts_by_account[queue.account->id].timed_out;
        this->finish(queue, fail(error_kind::peer_unreachable, "no instance grants tokens now"));
    }
}

void admission_controller::admit_locally(account_queue& queue, time_point now) {
    while (!queue.waiters.empty() && this->take_local_token(*queue.account, now)) {
        ++this->counts_by_account[queue.account->id].from_local_bucket;
        this->finish(queue, {});
        this->drop_expired(queue, now);
    }
}

void admission_controller::process_queue(const account_id& id) {
    account_queue& queue = this->queues.at(id);
    const time_point now = boot_clock::now();
    if (queue.request_id != 0 && now - queue.requested_at < grant_lifetime) {
        return;
    }
    this->accounts_by_request.erase(std::exchange(queue.request_id, 0));
    this->drop_expired(queue, now);
    this->admit_locally(queue, now);
    while (!queue.waiters.empty() && !this->should_wait(*queue.account, now)) {
        ++this->counts_by_account[id].refused;
        this->finish(queue,
                     fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
    }
    if (queue.waiters.empty()) {
        return;
    }
    this->request_tokens(queue, now);
    const duration again = queue.request_id != 0 ? grant_lifetime : retry_interval;
    queue.retry_timer = this->owner.after(again, [this, id] { this->process_queue(id); });
}

void admission_controller::request_tokens(account_queue& queue, time_point now) {
    const slot_id slot = slot_of(queue.account->id, slot_count);
    if (this->heartbeats.is_broker_of(slot)) {
        return;
    }
    wire::token_requestT request;
    request.id = ++this->last_request_id;
    request.account = queue.account->id.value;
    request.wanted = std::min<std::uint32_t>(max_tokens_per_grant,
                                             static_cast<std::uint32_t>(queue.waiters.size()));
    request.unspent = std::exchange(queue.unspent, 0);
    if (this->network.send(this->heartbeats.broker_of(slot), std::move(request))) {
        queue.request_id = this->last_request_id;
        queue.requested_at = now;
        this->accounts_by_request[queue.request_id] = queue.account->id;
    }
}

void admission_controller::handle_request(const peer_info& from,
                                          const wire::token_requestT& request,
                                          const client_account_ptr& account) {
    const time_point now = boot_clock::now();
    wire::token_replyT reply;
    reply.id = request.id;
    const account_id id{request.account};
    const slot_id slot_of_account = slot_of(id, slot_count);
    slot_limiter& slot = this->heartbeats.slot(slot_of_account);
    if (account != nullptr && slot.leased_seats > 0) {
        release_grants(slot, id, from.incarnation, request.unspent, now);
        reply.granted = static_cast<std::uint32_t>(
            grant_tokens(slot, id, limit_of(*account), from.incarnation,
                         static_cast<int>(std::min(request.wanted, max_tokens_per_grant)), now,
                         now + grant_lifetime));
        reply.is_broker = now - slot.share_changed_at >= share_settling_time || reply.granted > 0;
    }
    this->network.send(from.incarnation, reply);
}

void admission_controller::handle_reply(const peer_info& /*from*/,
                                        const wire::token_replyT& reply) {
    const auto found = this->accounts_by_request.find(reply.id);
    if (found == this->accounts_by_request.end()) {
        return;
    }
    account_queue& queue = this->queues.at(found->second);
    this->accounts_by_request.erase(found);
    const time_point now = boot_clock::now();
    queue.request_id = 0;
    const duration usable_time =
        from_seconds(to_seconds(grant_lifetime) * usable_lifetime_fraction);
    std::uint32_t tokens = now - queue.requested_at < usable_time ? reply.granted : 0;
    this->drop_expired(queue, now);
    while (tokens > 0 && !queue.waiters.empty()) {
        --tokens;
        ++this->counts_by_account[queue.account->id].by_grant;
        this->finish(queue, {});
        this->drop_expired(queue, now);
    }
    queue.unspent = tokens;
    if (reply.is_broker && reply.granted < max_tokens_per_grant) {
        // The broker has no tokens: the requests queued here exceed the account's rate.
        while (!queue.waiters.empty() && reply.granted == 0) {
            ++this->counts_by_account[queue.account->id].refused;
            this->finish(
                queue, fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
        }
    }
    this->process_queue(queue.account->id);
}

} // namespace knapweedknot
