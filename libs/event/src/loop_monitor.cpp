#include "event/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace knapweedknot {

namespace {

constexpr duration probe_interval = milliseconds(200);

} // namespace

loop_monitor::loop_monitor(loop& owner)
    : expected(boot_clock::now() + probe_interval),
      probe_timer(owner.every(probe_interval, [this] { this->measure(); })) {}

void loop_monitor::measure() {
    const time_point now = boot_clock::now();
    this->max_lateness = std::max<duration>(this->max_lateness, now - this->expected);
    this->expected = now + probe_interval;
}

duration loop_monitor::take_max_lateness() noexcept {
    return std::exchange(this->max_lateness, duration::zero());
}

} // namespace knapweedknot
