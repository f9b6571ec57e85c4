#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "base/clock.h"

struct event;
struct event_base;

/// \file
/// The event loop of a process, its timers and its signals, over libevent.

namespace knapweedknot {

namespace detail {
struct event_deleter {
    void operator()(event* owned) const noexcept;
};
struct event_base_deleter {
    void operator()(event_base* owned) const noexcept;
};
} // namespace detail

/// A callback that runs later. Destroying the timer cancels it. Not thread safe; lives on the
/// thread of its loop and not longer than the loop.
class timer {
public:
    timer() = default;
    /// True while the callback is still to run, or for a repeated one until it is cancelled.
    explicit operator bool() const noexcept { return this->owned != nullptr; }

private:
    friend class loop;
    struct state;
    struct state_deleter {
        void operator()(state* owned) const noexcept;
    };
    std::unique_ptr<state, state_deleter> owned;
};

/// One event loop on one thread. Everything registered with it runs on the thread that calls run.
class loop {
public:
    loop();

    /// Runs until stop is called.
    void run();
    /// Makes run return after the current callbacks.
    void stop();
    /// Runs \p callback every \p interval until the timer is destroyed.
    [[nodiscard]] timer every(duration interval, std::function<void()> callback);
    /// Runs \p callback once after \p delay, unless the timer is destroyed before.
    [[nodiscard]] timer after(duration delay, std::function<void()> callback);
    /// Runs \p callback once in the next round of the loop.
    void post(std::function<void()> callback);
    /// Runs \p callback whenever the process receives \p signal.
    [[nodiscard]] timer on_signal(int signal, std::function<void()> callback);
    /// The libevent handle, owned by the loop.
    [[nodiscard]] event_base* handle() const noexcept { return this->base.get(); }

private:
    [[nodiscard]] timer make_timer(int signal_or_none, short flags, duration interval,
                                   std::function<void()> callback);

    std::unique_ptr<event_base, detail::event_base_deleter> base;
};

} // namespace knapweedknot
