#include "control/acceptance.h"

#include <algorithm>
#include <utility>

namespace knapweedknot {

namespace {

constexpr duration look_interval = milliseconds(100);
// The freshness rule is worked out at most this often.
constexpr duration fresh_reuse = milliseconds(20);
constexpr duration announce_limit = milliseconds(1500);
// An announced write cannot take effect later than this after its announcement: the announcer
// starts it within announce_limit and its call is bounded.
constexpr duration pending_limit = seconds(30);

} // namespace

acceptance::acceptance(loop& event_loop, mesh& peer_mesh, loan_keeper& keeper,
                       config_follower& config_source, configuration& configuration_used)
    : owner(event_loop), network(peer_mesh), loans(keeper), follower(config_source),
      config(configuration_used),
      looking(event_loop.every(look_interval, [this] { this->look_around(); })) {}

void acceptance::announce(config_number number, const std::string& patch_id, handler done) {
    this->current.emplace();
    this->current->number = number;
    this->current->patch_id = patch_id;
    this->current->done = std::move(done);
    this->current->acknowledged.insert(this->network.self().incarnation);
    // The write may take effect without an answer, so this instance is held like the others.
    record_announcement(this->open, patch_id, number, boot_clock::now());
    this->current->limit = this->owner.after(announce_limit, [this] {
        const handler reply = std::move(this->current->done);
        this->withdraw(this->current->number, this->current->patch_id);
        this->current.reset();
        reply(fail(error_kind::peer_unreachable,
                   "instances with more than half of the seats did not answer"));
    });
    wire::announceT message;
    message.config_number = number.value;
    message.patch_id = patch_id;
    this->network.broadcast(message);
    this->check_majority();
}

void acceptance::check_majority() {
    const time_point now = boot_clock::now();
    int seats = this->loans.own_voting_seats(now);
    for (const auto& [incarnation, peer] : this->loans.peers()) {
        seats += this->current->acknowledged.contains(incarnation) ? peer.held_seats : 0;
    }
    if (2 * seats <= this->loans.total_seats()) {
        return;
    }
    const handler reply = std::move(this->current->done);
    this->current.reset();
    reply({});
}

void acceptance::withdraw(config_number number, const std::string& patch_id) {
    this->open.erase(patch_id);
    wire::withdrawT message;
    message.config_number = number.value;
    message.patch_id = patch_id;
    this->network.broadcast(message);
}

void acceptance::spread() {
    for (const auto& [incarnation, peer] : this->network.peers()) {
        const auto status = this->loans.peers().find(incarnation);
        this->send_head(incarnation, status == this->loans.peers().end()
                                         ? this->config.number().value - 1
                                         : status->second.number.value);
    }
}

void acceptance::send_head(incarnation_id to, std::uint64_t after) {
    if (after >= this->config.number().value) {
        return;
    }
    history_head head = this->follower.head();
    wire::entries_replyT reply;
    if (after < head.snapshot.number.value) {
        reply.document = this->config.document().dump();
    } else {
        // The asker needs only what it does not have.
        while (!head.tail.empty() && head.tail.front().number.value <= after) {
            head.snapshot.number = head.tail.front().number;
            head.snapshot.last_hash = hash_of(head.tail.front());
            head.tail.erase(head.tail.begin());
        }
    }
    reply.head = encode_head(head);
    this->network.send(to, std::move(reply));
}

void acceptance::when_in_force(config_number number, duration limit,
                               std::function<void(bool)> done) {
    this->force_waiters.push_back({number, boot_clock::now() + limit, std::move(done)});
    this->check_in_force();
}

void acceptance::check_in_force() {
    const time_point now = boot_clock::now();
    const auto lacks = [this](config_number number) {
        return std::any_of(this->loans.peers().begin(), this->loans.peers().end(),
                           [number](const auto& item) {
                               return item.second.connected && item.second.number < number;
                           });
    };
    std::vector<force_waiter> waiting = std::move(this->force_waiters);
    this->force_waiters.clear();
    for (force_waiter& waiter : waiting) {
        const bool everywhere = !lacks(waiter.number);
        if (everywhere || waiter.limit <= now) {
            waiter.done(everywhere);
        } else {
            this->force_waiters.push_back(std::move(waiter));
        }
    }
}

bool acceptance::handle(const peer_info& from, const wire::messageT& message) {
    if (const auto* announce = message.body.Asannounce(); announce != nullptr) {
        this->handle_announce(from, *announce);
    } else if (const auto* ack = message.body.Asannounce_ack(); ack != nullptr) {
        this->handle_ack(from, *ack);
    } else if (const auto* withdrawn = message.body.Aswithdraw(); withdrawn != nullptr) {
        this->open.erase(withdrawn->patch_id);
    } else if (const auto* request = message.body.Asentries_request(); request != nullptr) {
        this->send_head(from.incarnation, request->after);
    } else if (const auto* reply = message.body.Asentries_reply(); reply != nullptr) {
        this->handle_entries(from, *reply);
    } else {
        return false;
    }
    return true;
}

void acceptance::handle_announce(const peer_info& from, const wire::announceT& message) {
    const config_number number{message.config_number};
    if (number > this->config.number()) {
        record_announcement(this->open, message.patch_id, number, boot_clock::now());
    }
    wire::announce_ackT ack;
    ack.config_number = message.config_number;
    ack.patch_id = message.patch_id;
    this->network.send(from.incarnation, std::move(ack));
}

void acceptance::handle_ack(const peer_info& from, const wire::announce_ackT& message) {
    if (this->current && this->current->patch_id == message.patch_id) {
        this->current->acknowledged.insert(from.incarnation);
        this->check_majority();
    }
}

void acceptance::handle_entries(const peer_info& from, const wire::entries_replyT& message) {
    const auto head = decode_head(message.head);
    if (head) {
        this->follower.adopt(*head, message.document, [this, from](const result<void>& /*unused*/) {
            this->settle_pending();
            // The sender waits to hear that the number is in force here.
            this->loans.beat_now(from.incarnation);
        });
    }
}

void acceptance::peer_connected(const peer_info& peer) {
    this->ask_for_entries(peer.incarnation);
}

void acceptance::ask_for_entries(incarnation_id from) {
    wire::entries_requestT request;
    request.after = this->config.number().value;
    this->network.send(from, request);
}

void acceptance::settle_pending() {
    resolve_announcements(this->open, this->config.number());
}

bool acceptance::vouches() const {
    return can_confirm(this->open, this->config.number(), this->loans.freshness(),
                       boot_clock::now());
}

bool acceptance::is_fresh() {
    const time_point now = boot_clock::now();
    if (now - this->fresh_checked < fresh_reuse) {
        return this->was_fresh;
    }
    this->fresh_checked = now;
    this->was_fresh = knapweedknot::is_fresh(this->loans.vouchers(now), this->config.number(),
                                             this->follower.last_read(), this->loans.total_seats(),
                                             this->loans.freshness(), now);
    return this->was_fresh;
}

void acceptance::look_around() {
    this->settle_pending();
    this->check_in_force();
    const time_point now = boot_clock::now();
    const auto& peers = this->loans.peers();
    const auto newest =
        std::max_element(peers.begin(), peers.end(), [](const auto& left, const auto& right) {
            return left.second.number < right.second.number;
        });
    if (newest != peers.end() && newest->second.number > this->config.number()) {
        this->ask_for_entries(newest->first);
    }
    const bool must_read = !this->vouches() || !this->is_fresh();
    if (must_read && !this->reading) {
        this->reading = true;
        this->follower.refresh([this, now](const result<void>& outcome) {
            this->reading = false;
            if (outcome) {
                expire_announcements(this->open, now - pending_limit);
            }
            this->settle_pending();
        });
    }
}

} // namespace knapweedknot
