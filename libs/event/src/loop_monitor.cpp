#include "event/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace knapweedknot {

namespace {

constexpr duration look_interval = milliseconds(200);

} // namespace

loop_monitor::loop_monitor(loop& owner)
    : expected(boot_clock::now() + look_interval),
      looking(owner.every(look_interval, [this] { this->look(); })) {}

void loop_monitor::look() {
    const time_point now = boot_clock::now();
    this->worst = std::max<duration>(this->worst, now - this->expected);
    this->expected = now + look_interval;
}

duration loop_monitor::take_worst() noexcept {
    return std::exchange(this->worst, duration::zero());
}

} // namespace knapweedknot
