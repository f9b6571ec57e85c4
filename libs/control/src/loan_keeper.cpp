#include "control/loan_keeper.h"

#include <algorithm>

#include "decide/placement.h"

namespace knapweedknot {

namespace {

constexpr std::uint16_t flag_vouches = 1;
constexpr std::uint16_t flag_leaving = 2;
constexpr std::uint16_t flag_has_echo = 4;
constexpr std::uint32_t slots_per_word = 64;
// A peer that was not heard for this many intervals is not given loans.
constexpr double candidate_intervals = 2.2;
// Rounds outside the interval are at least this far apart.
constexpr duration extra_round_gap = milliseconds(20);
// A peer that left is forgotten after any loan to or from it has ended.
constexpr duration status_lifetime = seconds(60);

bool lists(const wire::heartbeat_fields& fields, std::uint32_t slot) {
    const std::uint64_t word =
        slot < slots_per_word ? fields.lent_slots_low() : fields.lent_slots_high();
    return ((word >> (slot % slots_per_word)) & 1U) != 0;
}

} // namespace

loan_keeper::loan_keeper(loop& event_loop, mesh& peer_mesh, seat_keeper& keeper,
                         const loan_keeper_options& keeper_options)
    : owner(event_loop), network(peer_mesh), seats(keeper), options(keeper_options),
      epoch(boot_clock::now()), slots(slot_count), choices(slot_count) {
    this->book.slots.resize(slot_count);
    for (slot_limiter& one : this->slots) {
        one.share_changed_at = this->epoch;
    }
}

void loan_keeper::start() {
    this->beat_all();
    this->rounds =
        this->owner.every(this->options.heartbeat_interval, [this] { this->beat_all(); });
}

void loan_keeper::set_leaving() {
    this->leaving = true;
    this->beat_soon();
}

std::uint32_t loan_keeper::stamp_of(time_point moment) const {
    return static_cast<std::uint32_t>(to_milliseconds(moment - this->epoch));
}

time_point loan_keeper::moment_of(std::uint32_t stamp, time_point now) const {
    const std::uint32_t age = this->stamp_of(now) - stamp;
    return now - milliseconds(age) - milliseconds(1);
}

bool loan_keeper::is_candidate(const peer_status& peer, time_point now) const {
    const duration limit =
        from_seconds(to_seconds(this->options.heartbeat_interval) * candidate_intervals);
    return peer.connected && !peer.leaving && now - peer.last_heard < limit;
}

std::vector<peer_info> loan_keeper::candidates(time_point now) const {
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

std::vector<peer_info> loan_keeper::ranked(slot_id id) const {
    std::map<instance_id, peer_info> by_name;
    std::vector<instance_id> names;
    for (const peer_info& candidate : this->candidates(boot_clock::now())) {
        by_name[candidate.instance] = candidate;
    }
    names.reserve(by_name.size());
    for (const auto& [name, info] : by_name) {
        names.push_back(name);
    }
    std::vector<peer_info> ordered;
    for (const instance_id& name : rank_instances(id, names)) {
        ordered.push_back(by_name.at(name));
    }
    return ordered;
}

void loan_keeper::choose(time_point now) {
    const std::vector<peer_info> able = this->candidates(now);
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        incarnation_id best;
        std::uint64_t best_weight = 0;
        for (const peer_info& candidate : able) {
            const std::uint64_t weight = placement_weight(slot_id{i}, candidate.instance);
            if (best.value == 0 || weight > best_weight) {
                best = candidate.incarnation;
                best_weight = weight;
            }
        }
        this->choices[i] = best;
    }
}

void loan_keeper::beat_all() {
    const time_point now = boot_clock::now();
    this->last_round = now;
    this->soon_planned = false;
    std::erase_if(this->statuses, [now](const auto& item) {
        return !item.second.connected && now - item.second.last_heard > status_lifetime;
    });
    this->choose(now);
    this->lend_to_self(now);
    for (const auto& [incarnation, peer] : this->statuses) {
        if (peer.connected) {
            this->beat(incarnation, now);
        }
    }
}

void loan_keeper::beat_now(incarnation_id to) {
    const auto found = this->statuses.find(to);
    if (found != this->statuses.end() && found->second.connected) {
        this->beat(to, boot_clock::now());
    }
}

void loan_keeper::beat_soon() {
    if (this->soon_planned) {
        return;
    }
    this->soon_planned = true;
    const duration passed = boot_clock::now() - this->last_round;
    this->soon = this->owner.after(std::max<duration>(extra_round_gap - passed, milliseconds(1)),
                                   [this] { this->beat_all(); });
}

void loan_keeper::lend_to_self(time_point now) {
    const incarnation_id self = this->network.self().incarnation;
    ++this->sequence;
    const auto listed =
        issue_leases(this->book, self, this->choices, this->sequence, this->options.times, now);
    const int lent = this->seats.lendable_seats(now);
    std::vector<bool> is_listed(slot_count, false);
    for (const slot_id id : listed) {
        is_listed[id.value] = true;
    }
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        slot_limiter& one = this->slots[i];
        if (one.leases.empty()) {
            one.total_seats = this->total_seats();
        }
        if (is_listed[i] || one.leases.contains(self)) {
            set_lease(one, self, {is_listed[i] ? lent : 0, now + this->options.times.length}, now);
        }
    }
    record_acknowledgement(this->book, self, this->sequence, now);
}

