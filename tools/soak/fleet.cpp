#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "event/http_client.h"

namespace knapweedknot::soak {

namespace {

constexpr std::uint16_t readiness_port = 8081;
constexpr std::uint16_t target_port = 9000;
constexpr duration heartbeat_interval = milliseconds(1500);
constexpr duration restart_delay = milliseconds(300);
constexpr int first_host = 10;
constexpr std::array zones{"zone-a", "zone-b", "zone-c"};

std::string zone_of(int number) {
    return zones.at(static_cast<std::size_t>(number) % zones.size());
}

} // namespace

fleet::fleet(loop& event_loop, fleet_shape wanted, records& journal)
    : owner(event_loop), shape(std::move(wanted)),
      seen(journal), store_address{"127." + std::to_string(shape.network) + ".0.1", 7000},
      store(event_loop, duration::zero(), 1), writer(event_loop, store_address),
      ready(static_cast<std::size_t>(shape.edges)) {
    if (const auto listening = this->store.listen(this->store_address); !listening) {
        throw std::runtime_error("no store: " + listening.error().detail);
    }
    this->seen.edges.resize(static_cast<std::size_t>(this->shape.edges));
    for (const std::string& service : services_of_targets(this->shape.targets)) {
        const std::size_t number = this->targets.size();
        std::string id = service;
        id += '-';
        id += std::to_string(number);
        const endpoint where{"127." + std::to_string(this->shape.network) + ".2." +
                                 std::to_string(first_host + number),
                             target_port};
        this->targets.push_back(
            std::make_unique<target>(this->owner, std::move(id), service, where, this->seen));
    }
}

endpoint fleet::address(int number, std::uint16_t port) const {
    return {"127." + std::to_string(this->shape.network) + ".1." +
                std::to_string(first_host + number),
            port};
}

std::optional<int> fleet::edge_at(const std::string& address) const {
    for (int number = 0; number < this->shape.edges; ++number) {
        if (to_string(this->address(number, callers_port)) == address) {
            return number;
        }
    }
    return std::nullopt;
}

void fleet::start_store() {
    this->write_policy({});
    this->register_targets();
    this->heartbeat = this->owner.every(heartbeat_interval, [this] { this->register_targets(); });
}

void fleet::register_targets() {
    ++this->sequence;
    for (std::size_t number = 0; number < this->targets.size(); ++number) {
        const target& registered = *this->targets[number];
        const nlohmann::json entry = {{"service", registered.service},
                                      {"address", to_string(registered.address)},
                                      {"zone", zone_of(static_cast<int>(number))},
                                      {"version", "v1"},
                                      {"slots", 6},
                                      {"state", "ready"},
                                      {"warmup-left-ms", 0},
                                      {"sequence", this->sequence},
                                      {"born", 1'700'000'000'000}};
        this->writer.put("servers/" + registered.id, entry.dump(), [](const auto& outcome) {
            if (!outcome) {
                std::cerr << "registration failed: " << outcome.error().detail << '\n';
            }
        });
    }
}

void fleet::write_policy(const policy& wanted) {
    const std::size_t index = this->seen.policies.size();
    policy_record record;
    record.sent = boot_clock::now();
    record.idle_timeout = wanted.idle_timeout;
    record.timeout_factor = wanted.timeout_factor;
    this->seen.policies.push_back(record);
    // Versions increase in uneven steps.
    this->version += 1 + this->version % 3;
    this->writer.put("op/config", policy_document(wanted, this->version).dump(),
                     [this, index](const auto& outcome) {
                         if (outcome) {
                             this->seen.policies[index].confirmed = boot_clock::now();
                         } else {
                             std::cerr << "policy not written: " << outcome.error().detail << '\n';
                         }
                     });
}

void fleet::start_edge(int number) {
    const std::string name = "edge-" + std::to_string(number);
    const auto at = [&](std::uint16_t port) { return to_string(this->address(number, port)); };
    const nlohmann::json settings = {{"instance", name},
                                     {"failure_domain", zone_of(number)},
                                     {"callers_address", at(callers_port)},
                                     {"readiness_address", at(readiness_port)},
                                     {"directory_address", at(directory_port)},
                                     {"peers_address", at(8083)},
                                     {"metrics_address", at(8084)},
                                     {"store_address", to_string(this->store_address)},
                                     {"log_level", "debug"},
                                     {"bounds",
                                      {{"key_withdrawal_ms", 5000},
                                       {"policy_apply_ms", to_milliseconds(policy_apply)},
                                       {"strict_withdrawal", true},
                                       {"target_drain_ms", 2000},
                                       {"stop_grace_s", to_seconds(stop_grace)},
                                       {"address_lifetime_s", 5},
                                       {"resend_share", 0.2},
                                       {"resend_allowance", 56},
                                       {"resend_window_s", 10},
                                       {"floor_share", 0.7}}}};
    const std::string path = this->shape.folder + "/" + name;
    std::ofstream(path + ".json") << settings.dump();
    this->processes.insert_or_assign(
        number, harness::process({this->shape.program, "--edge", "--settings", path + ".json"},
                                 path + ".log"));
}

bool fleet::is_running(int number) const {
    const auto found = this->processes.find(number);
    const auto& stops = this->seen.edges[static_cast<std::size_t>(number)].stops;
    return found != this->processes.end() &&
           (stops.empty() || stops.back().ended != time_point::max());
}

void fleet::stop_edge(int number) {
    this->processes.at(number).signal(SIGTERM);
    this->seen.edges[static_cast<std::size_t>(number)].stops.push_back({boot_clock::now()});
}

void fleet::hang_up(int number) {
    this->processes.at(number).signal(SIGHUP);
    this->seen.edges[static_cast<std::size_t>(number)].hangups.push_back(boot_clock::now());
}

void fleet::step(bool may_restart) {
    const time_point now = boot_clock::now();
    for (auto item = this->processes.begin(); item != this->processes.end();) {
        auto& [number, process] = *item;
        auto& stops = this->seen.edges[static_cast<std::size_t>(number)].stops;
        const bool is_stopping = !this->is_running(number);
        const bool is_due = is_stopping && now - stops.back().terminated >= stop_grace;
        if (!process.has_ended() && is_due) {
            process.kill();
            stops.back().was_killed = true;
        }
        if (process.is_running()) {
            ++item;
            continue;
        }
        if (is_stopping) {
            stops.back().ended = now;
        } else {
            ++this->unexpected;
            std::cout << "ended without a stop: edge-" << number
                      << " status=" << process.exit_status() << '\n';
        }
        this->restarts[number] = now + restart_delay;
        item = this->processes.erase(item);
    }
    std::erase_if(this->restarts, [&](const auto& restart) {
        if (!may_restart || restart.second > now) {
            return false;
        }
        this->start_edge(restart.first);
        return true;
    });
}

int fleet::ask_readiness() {
    for (int number = 0; number < this->shape.edges; ++number) {
        http_request question;
        question.uri = "/readiness";
        send_once(this->owner, this->address(number, readiness_port), question, seconds(1), {},
                  [this, number](const http_outcome& outcome) {
                      this->ready[static_cast<std::size_t>(number)] =
                          outcome && outcome->status == 200;
                  });
    }
    return static_cast<int>(std::count(this->ready.begin(), this->ready.end(), true));
}

} // namespace knapweedknot::soak
