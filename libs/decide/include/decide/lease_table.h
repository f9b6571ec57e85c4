#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Quota leases that one seat holder has issued: for each slot, the broker that may use the share
/// of this instance's seats. Leases are called loans in settings.
///
/// A share is leased to one broker at a time. It is leased to another broker only after the earlier
/// lease has ended for certain: it has expired, or its broker has acknowledged a later message that
/// no longer lists the slot. Clocks of different instances are never compared: the broker counts
/// the lease from its own time stamp, which the issuer echoes, and the issuer counts from the time
/// at which it sends the echo, which is later.
///
/// Functions modify only their first argument. Not thread safe.

namespace knapweedknot {

/// Timing of quota leases.
struct lease_times {
    /// Length of a lease at the broker, counted from its echoed time stamp.
    duration length{milliseconds(1800)};
    /// Greatest difference between the rates of two clocks, as a fraction.
    double max_clock_drift{0.01};
};

/// Lease on the share of one slot.
struct slot_lease {
    /// Broker that may still use the share; empty when the share is free.
    std::optional<incarnation_id> broker;
    /// Time by the issuer's clock at which the lease has expired at the broker for certain.
    time_point expires;
    /// First message to the broker that did not list the slot; empty while the slot is listed.
    std::optional<std::uint32_t> revoking_sequence;
};

/// Leases of one issuer.
struct lease_table {
    /// By slot number.
    std::vector<slot_lease> slots;
};

/// Selects the slots that the next message to \p broker lists, and records their leases as issued
/// or renewed.
/// \param brokers the intended broker of each slot
/// \param sequence number of the message, greater than that of all earlier ones to this broker
/// \return the listed slots; if the message is not sent, their leases still count until they expire
/// \pre brokers has one entry for each slot
[[nodiscard]] std::vector<slot_id> issue_leases(lease_table& table, incarnation_id broker,
                                                const std::vector<incarnation_id>& brokers,
                                                std::uint32_t sequence, const lease_times& times,
                                                time_point now);

/// Records that \p broker has processed the message \p sequence. Shares of slots that this message
/// no longer listed become free. Returns the number of slots freed.
std::size_t record_acknowledgement(lease_table& table, incarnation_id broker,
                                   std::uint32_t sequence, time_point now);

/// Releases the leases of \p broker, whose process has ended for certain. Returns the number of
/// slots freed.
std::size_t release_leases(lease_table& table, incarnation_id broker, time_point now);

/// Time at which all current leases have expired, or \p now when there are none.
[[nodiscard]] time_point latest_expiry(const lease_table& table, time_point now);

} // namespace knapweedknot