void loan_keeper::beat(incarnation_id to, time_point now) {
    const peer_status& peer = this->statuses.at(to);
    ++this->sequence;
    std::uint64_t words[2] = {0, 0};
    for (const slot_id id :
         issue_leases(this->book, to, this->choices, this->sequence, this->options.times, now)) {
        words[id.value / slots_per_word] |= std::uint64_t{1} << (id.value % slots_per_word);
    }
    std::uint16_t flags = this->own_vouch() ? flag_vouches : 0;
    flags |= this->leaving ? flag_leaving : 0;
    flags |= peer.processed != 0 ? flag_has_echo : 0;
    const wire::heartbeat_fields fields(
        this->network.self().incarnation.value, this->own_number().value, words[0], words[1],
        this->sequence, peer.processed, this->stamp_of(now), peer.stamp,
        static_cast<std::uint16_t>(this->seats.lendable_seats(now)),
        static_cast<std::uint16_t>(this->seats.voting_seats(now)), flags, std::uint16_t{0});
    this->network.send_heartbeat(to, fields);
}

void loan_keeper::handle_heartbeat(const peer_info& from, const wire::heartbeat_fields& fields) {
    const time_point now = boot_clock::now();
    const auto found = this->statuses.find(from.incarnation);
    if (found == this->statuses.end()) {
        return;
    }
    peer_status& peer = found->second;
    const bool was_candidate = this->is_candidate(peer, now);
    if (record_acknowledgement(this->book, from.incarnation, fields.acknowledged(), now) > 0) {
        this->beat_soon();
    }
    if (fields.sequence() <= peer.processed) {
        return;
    }
    peer.processed = fields.sequence();
    peer.last_heard = now;
    peer.stamp = fields.sent_ms();
    peer.leaving = (fields.flags() & flag_leaving) != 0;
    peer.vouches = (fields.flags() & flag_vouches) != 0;
    peer.number.value = fields.config_number();
    peer.held_seats = fields.held_seats();
    peer.lent_seats = fields.lent_seats();
    if ((fields.flags() & flag_has_echo) != 0) {
        const time_point echoed = this->moment_of(fields.echo_ms(), now);
        peer.as_of = echoed;
        this->take_loans(peer, fields, echoed + this->options.times.length, now);
    }
    if (was_candidate != this->is_candidate(peer, now)) {
        this->beat_soon();
    }
}

void loan_keeper::take_loans(peer_status& from, const wire::heartbeat_fields& fields,
                             time_point until, time_point now) {
    bool ended = false;
    const incarnation_id lender = from.info.incarnation;
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        slot_limiter& one = this->slots[i];
        if (lists(fields, i)) {
            if (one.leases.empty()) {
                one.total_seats = this->total_seats();
            }
            set_lease(one, lender, {fields.lent_seats(), until}, now);
        } else if (one.leases.contains(lender)) {
            set_lease(one, lender, {0, until}, now);
            ended = true;
        }
    }
    if (ended) {
        // The lender waits for this acknowledgement before it lends to another instance.
        this->beat(lender, now);
    }
}

void loan_keeper::peer_connected(const peer_info& peer) {
    peer_status& status = this->statuses[peer.incarnation];
    status.info = peer;
    status.connected = true;
    this->beat_soon();
}

void loan_keeper::peer_disconnected(const peer_info& peer) {
    const auto found = this->statuses.find(peer.incarnation);
    if (found != this->statuses.end()) {
        found->second.connected = false;
        this->beat_soon();
    }
}

std::vector<config_confirmation> loan_keeper::vouchers(time_point now) const {
    std::vector<config_confirmation> all;
    all.push_back({this->seats.voting_seats(now), this->own_number(), this->own_vouch(), now});
    for (const auto& [incarnation, peer] : this->statuses) {
        if (peer.as_of) {
            all.push_back({peer.held_seats, peer.number, peer.vouches, *peer.as_of});
        }
    }
    return all;
}

} // namespace knapweedknot
