#include "decide/lease_table.h"

#include <algorithm>
#include <cassert>

namespace knapweedknot {

namespace {

/// Expiry of a lease by the issuer's clock, allowing for a broker whose clock runs slow.
time_point lease_expiry(const lease_times& times, time_point now) {
    return now + from_seconds(to_seconds(times.length) * (1 + times.max_clock_drift));
}

bool is_free(const slot_lease& slot, time_point now) {
    return !slot.broker.has_value() || slot.expires <= now;
}

void release(slot_lease& slot, time_point now) {
    slot.broker.reset();
    slot.expires = now;
    slot.revoking_sequence.reset();
}

} // namespace

std::vector<slot_id> issue_leases(lease_table& table, incarnation_id broker,
                                  const std::vector<incarnation_id>& brokers,
                                  std::uint32_t sequence, const lease_times& times,
                                  time_point now) {
    assert(brokers.size() == table.slots.size());
    std::vector<slot_id> listed;
    for (std::uint32_t i = 0; i < brokers.size(); ++i) {
        slot_lease& slot = table.slots[i];
        const bool is_current = slot.broker == broker;
        if (brokers[i] != broker) {
            if (is_current && !slot.revoking_sequence) {
                slot.revoking_sequence = sequence;
            }
            continue;
        }
        if (!is_current && !is_free(slot, now)) {
            continue;
        }
        slot.broker = broker;
        slot.expires = lease_expiry(times, now);
        slot.revoking_sequence.reset();
        listed.push_back(slot_id{i});
    }
    return listed;
}

std::size_t record_acknowledgement(lease_table& table, incarnation_id broker,
                                   std::uint32_t sequence, time_point now) {
    std::size_t freed = 0;
    for (slot_lease& slot : table.slots) {
        if (slot.broker == broker && slot.revoking_sequence &&
            *slot.revoking_sequence <= sequence) {
            release(slot, now);
            ++freed;
        }
    }
    return freed;
}

std::size_t release_leases(lease_table& table, incarnation_id broker, time_point now) {
    std::size_t freed = 0;
    for (slot_lease& slot : table.slots) {
        if (slot.broker == broker) {
            release(slot, now);
            ++freed;
        }
    }
    return freed;
}

time_point latest_expiry(const lease_table& table, time_point now) {
    time_point latest = now;
    for (const slot_lease& slot : table.slots) {
        if (slot.broker) {
            latest = std::max(latest, slot.expires);
        }
    }
    return latest;
}

} // namespace knapweedknot
