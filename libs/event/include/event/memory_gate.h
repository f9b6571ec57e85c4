#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/memory_account.h"
#include "event/loop.h"
#include "event/pressure_counts.h"

/// \file
/// Connections that share a budget of bytes, and those of them that wait for some.

namespace knapweedknot {

/// A connection that reads no more until it gets bytes.
class memory_waiter {
public:
    memory_waiter() = default;
    memory_waiter(const memory_waiter&) = delete;
    memory_waiter& operator=(const memory_waiter&) = delete;
    virtual ~memory_waiter() = default;

    /// Goes on if it gets the bytes that it needs; returns whether it does. Must not end itself or
    /// another waiter.
    virtual bool try_to_resume() = 0;
    /// Bytes that it holds.
    [[nodiscard]] virtual std::size_t held_bytes() const = 0;
    /// Whether it reads a target's response, which the target does not offer for long.
    [[nodiscard]] virtual bool is_response() const = 0;
};

/// Bytes that a connection takes ahead of what it reads, so that it seldom has to ask.
inline constexpr std::size_t memory_step_bytes = std::size_t{64} * 1024;
/// Most bytes that a connection reads at once, of libevent's bufferevents.
inline constexpr std::size_t bytes_per_read = std::size_t{16} * 1024;

/// Takes bytes for a holder that has \p held bytes and reads on. Returns whether it may.
[[nodiscard]] bool take_for_reading(memory_share& share, std::size_t held) noexcept;

/// The account of a process, the connections that wait for bytes, and the count of decisions. Must
/// outlive the connections. Not thread safe.
class memory_gate {
public:
    memory_gate(loop& owner, const memory_limits& budget);

    [[nodiscard]] memory_account& account() noexcept { return this->bytes; }
    [[nodiscard]] const memory_account& account() const noexcept { return this->bytes; }
    /// Lets \p waiter go on once there is room.
    void wait(memory_waiter& waiter);
    /// Has no effect for a connection that does not wait.
    void stop_waiting(memory_waiter& waiter);

    /// Makes room when nothing was given back for a while: rejects one holder. The flag says
    /// whether responses wait, too.
    std::function<void(bool responses_wait)> relieve;
    /// Called from time to time while responses are held for callers.
    std::function<void()> note_progress;

    [[nodiscard]] const pressure_counts& counts() const noexcept { return this->decisions; }
    [[nodiscard]] std::size_t waiting() const noexcept { return this->waiters.size(); }

private:
    void check();
    void resume_waiters();
    void trim_if_due();

    memory_account bytes;
    std::vector<memory_waiter*> waiters;
    pressure_counts decisions;
    std::uint64_t given_back_before{0};
    std::uint64_t trimmed_at{0};
    int checks{0};
    timer check_timer;
};

} // namespace knapweedknot
