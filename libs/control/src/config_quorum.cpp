#include "control/config_quorum.h"

#include <algorithm>
#include <utility>

namespace knapweedknot {

namespace {

constexpr duration poll_interval = milliseconds(100);
// The freshness check is evaluated at most once in this time.
constexpr duration freshness_cache_time = milliseconds(20);
constexpr duration announce_timeout = milliseconds(1500);
// An announced write takes effect within this time or never: the announcing instance starts it
// within announce_timeout, and the store call has a timeout.
constexpr duration max_pending_time = seconds(30);

} // namespace

config_quorum::config_quorum(loop& event_loop, mesh& peer_mesh, heartbeat_service& heartbeat_source,
                             config_follower& config_source, configuration& config_used)
    : owner(event_loop), network(peer_mesh), heartbeats(heartbeat_source), follower(config_source),
      config(config_used),
      poll_timer(event_loop.every(poll_interval, [this] { this->poll_peers(); })) {}

void config_quorum::announce(config_number number, const std::string& patch_id, handler done) {
    this->own_announcement.emplace();
    this->own_announcement->number = number;
    this->own_announcement->patch_id = patch_id;
    this->own_announcement->done = std::move(done);
    this->own_announcement->acknowledged.insert(this->network.self().incarnation);
    // The write may take effect although its answer is lost, so this instance also stops confirming
    // older numbers.
    record_announcement(this->pending, patch_id, number, boot_clock::now());
    this->own_announcement->timeout = this->owner.after(announce_timeout, [this] {
        const handler reply = std::move(this->own_announcement->done);
        this->withdraw(this->own_announcement->number, this->own_announcement->patch_id);
        this->own_announcement.reset();
        reply(fail(error_kind::peer_unreachable,
                   "instances with more than half of the seats did not answer"));
    });
    wire::announceT message;
    message.config_number = number.value;
    message.patch_id = patch_id;
    this->network.broadcast(message);
    this->check_majority();
}

void config_quorum::check_majority() {
    const time_point now = boot_clock::now();
    int seats = this->heartbeats.own_voting_seats(now);
    for (const auto& [incarnation, peer] : this->heartbeats.peers()) {
        seats += this->own_announcement->acknowledged.contains(incarnation) ? peer.held_seats : 0;
    }
    if (2 * seats <= this->heartbeats.total_seats()) {
        return;
    }
    const handler reply = std::move(this->own_announcement->done);
    this->own_announcement.reset();
    reply({});
}

void config_quorum::withdraw(config_number number, const std::string& patch_id) {
    this->pending.erase(patch_id);
    wire::withdrawT message;
    message.config_number = number.value;
    message.patch_id = patch_id;
    this->network.broadcast(message);
}

void config_quorum::broadcast_head() {
    for (const auto& [incarnation, peer] : this->network.peers()) {
        const auto status = this->heartbeats.peers().find(incarnation);
        this->send_head(incarnation, status == this->heartbeats.peers().end()
                                         ? this->config.number().value - 1
                                         : status->second.number.value);
    }
}

void config_quorum::send_head(incarnation_id to, std::uint64_t after) {
    if (after >= this->config.number().value) {
        return;
    }
    history_head head = this->follower.head();
    wire::entries_replyT reply;
    if (after < head.snapshot.number.value) {
        reply.document = this->config.document().dump();
    } else {
        // Send only the entries that the receiver lacks.
        while (!head.tail.empty() && head.tail.front().number.value <= after) {
            head.snapshot.number = head.tail.front().number;
            head.snapshot.last_hash = hash_of(head.tail.front());
            head.tail.erase(head.tail.begin());
        }
    }
    reply.head = encode_head(head);
    this->network.send(to, std::move(reply));
}

void config_quorum::await_in_force(config_number number, duration limit,
                                   std::function<void(bool)> done) {
    this->in_force_waiters.push_back({number, boot_clock::now() + limit, std::move(done)});
    this->check_in_force();
}

void config_quorum::check_in_force() {
    const time_point now = boot_clock::now();
    const auto is_missing_at_a_peer = [this](config_number number) {
        return std::any_of(this->heartbeats.peers().begin(), this->heartbeats.peers().end(),
                           [number](const auto& item) {
                               return item.second.connected && item.second.number < number;
                           });
    };
    std::vector<in_force_waiter> waiting = std::move(this->in_force_waiters);
    this->in_force_waiters.clear();
    for (in_force_waiter& waiter : waiting) {
        const bool everywhere = !is_missing_at_a_peer(waiter.number);
        if (everywhere || waiter.limit <= now) {
            waiter.done(everywhere);
        } else {
            this->in_force_waiters.push_back(std::move(waiter));
        }
    }
}

bool config_quorum::handle(const peer_info& from, const wire::messageT& message) {
    if (const auto* announce = message.body.Asannounce(); announce != nullptr) {
        this->handle_announce(from, *announce);
    } else if (const auto* ack = message.body.Asannounce_ack(); ack != nullptr) {
        this->handle_ack(from, *ack);
    } else if (const auto* withdrawn = message.body.Aswithdraw(); withdrawn != nullptr) {
        this->pending.erase(withdrawn->patch_id);
    } else if (const auto* request = message.body.Asentries_request(); request != nullptr) {
        this->send_head(from.incarnation, request->after);
    } else if (const auto* reply = message.body.Asentries_reply(); reply != nullptr) {
        this->handle_entries(from, *reply);
    } else {
        return false;
    }
    return true;
}

void config_quorum::handle_announce(const peer_info& from, const wire::announceT& message) {
    const config_number number{message.config_number};
    if (number > this->config.number()) {
        record_announcement(this->pending, message.patch_id, number, boot_clock::now());
    }
    wire::announce_ackT ack;
    ack.config_number = message.config_number;
    ack.patch_id = message.patch_id;
    this->network.send(from.incarnation, std::move(ack));
}

void config_quorum::handle_ack(const peer_info& from, const wire::announce_ackT& message) {
    if (this->own_announcement && this->own_announcement->patch_id == message.patch_id) {
        this->own_announcement->acknowledged.insert(from.incarnation);
        this->check_majority();
    }
}

void config_quorum::handle_entries(const peer_info& from, const wire::entries_replyT& message) {
    const auto head = decode_head(message.head);
    if (head) {
        this->follower.adopt(*head, message.document, [this, from](const result<void>& /*unused*/) {
            this->resolve_pending();
            // The sender may be waiting for every instance to report the new number.
            this->heartbeats.send_heartbeat_now(from.incarnation);
        });
    }
}

void config_quorum::peer_connected(const peer_info& peer) {
    this->request_entries(peer.incarnation);
}

void config_quorum::request_entries(incarnation_id from) {
    wire::entries_requestT request;
    request.after = this->config.number().value;
    this->network.send(from, request);
}

void config_quorum::resolve_pending() {
    resolve_announcements(this->pending, this->config.number());
}

bool config_quorum::confirms() const {
    return can_confirm(this->pending, this->config.number(), this->heartbeats.freshness(),
                       boot_clock::now());
}

bool config_quorum::is_fresh() {
    const time_point now = boot_clock::now();
    if (now - this->freshness_checked_at < freshness_cache_time) {
        return this->cached_freshness;
    }
    this->freshness_checked_at = now;
    this->cached_freshness = knapweedknot::is_fresh(
        this->heartbeats.confirmations(now), this->config.number(), this->follower.last_read(),
        this->heartbeats.total_seats(), this->heartbeats.freshness(), now);
    return this->cached_freshness;
}

void config_quorum::poll_peers() {
    this->resolve_pending();
    this->check_in_force();
    const time_point now = boot_clock::now();
    const auto& peers = this->heartbeats.peers();
    const auto newest =
        std::max_element(peers.begin(), peers.end(), [](const auto& left, const auto& right) {
            return left.second.number < right.second.number;
        });
    if (newest != peers.end() && newest->second.number > this->config.number()) {
        this->request_entries(newest->first);
    }
    const bool must_read = !this->confirms() || !this->is_fresh();
    if (must_read && !this->is_refreshing) {
        this->is_refreshing = true;
        this->follower.refresh([this, now](const result<void>& outcome) {
            this->is_refreshing = false;
            if (outcome) {
                expire_announcements(this->pending, now - max_pending_time);
            }
            this->resolve_pending();
        });
    }
}

} // namespace knapweedknot
