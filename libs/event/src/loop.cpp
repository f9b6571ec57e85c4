#include "event/loop.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <event2/event.h>

namespace knapweedknot {

namespace {

timeval to_timeval(duration value) {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    constexpr long long micros_per_second = 1'000'000;
    return {static_cast<time_t>(micros / micros_per_second),
            static_cast<suseconds_t>(micros % micros_per_second)};
}

void run_posted(evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
    const std::unique_ptr<std::function<void()>> callback(
        static_cast<std::function<void()>*>(argument));
    (*callback)();
}

} // namespace

struct timer::state {
    std::unique_ptr<event, detail::event_deleter> registration;
    std::function<void()> callback;

    static void fire(evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        // The callback may destroy this timer and with it the stored function, so run a copy.
        const std::function<void()> copy = static_cast<state*>(argument)->callback;
        copy();
    }
};

void timer::state_deleter::operator()(state* owned) const noexcept {
    delete owned;
}

void detail::event_deleter::operator()(event* owned) const noexcept {
    event_free(owned);
}

void detail::event_base_deleter::operator()(event_base* owned) const noexcept {
    event_base_free(owned);
}

loop::loop() {
    // Writing to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    using config_ptr = std::unique_ptr<event_config, decltype(&event_config_free)>;
    const config_ptr config(event_config_new(), &event_config_free);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    this->base.reset(event_base_new_with_config(config.get()));
    if (this->base == nullptr) {
        throw std::runtime_error("cannot create an event loop");
    }
}

void loop::run() {
    event_base_loop(this->base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void loop::stop() {
    event_base_loopbreak(this->base.get());
}

timer loop::every(duration interval, std::function<void()> callback) {
    return this->make_timer(-1, EV_PERSIST, interval, std::move(callback));
}

timer loop::after(duration delay, std::function<void()> callback) {
    return this->make_timer(-1, 0, delay, std::move(callback));
}

timer loop::on_signal(int signal, std::function<void()> callback) {
    return this->make_timer(signal, EV_SIGNAL | EV_PERSIST, duration::zero(), std::move(callback));
}

void loop::post(std::function<void()> callback) {
    const timeval now{0, 0};
    auto owned = std::make_unique<std::function<void()>>(std::move(callback));
    event_base_once(this->base.get(), -1, EV_TIMEOUT, &run_posted, owned.release(), &now);
}

timer loop::make_timer(int signal_or_none, short flags, duration interval,
                       std::function<void()> callback) {
    timer created;
    created.owned.reset(new timer::state{});
    created.owned->callback = std::move(callback);
    created.owned->registration.reset(event_new(this->base.get(), signal_or_none, flags,
                                                &timer::state::fire, created.owned.get()));
    const timeval delay = to_timeval(interval);
    event_add(created.owned->registration.get(), signal_or_none >= 0 ? nullptr : &delay);
    return created;
}

} // namespace knapweedknot
