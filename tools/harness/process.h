#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

/// \file
/// Child processes of benchmarks and system tests.

namespace knapweedknot::harness {

/// A child process. The destructor kills and reaps it. Not thread safe.
class process {
public:
    /// Starts the program \p arguments[0]; its output and standard error are appended to \p
    /// log_path. Throws std::runtime_error when it cannot be started.
    process(const std::vector<std::string>& arguments, const std::string& log_path);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Sends the signal \p number; does nothing after the process was reaped.
    void signal(int number) const;
    /// Sends SIGKILL and reaps the process.
    void kill();
    /// True when the process has ended, which also reaps it.
    [[nodiscard]] bool has_ended();
    /// True until the process is reaped.
    [[nodiscard]] bool is_running() const noexcept { return this->pid > 0; }
    [[nodiscard]] pid_t id() const noexcept { return this->pid; }
    /// Wait status as of waitpid(2); valid once has_ended() has returned true.
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
