#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

/// \file
/// Child processes of benches and system tests. The product itself starts none.

namespace knapweedknot::harness {

/// A running program. Killed and reaped when destroyed. Not thread safe.
class process {
public:
    /// Starts \p arguments[0]; standard error goes to \p log_path.
    process(const std::vector<std::string>& arguments, const std::string& log_path);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const;
    /// Kills it at once and reaps it.
    void kill();
    /// True when it has ended; then it is reaped.
    [[nodiscard]] bool has_ended();
    [[nodiscard]] bool is_running() const noexcept { return this->pid > 0; }
    /// Exit status once has_ended() was true.
    [[nodiscard]] int exit_status() const noexcept { return this->status; }
    /// Processor time used so far, in seconds.
    [[nodiscard]] double cpu_seconds() const;
    /// Resident memory in bytes.
    [[nodiscard]] double resident_bytes() const;

private:
    pid_t pid{-1};
    int status{0};
};

} // namespace knapweedknot::harness
