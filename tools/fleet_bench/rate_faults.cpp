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
// Share of its rate that a well-behaved account asks for.
constexpr double usual_load = 0.7;
// The last account asks for this many times its rate.
constexpr double greedy_load = 5;
constexpr duration freeze_time = seconds(10);
constexpr duration restart_after = seconds(3);

struct account_plan {
    std::string name;
    double rate;
    double burst;
    double offered;
    [[nodiscard]] bool is_greedy() const { return this->offered > this->rate; }
};

std::vector<account_plan> plan_accounts() {
    std::vector<account_plan> plans;
    for (int i = 0; i < account_count; ++i) {
        const bool is_large = i < large_accounts;
        const double rate = is_large ? large_rate : small_rate;
        const double load = i + 1 == account_count ? greedy_load : usual_load;
        plans.push_back({"account-" + std::to_string(i), rate, is_large ? large_burst : small_burst,
                         rate * load});
    }
    return plans;
}

/// A seeded schedule of faults: kills with a restart, freezes, one-way cuts.
class fault_schedule {
public:
    fault_schedule(harness::fleet& running, const bench_options& options)
        : fleet(running), random(options.seed), count(options.instances) {}

    void start(int seconds) {
        std::uniform_int_distribution<int> kind(0, 3);
        std::uniform_int_distribution<int> which(0, this->count - 1);
        for (int at = 10; at + 5 < seconds; at += 6) {
            const int victim = which(this->random);
            const int other = which(this->random);
            const int what = kind(this->random);
            this->timers.push_back(
                this->fleet.events().after(std::chrono::seconds(at), [this, what, victim, other] {
                    this->strike(what, victim, other);
                }));
        }
    }

private:
    void strike(int what, int victim, int other) {
        if (what <= 1) {
            std::printf("  kill instance-%d\n", victim);
            this->fleet.instance(victim).kill();
            this->timers.push_back(this->fleet.events().after(
                restart_after, [this, victim] { this->fleet.start_instance(victim); }));
        } else if (what == 2) {
            std::printf("  freeze instance-%d\n", victim);
            this->fleet.instance(victim).signal(SIGSTOP);
            this->timers.push_back(this->fleet.events().after(
                freeze_time, [this, victim] { this->fleet.instance(victim).signal(SIGCONT); }));
        } else {
            std::printf("  cut instance-%d to instance-%d\n", victim, other);
            const auto direction =
                std::pair(this->fleet.instance_ip(victim), this->fleet.instance_ip(other));
            this->fleet.blocked().insert(direction);
            this->timers.push_back(this->fleet.events().after(
                freeze_time, [this, direction] { this->fleet.blocked().erase(direction); }));
        }
        std::fflush(stdout);
    }

    harness::fleet& fleet;
    std::mt19937_64 random;
    int count;
    std::vector<timer> timers;
};

struct refusal_count {
    std::size_t sent{0};
    std::size_t refused{0};
    std::size_t unanswered{0};
    [[nodiscard]] double share() const {
        return this->sent == 0
                   ? 0
                   : static_cast<double>(this->refused) / static_cast<double>(this->sent) * 100;
    }
};

refusal_count count_refusals(const harness::load_generator& callers) {
    refusal_count counted;
    for (const harness::request_record& record : callers.records()) {
        ++counted.sent;
        counted.refused += record.status == 429 || record.status == 503 ? 1 : 0;
        counted.unanswered += record.status == 0 ? 1 : 0;
    }
    return counted;
}

/// Longest time between two executions of an account, in seconds.
double longest_gap(const std::vector<double>& times_s) {
    double longest = 0;
    for (std::size_t i = 1; i < times_s.size(); ++i) {
        longest = std::max(longest, times_s[i] - times_s[i - 1]);
    }
    return longest;
}

/// Runs the load; \p during is called once it has started. Prints the result.
void run_phase(harness::fleet& fleet, const std::vector<account_plan>& plans,
               const std::map<std::string, std::string>& keys, const bench_options& options,
               const char* title, const std::function<void()>& during) {
    std::printf("%s, %d s\n", title, options.seconds);
    std::vector<std::unique_ptr<harness::load_generator>> callers;
    for (const account_plan& plan : plans) {
        harness::load_options given{
            plan.name, keys.at(plan.name),       "/work", "GET", plan.offered,
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
    refusal_count inside;
    double worst_share = 0;
    std::printf("%-12s %8s %8s %8s %9s %11s %10s %10s %11s\n", "account", "rate", "sent", "refused",
                "refused%", "unanswered", "executed", "over bound", "longest gap");
    for (std::size_t i = 0; i < plans.size(); ++i) {
        const account_plan& plan = plans[i];
        const refusal_count counted = count_refusals(*callers[i]);
        std::vector<double>& ran = times[plan.name];
        std::erase_if(ran, [started](double at) { return at < started; });
        std::printf("%-12s %8.0f %8zu %8zu %9.3f %11zu %10zu %10.3f %11.2f\n", plan.name.c_str(),
                    plan.rate, counted.sent, counted.refused, counted.share(), counted.unanswered,
                    ran.size(), harness::max_rate_excess(ran, plan.rate, plan.burst),
                    longest_gap(ran));
        if (!plan.is_greedy()) {
            inside.sent += counted.sent;
            inside.refused += counted.refused;
            worst_share = std::max(worst_share, counted.share());
        }
    }
    std::printf("inside their rate: %.3f%% refused, worst-served account %.3f%%\n", inside.share(),
                worst_share);
    std::fflush(stdout);
}

/// Number of the instance that brokers \p account, or -1.
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

/// Stops instances one after another gracefully and starts each again.
class rolling_restart {
public:
    rolling_restart(harness::fleet& running, int instances) : fleet(running), count(instances) {}

    void start() {
        this->step = this->fleet.events().every(milliseconds(200), [this] { this->look(); });
    }

private:
    void look() {
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
    timer step;
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
    const std::vector<account_plan> plans = plan_accounts();
    nlohmann::json accounts = nlohmann::json::object();
    for (const account_plan& plan : plans) {
        accounts[plan.name] = {{"rate_per_s", plan.rate}, {"burst", plan.burst}};
    }
    fleet.patch({{"accounts", accounts},
                 {"services", {{"work", fleet.service_settings()}}},
                 {"routes", {{"all", {{"path_prefix", "/"}, {"service", "work"}}}}}});
    std::map<std::string, std::string> keys;
    for (const account_plan& plan : plans) {
        keys[plan.name] = fleet.add_api_key(plan.name);
    }
    harness::run_for(fleet.events(), seconds(6));
    run_phase(fleet, plans, keys, options, "calm", [] {});
    print_grants(fleet);
    const int broker = broker_of(fleet, plans.front().name);
    timer kill_later;
    run_phase(fleet, plans, keys, options, "the broker of account-0 killed after 5 s", [&] {
        kill_later = fleet.events().after(seconds(5), [&] { fleet.instance(broker).kill(); });
    });
    fleet.start_instance(broker);
    harness::run_for(fleet.events(), seconds(6));
    rolling_restart restarts(fleet, options.instances);
    run_phase(fleet, plans, keys, options, "rolling restart", [&] { restarts.start(); });
    fault_schedule faults(fleet, options);
    run_phase(fleet, plans, keys, options, "faults, with the store away throughout", [&] {
        fleet.set_platform_faults({{"outage", "refuse"}});
        faults.start(options.seconds);
    });
    return 0;
}

} // namespace knapweedknot::bench
