#include "control/heartbeat_service.h"

#include <algorithm>

#include "decide/placement.h"

namespace knapweedknot {

namespace {

constexpr std::uint16_t flag_confirms = 1;
constexpr std::uint16_t flag_leaving = 2;
constexpr std::uint16_t flag_has_echo = 4;
constexpr std::uint32_t slots_per_word = 64;
// A peer that has sent no heartbeat for this many intervals gets no quota leases.
constexpr double max_missed_intervals = 2.2;
// Minimum time from one round to an extra round that a change triggers.
constexpr duration min_round_gap = milliseconds(20);
// The state of a disconnected peer is kept until all quota leases to and from it have expired.
constexpr duration status_retention = seconds(60);

bool lists_slot(const wire::heartbeat_fields& fields, std::uint32_t slot) {
    const std::uint64_t word =
        slot < slots_per_word ? fields.lent_slots_low() : fields.lent_slots_high();
    return ((word >> (slot % slots_per_word)) & 1U) != 0;
}

} // namespace

heartbeat_service::heartbeat_service(loop& event_loop, mesh& peer_mesh, seat_manager& seat_source,
                                     const heartbeat_options& heartbeat_settings)
    : owner(event_loop), network(peer_mesh), seats(seat_source), options(heartbeat_settings),
      epoch(boot_clock::now()), slots(slot_count), brokers(slot_count) {
    this->issued_leases.slots.resize(slot_count);
    for (slot_limiter& slot : this->slots) {
        slot.share_changed_at = this->epoch;
    }
}

void heartbeat_service::start() {
    this->send_round();
    this->round_timer =
        this->owner.every(this->options.heartbeat_interval, [this] { this->send_round(); });
}

void heartbeat_service::set_leaving() {
    this->leaving = true;
    this->schedule_round();
}

std::uint32_t heartbeat_service::to_timestamp(time_point time) const {
    return static_cast<std::uint32_t>(to_milliseconds(time - this->epoch));
}

time_point heartbeat_service::from_timestamp(std::uint32_t timestamp, time_point now) const {
    const std::uint32_t age = this->to_timestamp(now) - timestamp;
    return now - milliseconds(age) - milliseconds(1);
}

bool heartbeat_service::is_candidate(const peer_status& peer, time_point now) const {
    const duration limit =
        from_seconds(to_seconds(this->options.heartbeat_interval) * max_missed_intervals);
    return peer.connected && !peer.leaving && now - peer.last_heard < limit;
}

std::vector<peer_info> heartbeat_service::candidates(time_point now) const {
    std::vector<peer_info> found;
    if (!this->leaving) {
        found.push_back(this->network.self());
    }
    for (const auto& [incarnation, peer] : this->statuses) {
        if (this->is_candidate(peer, now)) {
            found.push_back(peer.info);
        }
    }
    return found;
}

std::vector<peer_info> heartbeat_service::ranked_instances(slot_id id) const {
    std::map<instance_id, peer_info> by_instance;
    std::vector<instance_id> instances;
    for (const peer_info& candidate : this->candidates(boot_clock::now())) {
        by_instance[candidate.instance] = candidate;
    }
    instances.reserve(by_instance.size());
    for (const auto& [name, info] : by_instance) {
        instances.push_back(name);
    }
    std::vector<peer_info> ranked;
    for (const instance_id& name : rank_instances(id, instances)) {
        ranked.push_back(by_instance.at(name));
    }
    return ranked;
}

void heartbeat_service::choose_brokers(time_point now) {
    const std::vector<peer_info> eligible = this->candidates(now);
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        incarnation_id best;
        std::uint64_t best_weight = 0;
        for (const peer_info& candidate : eligible) {
            const std::uint64_t weight = placement_weight(slot_id{i}, candidate.instance);
            if (best.value == 0 || weight > best_weight) {
                best = candidate.incarnation;
                best_weight = weight;
            }
        }
        this->brokers[i] = best;
    }
}

void heartbeat_service::send_round() {
    const time_point now = boot_clock::now();
    this->last_round_at = now;
    this->is_round_scheduled = false;
    std::erase_if(this->statuses, [now](const auto& item) {
        return !item.second.connected && now - item.second.last_heard > status_retention;
    });
    this->choose_brokers(now);
    this->issue_own_leases(now);
    for (const auto& [incarnation, peer] : this->statuses) {
        if (peer.connected) {
            this->send_heartbeat(incarnation, now);
        }
    }
}

void heartbeat_service::send_heartbeat_now(incarnation_id to) {
    const auto found = this->statuses.find(to);
    if (found != this->statuses.end() && found->second.connected) {
        this->send_heartbeat(to, boot_clock::now());
    }
}

void heartbeat_service::schedule_round() {
    if (this->is_round_scheduled) {
        return;
    }
    this->is_round_scheduled = true;
    const duration elapsed = boot_clock::now() - this->last_round_at;
    this->extra_round_timer =
        this->owner.after(std::max<duration>(min_round_gap - elapsed, milliseconds(1)),
                          [this] { this->send_round(); });
}

