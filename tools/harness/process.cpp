#include "process.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-identifier-naming)

namespace knapweedknot::harness {

namespace {

constexpr int log_mode = 0644;

std::string read_proc_file(pid_t pid, const char* name) {
    const std::ifstream file("/proc/" + std::to_string(pid) + '/' + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

process::process(const std::vector<std::string>& arguments, const std::string& log_path) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    const int failed = posix_spawn(&this->pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + arguments[0]);
    }
}

process::~process() {
    this->kill();
}

process::process(process&& other) noexcept
    : pid(std::exchange(other.pid, -1)), status(other.status) {}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        this->kill();
        this->pid = std::exchange(other.pid, -1);
        this->status = other.status;
    }
    return *this;
}

void process::signal(int number) const {
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

void process::kill() {
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, &this->status, 0);
        this->pid = -1;
    }
}

bool process::has_ended() {
    if (this->pid > 0 && waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
        this->pid = -1;
    }
    return this->pid <= 0;
}

double process::cpu_seconds() const {
    const std::string stat = read_proc_file(this->pid, "stat");
    const std::size_t after_name = stat.rfind(')');
    if (after_name == std::string::npos) {
        return 0;
    }
    // utime and stime are fields 14 and 15 of proc(5) stat; the text starts at field 3, the state.
    std::istringstream fields(stat.substr(after_name + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double process::resident_bytes() const {
    std::istringstream fields(read_proc_file(this->pid, "statm"));
    double total = 0;
    double resident = 0;
    fields >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace knapweedknot::harness
