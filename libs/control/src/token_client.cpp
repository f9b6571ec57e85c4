#include "control/token_client.h"

#include <algorithm>
#include <utility>

#include "decide/placement.h"

namespace knapweedknot {

namespace {

// Life of a grant at its broker; its holder counts from before it asked and allows for drift.
constexpr duration grant_lifetime = milliseconds(400);
constexpr double holder_share_of_lifetime = 0.98;
constexpr duration retry_interval = milliseconds(50);
// Longest wait for a token while the slot has no settled broker.
constexpr duration patience = milliseconds(5000);
// After its share has changed, a broker lets requests wait for this long, so that those that came
// while the slot had no broker are admitted at the account's rate and not refused.
constexpr duration settling = milliseconds(6000);
constexpr std::uint32_t max_tokens_per_grant = 256;

rate_limit limit_of(const client_account& account) {
    return {account.rate_per_s, account.burst};
}

} // namespace

token_client::token_client(loop& event_loop, mesh& peer_mesh, loan_keeper& keeper,
                           const instance_settings& settings)
    : owner(event_loop), network(peer_mesh), loans(keeper), mode(settings.admission) {
    // The baseline gives each instance a fixed part that never ends.
    const time_point now = boot_clock::now();
    this->static_slot.total_seats = settings.max_instances;
    this->static_slot.share_changed_at = now;
    set_lease(this->static_slot, incarnation_id{1}, {1, time_point::max()}, now);
}

bool token_client::take_local(const client_account& account, time_point now) {
    slot_limiter& slot = this->mode == admission_mode::static_split
                             ? this->static_slot
                             : this->loans.slot(slot_of(account.id, slot_count));
    return take_token(slot, account.id, limit_of(account), now);
}

bool token_client::should_wait(const client_account& account, time_point now) {
    if (this->mode == admission_mode::static_split) {
        return false;
    }
    const slot_id id = slot_of(account.id, slot_count);
    const slot_limiter& slot = this->loans.slot(id);
    return !this->loans.is_own_choice(id) || slot.leased_seats == 0 ||
           now - slot.share_changed_at < settling;
}

void token_client::admit(const client_account_ptr& account, time_point deadline,
                         std::function<bool()> is_wanted, handler done) {
    const time_point now = boot_clock::now();
    admission_counts& count = this->counted[account->id];
    const auto waiting = this->queues.find(account->id);
    const bool nobody_waits = waiting == this->queues.end() || waiting->second.waiters.empty();
    if (nobody_waits && this->take_local(*account, now)) {
        ++count.local;
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
    if (to_seconds(patience) * account->rate_per_s < static_cast<double>(queue.waiters.size())) {
        // Those that wait already use up what the rate allows until this one would give up.
        ++count.refused;
        done(fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
        return;
    }
    queue.waiters.push_back(
        {std::min(deadline, now + patience), std::move(is_wanted), std::move(done)});
    this->pump(account->id);
}

void token_client::finish(account_queue& queue, result<void> outcome) {
    const handler done = std::move(queue.waiters.front().done);
    queue.waiters.pop_front();
    done(std::move(outcome));
}

void token_client::drop_late(account_queue& queue, time_point now) {
    while (!queue.waiters.empty()) {
        if (!queue.waiters.front().is_wanted()) {
            this->finish(queue, fail(error_kind::caller_gone, "the caller has gone"));
            continue;
        }
        if (queue.waiters.front().give_up > now) {
            return;
        }
        ++this->counted[queue.account->id].timed_out;
        this->finish(queue, fail(error_kind::peer_unreachable, "no instance grants tokens now"));
    }
}

void token_client::serve_locally(account_queue& queue, time_point now) {
    while (!queue.waiters.empty() && this->take_local(*queue.account, now)) {
        ++this->counted[queue.account->id].local;
        this->finish(queue, {});
        this->drop_late(queue, now);
    }
}

void token_client::pump(const account_id& id) {
    account_queue& queue = this->queues.at(id);
    const time_point now = boot_clock::now();
    if (queue.asked != 0 && now - queue.asked_at < grant_lifetime) {
        return;
    }
    this->requests.erase(std::exchange(queue.asked, 0));
    this->drop_late(queue, now);
    this->serve_locally(queue, now);
    while (!queue.waiters.empty() && !this->should_wait(*queue.account, now)) {
        ++this->counted[id].refused;
        this->finish(queue,
                     fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
    }
    if (queue.waiters.empty()) {
        return;
    }
    this->ask_broker(queue, now);
    const duration again = queue.asked != 0 ? grant_lifetime : retry_interval;
    queue.retry = this->owner.after(again, [this, id] { this->pump(id); });
}

void token_client::ask_broker(account_queue& queue, time_point now) {
    const slot_id slot = slot_of(queue.account->id, slot_count);
    if (this->loans.is_own_choice(slot)) {
        return;
    }
    wire::token_requestT request;
    request.id = ++this->last_request;
    request.account = queue.account->id.value;
    request.wanted = std::min<std::uint32_t>(max_tokens_per_grant,
                                             static_cast<std::uint32_t>(queue.waiters.size()));
    request.unspent = std::exchange(queue.unspent, 0);
    if (this->network.send(this->loans.broker_of(slot), std::move(request))) {
        queue.asked = this->last_request;
        queue.asked_at = now;
        this->requests[queue.asked] = queue.account->id;
    }
}

void token_client::handle_request(const peer_info& from, const wire::token_requestT& request,
                                  const client_account_ptr& account) {
    const time_point now = boot_clock::now();
    wire::token_replyT reply;
    reply.id = request.id;
    const account_id id{request.account};
    const slot_id place = slot_of(id, slot_count);
    slot_limiter& slot = this->loans.slot(place);
    if (account != nullptr && slot.leased_seats > 0) {
        release_grants(slot, id, from.incarnation, request.unspent, now);
        reply.granted = static_cast<std::uint32_t>(
            grant_tokens(slot, id, limit_of(*account), from.incarnation,
                         static_cast<int>(std::min(request.wanted, max_tokens_per_grant)), now,
                         now + grant_lifetime));
        reply.is_broker = now - slot.share_changed_at >= settling || reply.granted > 0;
    }
    this->network.send(from.incarnation, reply);
}

void token_client::handle_reply(const peer_info& /*from*/, const wire::token_replyT& reply) {
    const auto found = this->requests.find(reply.id);
    if (found == this->requests.end()) {
        return;
    }
    account_queue& queue = this->queues.at(found->second);
    this->requests.erase(found);
    const time_point now = boot_clock::now();
    queue.asked = 0;
    const duration spendable = from_seconds(to_seconds(grant_lifetime) * holder_share_of_lifetime);
    std::uint32_t tokens = now - queue.asked_at < spendable ? reply.granted : 0;
    this->drop_late(queue, now);
    while (tokens > 0 && !queue.waiters.empty()) {
        --tokens;
        ++this->counted[queue.account->id].remote;
        this->finish(queue, {});
        this->drop_late(queue, now);
    }
    queue.unspent = tokens;
    if (reply.is_broker && reply.granted < max_tokens_per_grant) {
        // The broker has no more now: whoever waited for this answer is over the rate.
        while (!queue.waiters.empty() && reply.granted == 0) {
            ++this->counted[queue.account->id].refused;
            this->finish(
                queue, fail(error_kind::rate_exceeded, "the account's rate and burst are used up"));
        }
    }
    this->pump(queue.account->id);
}

} // namespace knapweedknot
