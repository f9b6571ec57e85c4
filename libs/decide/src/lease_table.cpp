#include "decide/lease_table.h"

#include <algorithm>
#include <cassert>

namespace knapweedknot {

namespace {

/// End of a loan by the lender's clock, allowing for a borrower whose clock runs slow.
time_point end_of_loan(const loan_times& times, time_point now) {
    return now + from_seconds(to_seconds(times.length) * (1 + times.drift));
}

bool is_free(const slot_lending& slot, time_point now) {
    return !slot.borrower.has_value() || slot.until <= now;
}

void release(slot_lending& slot, time_point now) {
    slot.borrower.reset();
    slot.until = now;
    slot.recalled_by.reset();
}

} // namespace

std::vector<slot_id> lend(loan_book& book, incarnation_id borrower,
                          const std::vector<incarnation_id>& choices, std::uint32_t sequence,
                          const loan_times& times, time_point now) {
    assert(choices.size() == book.slots.size());
    std::vector<slot_id> listed;
    for (std::uint32_t i = 0; i < choices.size(); ++i) {
        slot_lending& slot = book.slots[i];
        const bool holds = slot.borrower == borrower;
        if (choices[i] != borrower) {
            if (holds && !slot.recalled_by) {
                slot.recalled_by = sequence;
            }
            continue;
        }
        if (!holds && !is_free(slot, now)) {
            continue;
        }
        slot.borrower = borrower;
        slot.until = end_of_loan(times, now);
        slot.recalled_by.reset();
        listed.push_back(slot_id{i});
    }
    return listed;
}

std::size_t acknowledge(loan_book& book, incarnation_id borrower, std::uint32_t sequence,
                        time_point now) {
    std::size_t freed = 0;
    for (slot_lending& slot : book.slots) {
        if (slot.borrower == borrower && slot.recalled_by && *slot.recalled_by <= sequence) {
            release(slot, now);
            ++freed;
        }
    }
    return freed;
}

std::size_t forget_borrower(loan_book& book, incarnation_id borrower, time_point now) {
    std::size_t freed = 0;
    for (slot_lending& slot : book.slots) {
        if (slot.borrower == borrower) {
            release(slot, now);
            ++freed;
        }
    }
    return freed;
}

time_point last_end(const loan_book& book, time_point now) {
    time_point last = now;
    for (const slot_lending& slot : book.slots) {
        if (slot.borrower) {
            last = std::max(last, slot.until);
        }
    }
    return last;
}

} // namespace knapweedknot
