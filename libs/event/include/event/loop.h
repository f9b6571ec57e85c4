#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "base/clock.h"

struct event;
struct event_base;

/// \file
/// An event loop with timers and signal handlers, over libevent.

namespace knapweedknot {

namespace detail {
struct event_deleter {
    void operator()(event* owned) const noexcept;
};
struct event_base_deleter {
    void operator()(event_base* owned) const noexcept;
};
} // namespace detail

/// Handle of a scheduled callback or a signal handler; destroying it cancels the callback. Not
/// thread safe: use it only on the thread of its loop, and destroy it before the loop.
class timer {
public:
    timer() = default;
    /// True from scheduling until the handle is reset; it stays true after a one-shot callback ran.
    explicit operator bool() const noexcept { return this->owned != nullptr; }

private:
    friend class loop;
    struct state;
    struct state_deleter {
        void operator()(state* owned) const noexcept;
    };
    std::unique_ptr<state, state_deleter> owned;
};

/// A single-threaded event loop. All callbacks run on the thread that calls run.
class loop {
public:
    loop();

    /// Runs until stop is called.
    void run();
    /// Makes run return after the current callback.
    void stop();
    /// Runs \p callback every \p interval until the timer is destroyed.
    [[nodiscard]] timer every(duration interval, std::function<void()> callback);
    /// Runs \p callback once after \p delay, unless the timer is destroyed before.
    [[nodiscard]] timer after(duration delay, std::function<void()> callback);
    /// Runs \p callback once in the next iteration of the loop. It cannot be cancelled.
    void post(std::function<void()> callback);
    /// Runs \p callback for each \p signal that the process receives, until the timer is destroyed.
    [[nodiscard]] timer on_signal(int signal, std::function<void()> callback);
    /// The libevent handle, owned by the loop.
    [[nodiscard]] event_base* handle() const noexcept { return this->base.get(); }

private:
    [[nodiscard]] timer make_timer(int signal_or_none, short flags, duration interval,
                                   std::function<void()> callback);

    std::unique_ptr<event_base, detail::event_base_deleter> base;
};

} // namespace knapweedknot
