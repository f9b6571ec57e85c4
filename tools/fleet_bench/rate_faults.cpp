#include "benches.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

#include "executions.h"
#include "fleet.h"
#include "load_generator.h"

namespace knapweedknot::bench {

namespace {

constexpr int account_count = 8;
constexpr int large_accounts = 2;
constexpr double small_rate = 20;
constexpr double large_rate = 200;
constexpr double small_burst = 20;
constexpr double large_burst = 100;
// Offered load of a normal account, as a fraction of its rate.
constexpr double normal_load_factor = 0.7;
// Offered load of the last account, as a multiple of its rate.
constexpr double overload_factor = 5;
constexpr duration fault_duration = seconds(10);
constexpr duration restart_delay = seconds(3);

struct account_load {
    std::string name;
    double rate;
    double burst;
    double offered_rate;
    [[nodiscard]] bool is_overloaded() const { return this->offered_rate > this->rate; }
};

std::vector<account_load> make_account_loads() {
    std::vector<account_load> account_loads;
    for (int i = 0; i < account_count; ++i) {
        const bool is_large = i < large_accounts;
        const double rate = is_large ? large_rate : small_rate;
        const double load_factor = i + 1 == account_count ? overload_factor : normal_load_factor;
        account_loads.push_back({"account-" + std::to_string(i), rate,
                                 is_large ? large_burst : small_burst, rate * load_factor});
    }
    return account_loads;
}

/// A seeded schedule of faults: kills with a restart, suspended processes and one-way partitions.
class fault_schedule {
public:
    fault_schedule(harness::fleet& running, const bench_options& options)
        : fleet(running), random(options.seed), count(options.instances) {}

    void start(int seconds) {
        std::uniform_int_distribution<int> kind(0, 3);
        std::uniform_int_distribution<int> which(0, this->count - 1);
        for (int at = 10; at + 5 < seconds; at += 6) {
            const int instance = which(this->random);
            const int other = which(this->random);
            const int fault = kind(this->random);
            this->timers.push_back(this->fleet.events().after(
                std::chrono::seconds(at),
                [this, fault, instance, other] { this->inject_fault(fault, instance, other); }));
        }
    }

private:
    void inject_fault(int fault, int instance, int other) {
        if (fault <= 1) {
            std::printf("  kill instance-%d\n", instance);
            this->fleet.instance(instance).kill();
            this->timers.push_back(this->fleet.events().after(
                restart_delay, [this, instance] { this->fleet.start_instance(instance); }));
        } else if (fault == 2) {
            std::printf("  freeze instance-%d\n", instance);
            this->fleet.instance(instance).signal(SIGSTOP);
            this->timers.push_back(this->fleet.events().after(fault_duration, [this, instance] {
                this->fleet.instance(instance).signal(SIGCONT);
            }));
        } else {
            std::printf("  cut instance-%d to instance-%d\n", instance, other);
            const auto direction =
                std::pair(this->fleet.instance_ip(instance), this->fleet.instance_ip(other));
            this->fleet.blocked().insert(direction);
            this->timers.push_back(this->fleet.events().after(
                fault_duration, [this, direction] { this->fleet.blocked().erase(direction); }));
        }
        std::fflush(stdout);
    }

    harness::fleet& fleet;
    std::mt19937_64 random;
    int count;
    std::vector<timer> timers;
};

struct response_counts {
    std::size_t sent{0};
    std::size_t refused{0};
    std::size_t unanswered{0};
    [[nodiscard]] double refused_percentage() const {
        return this->sent == 0
                   ? 0
                   : static_cast<double>(this->refused) / static_cast<double>(this->sent) * 100;
    }
};

response_counts count_responses(const harness::load_generator& callers) {
    response_counts counted;
    for (const harness::request_record& record : callers.records()) {
        ++counted.sent;
        counted.refused += record.status == 429 || record.status == 503 ? 1 : 0;
        counted.unanswered += record.status == 0 ? 1 : 0;
    }
    return counted;
}

/// Longest time between two consecutive executions, in seconds.
/// \pre \p times_s ascends
double longest_gap(const std::vector<double>& times_s) {
    double longest = 0;
    for (std::size_t i = 1; i < times_s.size(); ++i) {
        longest = std::max(longest, times_s[i] - times_s[i - 1]);
    }
    return longest;
}

/// Runs the load for options.seconds and prints a table; \p during is called once the load has
/// started.
void run_phase(harness::fleet& fleet, const std::vector<account_load>& account_loads,
               const std::map<std::string, std::string>& keys, const bench_options& options,
               const char* title, const std::function<void()>& during) {
    std::printf("%s, %d s\n", title, options.seconds);
    std::vector<std::unique_ptr<harness::load_generator>> callers;
    for (const account_load& plan : account_loads) {
        harness::load_options given{
            plan.name, keys.at(plan.name),       "/work", "GET", plan.offered_rate,
            {},        !options.ignore_addresses};
        for (int i = 0; i < options.instances; ++i) {
            given.instances.push_back(fleet.callers_address(i));
        }
        callers.push_back(std::make_unique<harness::load_generator>(fleet.events(), given,
                                                                    options.seed + callers.size()));
        callers.back()->start();
    }
    const double started = to_seconds(boot_clock::now().time_since_epoch());
    during();
    harness::run_for(fleet.events(), std::chrono::seconds(options.seconds));
    for (const auto& one : callers) {
        one->stop();
    }
    harness::run_for(fleet.events(), seconds(3));
    auto times = harness::start_times_by_account(harness::read_executions(fleet.execution_log()));
    response_counts within_rate;
    double max_refused_percentage = 0;
    std::printf("%-12s %8s %8s %8s %9s %11s %10s %10s %11s\n", "account", "rate", "sent", "refused",
                "refused%", "unanswered", "executed", "over bound", "longest gap");
    for (std::size_t i = 0; i < account_loads.size(); ++i) {
        const account_load& plan = account_loads[i];
        const response_counts counted = count_responses(*callers[i]);
        std::vector<double>& start_times = times[plan.name];
        std::erase_if(start_times, [started](double at) { return at < started; });
        std::printf("%-12s %8.0f %8zu %8zu %9.3f %11zu %10zu %10.3f %11.2f\n", plan.name.c_str(),
                    plan.rate, counted.sent, counted.refused, counted.refused_percentage(),
                    counted.unanswered, start_times.size(),
                    harness::max_rate_excess(start_times, plan.rate, plan.burst),
                    longest_gap(start_times));
        if (!plan.is_overloaded()) {
            within_rate.sent += counted.sent;
            within_rate.refused += counted.refused;
            max_refused_percentage = std::max(max_refused_percentage, counted.refused_percentage());
        }
    }
    std::printf("inside their rate: %.3f%% refused, worst-served account %.3f%%\n",
                within_rate.refused_percentage(), max_refused_percentage);
    std::fflush(stdout);
}

/// Number of the instance that is the broker of \p account, or -1.
int broker_of(harness::fleet& fleet, const std::string& account) {
    for (const int number : fleet.running_instances()) {
        const auto status = fleet.send_operator_request(number, "GET", "/v1/status");
        if (status && status->body.is_object() && status->body.at("accounts").contains(account) &&
            status->body.at("accounts").at(account).at("brokered_here").get<bool>()) {
            return number;
        }
    }
    return -1;
}

/// Gracefully restarts the instances one after another.
class rolling_restart {
public:
    rolling_restart(harness::fleet& running, int instances) : fleet(running), count(instances) {}

