#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// The lender's side of loans: to whom a seat holder lends its seats' share of each slot.
///
/// A share is lent to one borrower at a time. It goes to another one only when the earlier loan
/// has surely ended: its time has passed, or the borrower has acknowledged a later message that no
/// longer lists the slot. Clocks of different instances are never compared: a borrower counts the
/// loan from its own time stamp that the lender echoes, and the lender from its later send.
///
/// All functions are pure but for their first argument. Not thread safe.

namespace knapweedknot {

/// Times of the loan protocol.
struct loan_times {
    /// Length of a loan at the borrower, counted from its echoed time stamp.
    duration length{milliseconds(1800)};
    /// Greatest difference between the rates of two clocks, as a share.
    double drift{0.01};
};

/// Where the share of one slot is.
struct slot_lending {
    /// Who may still hold the share; nothing when it is free.
    std::optional<incarnation_id> borrower;
    /// When the loan has surely ended.
    time_point until;
    /// First message to the borrower that did not list the slot; nothing while it is listed.
    std::optional<std::uint32_t> recalled_by;
};

/// All slots of one lender.
struct loan_book {
    std::vector<slot_lending> slots;
};

/// Decides which slots the next message to \p borrower lists, and notes the loans as made.
/// \param choices for each slot the instance that should broker it
/// \param sequence number of the message, greater than that of all earlier ones to this borrower
/// \return the listed slots; the message must be sent, or its loss is waited out
/// \pre choices has one entry for each slot
[[nodiscard]] std::vector<slot_id> lend(loan_book& book, incarnation_id borrower,
                                        const std::vector<incarnation_id>& choices,
                                        std::uint32_t sequence, const loan_times& times,
                                        time_point now);

/// Notes that \p borrower has acted on the message \p sequence. Slots that it did not list are
/// free at once. Returns how many became free.
std::size_t acknowledge(loan_book& book, incarnation_id borrower, std::uint32_t sequence,
                        time_point now);

/// Notes that the process \p borrower has ended for certain. Returns how many slots became free.
std::size_t forget_borrower(loan_book& book, incarnation_id borrower, time_point now);

/// When the share of every slot that is lent now has surely ended, if no more is lent.
[[nodiscard]] time_point last_end(const loan_book& book, time_point now);

} // namespace knapweedknot
