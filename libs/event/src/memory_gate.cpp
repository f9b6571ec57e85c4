#include "event/memory_gate.h"

#include <algorithm>

#include <malloc.h>

namespace knapweedknot {

namespace {

// Reading goes on this soon after bytes were given back.
constexpr duration check_interval = milliseconds(50);
// While nothing is given back, one holder is rejected in each of so many checks.
constexpr int checks_per_relief = 2;
constexpr int checks_per_progress_note = 4;
// The allocator keeps freed memory; it is asked to return it after so many bytes.
constexpr std::uint64_t trim_bytes = std::uint64_t{8} * 1024 * 1024;
constexpr int checks_per_trim = 20;

} // namespace

bool take_for_reading(memory_share& share, std::size_t held) noexcept {
    const std::size_t needed = held + bytes_per_read;
    if (needed <= share.bytes()) {
        return true;
    }
    const bool is_small = needed <= memory_step_bytes;
    return share.grow_to(is_small ? needed : needed + memory_step_bytes - bytes_per_read);
}

memory_gate::memory_gate(loop& owner, const memory_limits& budget)
    : bytes(budget), check_timer(owner.every(check_interval, [this] { this->check(); })) {}

void memory_gate::wait(memory_waiter& waiter) {
    this->waiters.push_back(&waiter);
    this->decisions.record(pressure_decision::paused);
}

void memory_gate::stop_waiting(memory_waiter& waiter) {
    std::erase(this->waiters, &waiter);
}

void memory_gate::check() {
    ++this->checks;
    if (this->checks % checks_per_progress_note == 0 && this->note_progress &&
        this->bytes.held(memory_use::sending) > 0) {
        this->note_progress();
    }
    this->resume_waiters();
    if (this->checks % checks_per_relief == 0) {
        const std::uint64_t given_back = this->bytes.given_back();
        const bool is_stuck = given_back == this->given_back_before;
        this->given_back_before = given_back;
        if (is_stuck && !this->waiters.empty() && this->relieve) {
            this->relieve(std::any_of(this->waiters.begin(), this->waiters.end(),
                                      [](const auto* waiter) { return waiter->is_response(); }));
        }
    }
    this->trim_if_due();
}

/// Lets those go on that get their bytes: responses first, then those that have come farthest.
void memory_gate::resume_waiters() {
    std::sort(this->waiters.begin(), this->waiters.end(),
              [](const memory_waiter* left, const memory_waiter* right) {
                  return std::pair(left->is_response(), left->held_bytes()) >
                         std::pair(right->is_response(), right->held_bytes());
              });
    std::erase_if(this->waiters, [this](memory_waiter* waiter) {
        const bool resumes = waiter->try_to_resume();
        if (resumes) {
            this->decisions.record(pressure_decision::resumed);
        }
        return resumes;
    });
}

void memory_gate::trim_if_due() {
    if (this->checks % checks_per_trim != 0 ||
        this->bytes.given_back() - this->trimmed_at < trim_bytes) {
        return;
    }
    this->trimmed_at = this->bytes.given_back();
    malloc_trim(0);
}

} // namespace knapweedknot