    void start() {
        this->poll_timer =
            this->fleet.events().every(milliseconds(200), [this] { this->advance(); });
    }

private:
    void advance() {
        if (this->current >= this->count) {
            return;
        }
        if (!this->stopping) {
            this->fleet.instance(this->current).signal(SIGTERM);
            this->stopping = true;
        } else if (this->fleet.instance(this->current).has_ended()) {
            this->fleet.start_instance(this->current);
            this->stopping = false;
            ++this->current;
        }
    }

    harness::fleet& fleet;
    int count;
    int current{0};
    bool stopping{false};
    timer poll_timer;
};

void print_grants(harness::fleet& fleet) {
    double local = 0;
    double remote = 0;
    for (const int number : fleet.running_instances()) {
        const auto status = fleet.send_operator_request(number, "GET", "/v1/status");
        if (!status || !status->body.is_object()) {
            continue;
        }
        for (const auto& [name, account] : status->body.at("accounts").items()) {
            local += account.at("admitted_here").get<double>();
            remote += account.at("admitted_by_grant").get<double>();
        }
    }
    std::printf("admitted by remote grant: %.3f%%\n",
                local + remote == 0 ? 0 : remote / (local + remote) * 100);
}

} // namespace

int measure_rates(const bench_options& options) {
    harness::fleet_options wanted;
    wanted.network = bench_network;
    wanted.instances = options.instances;
    wanted.targets = 37;
    wanted.use_partition_relays = true;
    wanted.behaviour = {{"latency_ms", 5}};
    wanted.settings = {{"admission", options.static_split ? "static_split" : "loans"},
                       {"max_instances", options.instances}};
    harness::fleet fleet(wanted);
    fleet.start();
    const std::vector<account_load> account_loads = make_account_loads();
    nlohmann::json accounts = nlohmann::json::object();
    for (const account_load& plan : account_loads) {
        accounts[plan.name] = {{"rate_per_s", plan.rate}, {"burst", plan.burst}};
    }
    fleet.patch({{"accounts", accounts},
                 {"services", {{"work", fleet.service_settings()}}},
                 {"routes", {{"all", {{"path_prefix", "/"}, {"service", "work"}}}}}});
    std::map<std::string, std::string> keys;
    for (const account_load& plan : account_loads) {
        keys[plan.name] = fleet.add_api_key(plan.name);
    }
    harness::run_for(fleet.events(), seconds(6));
    run_phase(fleet, account_loads, keys, options, "calm", [] {});
    print_grants(fleet);
    const int broker = broker_of(fleet, account_loads.front().name);
    timer kill_timer;
    run_phase(fleet, account_loads, keys, options, "the broker of account-0 killed after 5 s", [&] {
        kill_timer = fleet.events().after(seconds(5), [&] { fleet.instance(broker).kill(); });
    });
    fleet.start_instance(broker);
    harness::run_for(fleet.events(), seconds(6));
    rolling_restart restarts(fleet, options.instances);
    run_phase(fleet, account_loads, keys, options, "rolling restart", [&] { restarts.start(); });
    fault_schedule faults(fleet, options);
    run_phase(fleet, account_loads, keys, options, "faults, with the store away throughout", [&] {
        fleet.set_platform_faults({{"outage", "refuse"}});
        faults.start(options.seconds);
    });
    return 0;
}

} // namespace knapweedknot::bench
