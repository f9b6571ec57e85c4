#pragma once

#include <cstddef>

#include "base/clock.h"

/// \file
/// Whether a peer still takes the bytes that were written to its connection.

namespace knapweedknot::detail {

/// The last change of the bytes that a peer has not taken. Not thread safe.
struct delivery_progress {
    std::size_t outstanding_bytes{0};
    time_point changed_at;

    /// Starts with \p outstanding bytes that the peer has not taken at \p now.
    void restart(std::size_t outstanding, time_point now) noexcept {
        this->outstanding_bytes = outstanding;
        this->changed_at = now;
    }
    /// Notes that the peer has not taken \p outstanding bytes at \p now.
    void note(std::size_t outstanding, time_point now) noexcept {
        if (outstanding != this->outstanding_bytes) {
            this->restart(outstanding, now);
        }
    }
    /// Time for which nothing was taken, as of the last call to note().
    [[nodiscard]] duration unchanged_for(time_point now) const noexcept {
        return now - this->changed_at;
    }
};

} // namespace knapweedknot::detail
