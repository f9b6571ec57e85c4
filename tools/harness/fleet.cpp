#include "fleet.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <stdlib.h> // mkdtemp

#include "base/digest.h"
#include "config/api_key.h"

namespace knapweedknot::harness {

namespace {

constexpr std::uint16_t callers_port = 8080;
constexpr std::uint16_t operators_port = 8081;
constexpr std::uint16_t peers_port = 8082;
constexpr std::uint16_t peers_listen_port = 8083;
constexpr std::uint16_t platform_port = 7000;
constexpr std::uint16_t admin_port = 7100;
constexpr std::uint16_t target_port = 9000;
constexpr int fleet_seats = 128;
constexpr int ip_base = 10;
constexpr duration relay_stop_interval = milliseconds(50);
constexpr duration poll_interval = milliseconds(200);

std::string binary_path(const char* path) {
    return std::string(KNAPWEEDKNOT_BUILD_DIR) + '/' + path;
}

std::string make_log_folder() {
    std::string path = (std::filesystem::temp_directory_path() / "knapweedknot-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder for logs");
    }
    return path;
}

} // namespace

fleet::fleet(const fleet_options& fleet_settings)
    : options(fleet_settings), folder(make_log_folder()), operator_token(random_hex(16)) {}

fleet::~fleet() {
    this->instance_processes.clear();
    this->relay_stop_requested = true;
    if (this->relay_thread.joinable()) {
        this->relay_thread.join();
    }
    this->targets_process.reset();
    this->platform_process.reset();
    if (std::getenv("KNAPWEEDKNOT_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder);
    }
}

std::string fleet::instance_ip(int number) const {
    return "127." + std::to_string(this->options.network) + ".1." +
           std::to_string(ip_base + number);
}

endpoint fleet::callers_address(int number) const {
    return {this->instance_ip(number), callers_port};
}

endpoint fleet::target_address(int number) const {
    return {"127." + std::to_string(this->options.network) + ".2." +
                std::to_string(ip_base + number),
            target_port};
}

endpoint fleet::platform_address() const {
    return {"127." + std::to_string(this->options.network) + ".0.1", platform_port};
}

endpoint fleet::admin_address() const {
    return {"127." + std::to_string(this->options.network) + ".0.1", admin_port};
}

operator_endpoint fleet::operators_endpoint(int number) const {
    return {{this->instance_ip(number), operators_port}, this->operator_token};
}

std::string fleet::write_settings(int number) const {
    const std::string ip = this->instance_ip(number);
    const endpoint peers{ip, peers_port};
    nlohmann::json seeds = nlohmann::json::array();
    for (int i = 0; i < std::min(3, this->options.instances); ++i) {
        seeds.push_back(to_string(endpoint{this->instance_ip(i), peers_port}));
    }
    nlohmann::json settings = {
        {"instance", "instance-" + std::to_string(number)},
        {"failure_domain", "domain-" + std::to_string(number % this->options.failure_domains)},
        {"callers_address", to_string(endpoint{ip, callers_port})},
        {"operators_address", to_string(endpoint{ip, operators_port})},
        {"peers_address", to_string(peers)},
        {"platform_address", to_string(this->platform_address())},
        {"peer_seeds", seeds},
        {"operators", {{"bench-operator", sha256_hex(this->operator_token)}}}};
    if (this->options.use_partition_relays) {
        settings["peers_listen"] = to_string(endpoint{ip, peers_listen_port});
    }
    settings.update(this->options.settings);
    std::string path = this->folder + "/instance-" + std::to_string(number) + ".json";
    std::ofstream(path) << settings.dump();
    return path;
}

void fleet::start_platform() {
    this->platform_process = std::make_unique<process>(
        std::vector<std::string>{binary_path("tools/platform_standin/platform_standin"), "--listen",
                                 to_string(this->platform_address())},
        this->folder + "/platform.log");
}

void fleet::start_instance(int number) {
    const std::string path = this->write_settings(number);
    this->instance_processes.insert_or_assign(
        number, process({binary_path("programs/knapweedknotd"), "--settings", path},
                        this->folder + "/instance-" + std::to_string(number) + ".log"));
}

void fleet::start_relays() {
    for (int number = 0; number < this->options.instances; ++number) {
        const std::string ip = this->instance_ip(number);
        this->relays[number] =
            std::make_unique<partition_relay>(this->relay_loop, endpoint{ip, peers_port},
                                              endpoint{ip, peers_listen_port}, this->blocked_pairs);
    }
    this->relay_stop_timer = this->relay_loop.every(relay_stop_interval, [this] {
        if (this->relay_stop_requested) {
            this->relay_loop.stop();
        }
    });
    this->relay_thread = std::thread([this] { this->relay_loop.run(); });
}

void fleet::start() {
    if (this->options.use_partition_relays) {
        this->start_relays();
    }
    this->start_platform();
    std::vector<std::string> arguments{binary_path("tools/target_standin/target_standin"),
                                       "--admin",
                                       to_string(this->admin_address()),
                                       "--log",
                                       this->execution_log(),
                                       "--behaviour",
                                       this->options.behaviour.dump()};
    for (int i = 0; i < this->options.targets; ++i) {
        arguments.emplace_back("--target");
        arguments.push_back("target-" + std::to_string(i) + '=' +
                            to_string(this->target_address(i)));
    }
    this->targets_process = std::make_unique<process>(arguments, this->folder + "/targets.log");
    run_for(this->main_loop, poll_interval);
    for (int i = 0; i < this->options.instances; ++i) {
        this->start_instance(i);
    }
    this->wait_until_ready();
}

std::vector<int> fleet::running_instances() {
    std::vector<int> numbers;
    for (auto& [number, instance_process] : this->instance_processes) {
        if (!instance_process.has_ended()) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

void fleet::wait_until_ready(int seconds_limit) {
    const time_point limit = boot_clock::now() + seconds(seconds_limit);
    while (boot_clock::now() < limit) {
        run_for(this->main_loop, poll_interval);
        const std::vector<int> numbers = this->running_instances();
        if (numbers.empty()) {
            throw std::runtime_error("no instance is running; logs in " + this->folder);
        }
        const auto status = this->send_operator_request(numbers.front(), "GET", "/v1/status");
        if (!status || !status->body.is_object()) {
            continue;
        }
        int leased = 0;
        std::size_t connected = 0;
        for (const nlohmann::json& item : status->body.at("instances")) {
            const bool is_connected = item.at("connected").get<bool>();
            leased += is_connected ? item.at("lent_seats").get<int>() : 0;
            connected += is_connected ? 1 : 0;
        }
        if (leased == fleet_seats && connected == numbers.size()) {
            return;
        }
    }
    throw std::runtime_error("the fleet did not become ready in time; logs in " + this->folder);
}

result<operator_response> fleet::send_operator_request(int number, const std::string& method,
                                                       const std::string& uri,
                                                       const nlohmann::json& body) const {
    return call(this->operators_endpoint(number), method, uri,
                body.is_null() ? "" : "application/merge-patch+json",
                body.is_null() ? "" : body.dump());
}

std::uint64_t fleet::patch(const nlohmann::json& merge_patch, int number) {
    const auto current = this->send_operator_request(number, "GET", "/v1/configuration");
    if (!current) {
        throw std::runtime_error("cannot read the configuration: " + current.error().detail);
    }
    const std::string uri = "/v1/configuration?base=" + current->body.at("number").dump();
    const auto accepted = this->send_operator_request(number, "PATCH", uri, merge_patch);
    if (!accepted || accepted->status != 200) {
        throw std::runtime_error("patch refused: " +
                                 (accepted ? accepted->body.dump() : accepted.error().detail));
    }
    return accepted->body.at("number").get<std::uint64_t>();
}

std::string fleet::add_api_key(const std::string& account) {
    const new_api_key key = make_api_key();
    const nlohmann::json stored = {{"salt", key.stored.salt}, {"sha256", key.stored.sha256}};
    this->patch({{"accounts", {{account, {{"keys", {{key.key_id, stored}}}}}}}});
    return key.presented;
}

void fleet::set_platform_faults(const nlohmann::json& faults) const {
    static_cast<void>(call({this->platform_address(), ""}, "PUT", "/v1/admin/faults",
                           "application/json", faults.dump()));
}

void fleet::set_platform_instances(const nlohmann::json& list) const {
    static_cast<void>(call({this->platform_address(), ""}, "PUT", "/v1/admin/instances",
                           "application/json", list.dump()));
}

nlohmann::json fleet::platform_counts() const {
    const auto answer = call({this->platform_address(), ""}, "GET", "/v1/admin/counts", "", "");
    return answer ? answer->body : nlohmann::json();
}

void fleet::set_target_behaviour(const std::string& name, const nlohmann::json& behaviour) const {
    static_cast<void>(
        call({this->admin_address(), ""}, "PUT", '/' + name, "application/json", behaviour.dump()));
}

nlohmann::json fleet::service_settings() const {
    nlohmann::json targets = nlohmann::json::object();
    for (int i = 0; i < this->options.targets; ++i) {
        targets["target-" + std::to_string(i)] = {
            {"address", to_string(this->target_address(i))},
            {"failure_domain", "domain-" + std::to_string(i % this->options.failure_domains)}};
    }
    return {{"targets", targets}, {"floor", this->options.targets / 2}};
}

void run_for(loop& events, duration length) {
    const timer end = events.after(length, [&events] { events.stop(); });
    events.run();
}

} // namespace knapweedknot::harness