void heartbeat_service::issue_own_leases(time_point now) {
    const incarnation_id self = this->network.self().incarnation;
    ++this->sequence;
    const auto listed = issue_leases(this->issued_leases, self, this->brokers, this->sequence,
                                     this->options.times, now);
    const int leased = this->seats.leasable_seats(now);
    std::vector<bool> is_listed(slot_count, false);
    for (const slot_id id : listed) {
        is_listed[id.value] = true;
    }
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        slot_limiter& slot = this->slots[i];
        if (slot.leases.empty()) {
            slot.total_seats = this->total_seats();
        }
        if (is_listed[i] || slot.leases.contains(self)) {
            set_lease(slot, self, {is_listed[i] ? leased : 0, now + this->options.times.length},
                      now);
        }
    }
    record_acknowledgement(this->issued_leases, self, this->sequence, now);
}

void heartbeat_service::send_heartbeat(incarnation_id to, time_point now) {
    const peer_status& peer = this->statuses.at(to);
    ++this->sequence;
    std::uint64_t words[2] = {0, 0};
    for (const slot_id id : issue_leases(this->issued_leases, to, this->brokers, this->sequence,
                                         this->options.times, now)) {
        words[id.value / slots_per_word] |= std::uint64_t{1} << (id.value % slots_per_word);
    }
    std::uint16_t flags = this->own_confirmation() ? flag_confirms : 0;
    flags |= this->leaving ? flag_leaving : 0;
    flags |= peer.last_sequence != 0 ? flag_has_echo : 0;
    const wire::heartbeat_fields fields(
        this->network.self().incarnation.value, this->own_config_number().value, words[0], words[1],
        this->sequence, peer.last_sequence, this->to_timestamp(now), peer.last_timestamp,
        static_cast<std::uint16_t>(this->seats.leasable_seats(now)),
        static_cast<std::uint16_t>(this->seats.voting_seats(now)), flags, std::uint16_t{0});
    this->network.send_heartbeat(to, fields);
}

void heartbeat_service::handle_heartbeat(const peer_info& from,
                                         const wire::heartbeat_fields& fields) {
    const time_point now = boot_clock::now();
    const auto found = this->statuses.find(from.incarnation);
    if (found == this->statuses.end()) {
        return;
    }
    peer_status& peer = found->second;
    const bool was_candidate = this->is_candidate(peer, now);
    if (record_acknowledgement(this->issued_leases, from.incarnation, fields.acknowledged(), now) >
        0) {
        this->schedule_round();
    }
    if (fields.sequence() <= peer.last_sequence) {
        return;
    }
    peer.last_sequence = fields.sequence();
    peer.last_heard = now;
    peer.last_timestamp = fields.sent_ms();
    peer.leaving = (fields.flags() & flag_leaving) != 0;
    peer.confirms = (fields.flags() & flag_confirms) != 0;
    peer.number.value = fields.config_number();
    peer.held_seats = fields.held_seats();
    peer.leased_seats = fields.lent_seats();
    if ((fields.flags() & flag_has_echo) != 0) {
        const time_point sent_at = this->from_timestamp(fields.echo_ms(), now);
        peer.as_of = sent_at;
        this->accept_leases(peer, fields, sent_at + this->options.times.length, now);
    }
    if (was_candidate != this->is_candidate(peer, now)) {
        this->schedule_round();
    }
}

void heartbeat_service::accept_leases(peer_status& from, const wire::heartbeat_fields& fields,
                                      time_point expires, time_point now) {
    bool is_revoked = false;
    const incarnation_id issuer = from.info.incarnation;
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        slot_limiter& slot = this->slots[i];
        if (lists_slot(fields, i)) {
            if (slot.leases.empty()) {
                slot.total_seats = this->total_seats();
            }
            set_lease(slot, issuer, {fields.lent_seats(), expires}, now);
        } else if (slot.leases.contains(issuer)) {
            set_lease(slot, issuer, {0, expires}, now);
            is_revoked = true;
        }
    }
    if (is_revoked) {
        // The issuer leases the slot to another instance only after this acknowledgement.
        this->send_heartbeat(issuer, now);
    }
}

void heartbeat_service::peer_connected(const peer_info& peer) {
    peer_status& status = this->statuses[peer.incarnation];
    status.info = peer;
    status.connected = true;
    this->schedule_round();
}

void heartbeat_service::peer_disconnected(const peer_info& peer) {
    const auto found = this->statuses.find(peer.incarnation);
    if (found != this->statuses.end()) {
        found->second.connected = false;
        this->schedule_round();
    }
}

std::vector<config_confirmation> heartbeat_service::confirmations(time_point now) const {
    std::vector<config_confirmation> all;
    all.push_back(
        {this->seats.voting_seats(now), this->own_config_number(), this->own_confirmation(), now});
    for (const auto& [incarnation, peer] : this->statuses) {
        if (peer.as_of) {
            all.push_back({peer.held_seats, peer.number, peer.confirms, *peer.as_of});
        }
    }
    return all;
}

} // namespace knapweedknot
