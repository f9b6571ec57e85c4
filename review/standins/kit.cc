#include "kit.hh"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace kit {

namespace {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

const clock_type::time_point program_start = clock_type::now();
std::mutex record_mutex;
std::ofstream record_file;
std::mutex process_mutex;
std::set<pid_t> processes;

std::string lower(std::string_view text) {
    std::string all(text);
    std::transform(all.begin(), all.end(), all.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return all;
}

sockaddr_in to_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &name.sin_addr);
    return name;
}

constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& data) {
    std::string text;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        std::uint32_t block = 0;
        const std::size_t size = std::min<std::size_t>(3, data.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            block = block << 8 | (k < size ? static_cast<unsigned char>(data[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= size ? base64_digits[block >> (18 - 6 * k) & 63] : '=';
        }
    }
    return text;
}

std::string from_base64(const std::string& text) {
    std::string data;
    std::uint32_t block = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = base64_digits.find(c);
        if (digit == std::string_view::npos) {
            continue;
        }
        block = block << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            data += static_cast<char>(block >> bits & 255);
        }
    }
    return data;
}

std::string decode_percent(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::stringstream rest(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(rest, part, '&');) {
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos) {
            query[part.substr(0, equals)] = decode_percent(part.substr(equals + 1));
        }
    }
    return query;
}

void replace_all(std::string& text, const std::string& what, const std::string& by) {
    for (std::size_t at = text.find(what); at != std::string::npos;
         at = text.find(what, at + by.size())) {
        text.replace(at, what.size(), by);
    }
}

} // namespace

double now_s() {
    return std::chrono::duration<double>(clock_type::now() - program_start).count();
}

void sleep_s(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void open_record(const std::string& folder) {
    std::signal(SIGPIPE, SIG_IGN);
    record_file.open(folder + "/record.txt", std::ios::trunc);
    record(with_trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

void record(const std::string& line) {
    const std::scoped_lock lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", now_s());
    record_file << time << line << std::endl;
    std::cout << time << line << std::endl;
}

void give_up(const std::string& why) {
    record("could not run: " + why);
    finish(could_not_run);
}

void finish(int result) {
    const std::scoped_lock lock(process_mutex);
    for (const pid_t pid : processes) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    // REVIEW_LOGS names a folder that gets the settings and the logs of the processes.
    if (const char* kept = std::getenv("REVIEW_LOGS"); kept != nullptr) {
        std::filesystem::copy(temporary_folder(), kept, ignored);
    }
    std::filesystem::remove_all(temporary_folder(), ignored);
    // Without destructors: threads of the stand-ins still run.
    std::_Exit(result);
}

std::string message::header(std::string_view name) const {
    for (const auto& [key, value] : this->headers) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return "";
}

std::string message::method() const {
    return this->start_line.substr(0, this->start_line.find(' '));
}

std::string message::target() const {
    const std::size_t first = this->start_line.find(' ');
    return this->start_line.substr(first + 1, this->start_line.rfind(' ') - first - 1);
}

int message::status() const {
    const std::size_t first = this->start_line.find(' ');
    return std::atoi(this->start_line.c_str() + first + 1);
}

connection::~connection() {
    if (this->fd >= 0) {
        ::close(this->fd);
    }
}

std::unique_ptr<connection> connection::open(const std::string& address, int receive_buffer,
                                             int segment) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto opened = std::make_unique<connection>(socket);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receive_buffer > 0) {
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    if (segment > 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    const timeval limit{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in name = to_address(address);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
        return nullptr;
    }
    const timeval long_limit{30, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &long_limit, sizeof long_limit);
    return opened;
}

bool connection::send(std::string_view bytes) const {
    while (!bytes.empty()) {
        const ssize_t size = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool connection::fill(double deadline) {
    pollfd entry{this->fd, POLLIN, 0};
    const double left = deadline - now_s();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        return false;
    }
    char bytes[32768];
    const double began = now_s();
    const ssize_t size = ::recv(this->fd, bytes, sizeof bytes, 0);
    if (size <= 0) {
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    this->received += static_cast<std::size_t>(size);
    if (this->seconds_per_megabyte > 0) {
        const double least = this->seconds_per_megabyte * static_cast<double>(size) / 1e6;
        sleep_s(std::max(0.0, least - (now_s() - began)));
    }
    return true;
}

std::optional<message> connection::read(double limit_s) {
    const double deadline = now_s() + limit_s;
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(deadline)) {
            return std::nullopt;
        }
    }
    message read;
    std::stringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::getline(head, read.start_line);
    read.start_line.erase(read.start_line.find_last_not_of('\r') + 1);
    for (std::string line; std::getline(head, line);) {
        line.erase(line.find_last_not_of('\r') + 1);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            read.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
        }
    }
    const std::size_t length = std::strtoul(read.header("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
        if (!this->fill(deadline)) {
            read.is_whole = false;
            read.body = std::move(this->buffer);
            this->buffer.clear();
            return read;
        }
    }
    read.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return read;
}

bool connection::is_closed_within(double seconds) const {
    const double end = now_s() + seconds;
    while (true) {
        const double left = std::max(0.0, end - now_s());
        pollfd entry{this->fd, POLLRDHUP, 0};
        const int count = ::poll(&entry, 1, static_cast<int>(left * 1000) + 1);
        if (count > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            return true;
        }
        if (now_s() >= end) {
            return false;
        }
    }
}

void listen(const std::string& address, std::function<void(connection&)> serve) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = to_address(address);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
        ::listen(listener, 512) != 0) {
        give_up("cannot listen on " + address);
    }
    std::thread([listener, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int nodelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
            std::thread([accepted, serve] {
                connection from(accepted);
                serve(from);
            }).detach();
        }
    }).detach();
}

store::store(const std::string& listen_address) : address(listen_address) {
    listen(listen_address, [this](connection& from) { this->serve(from); });
}

void store::serve(connection& from) {
    bool is_lost = false;
    while (const auto request = from.read(600)) {
        is_lost = is_lost || this->is_silent;
        if (is_lost) {
            continue;
        }
        const auto [status, body] = this->answer(*request);
        is_lost = is_lost || this->is_silent;
        const std::string head = "HTTP/1.1 " + std::to_string(status) +
                                 " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n";
        if (!is_lost && !from.send(head + body)) {
            return;
        }
    }
}

std::optional<double> store::last_watch(const std::string& prefix) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->watch_times.find(prefix);
    return found == this->watch_times.end() ? std::nullopt : std::optional(found->second);
}

void store::write(const std::string& key, const std::optional<std::string>& value) {
    if (value) {
        item& written = this->items[key];
        written.created = written.created == 0 ? this->revision : written.created;
        written.revision = this->revision;
        written.value = *value;
        this->history.push_back({key, this->revision, written});
    } else if (this->items.erase(key) > 0) {
        this->history.push_back({key, this->revision, std::nullopt});
    }
}

void store::put(const std::string& key, const std::string& value) {
    const std::scoped_lock lock(this->mutex);
    ++this->revision;
    this->write(key, value);
    this->changed.notify_all();
}

void store::remove(const std::string& key) {
    const std::scoped_lock lock(this->mutex);
    ++this->revision;
    this->write(key, std::nullopt);
    this->changed.notify_all();
}

std::pair<int, std::string> store::answer(const message& request) {
    const std::string path = request.target().substr(0, request.target().find('?'));
    auto query = query_of(request.target());
    const auto to_json = [](const std::string& key, const item& source) {
        return json{{"key", key},
                    {"value", to_base64(source.value)},
                    {"rev", source.revision},
                    {"create-rev", source.created},
                    {"lease", 0}};
    };
    if (path == "/kv-watch") {
        return this->watch(query);
    }
    if (path == "/kv-txn") {
        return this->transact(request.body);
    }
    const std::scoped_lock lock(this->mutex);
    if (path == "/kv-key") {
        const auto found = this->items.find(query["key"]);
        json body =
            found == this->items.end() ? json::object() : to_json(found->first, found->second);
        body["store-revision"] = this->revision;
        return {found == this->items.end() ? 404 : 200, body.dump()};
    }
    if (path == "/kv-range") {
        json rows = json::array();
        for (const auto& [key, value] : this->items) {
            if (key.starts_with(query["prefix"]) && key > query["after"]) {
                rows.push_back(to_json(key, value));
            }
        }
        return {
            200,
            json{{"items", rows}, {"has-more", false}, {"store-revision", this->revision}}.dump()};
    }
    return {404, "{}"};
}

std::pair<int, std::string> store::watch(const std::map<std::string, std::string>& query) {
    const std::string prefix = query.at("prefix");
    const std::uint64_t after = std::strtoull(query.at("after").c_str(), nullptr, 10);
    const std::chrono::milliseconds wait(std::atoi(query.at("wait-ms").c_str()));
    std::unique_lock lock(this->mutex);
    this->watch_times[prefix] = now_s();
    json events = json::array();
    this->changed.wait_for(lock, wait, [&] {
        for (const change& made : this->history) {
            if (made.revision > after && made.key.starts_with(prefix)) {
                events.push_back(
                    made.value
                        ? json{{"key", made.key},
                               {"value", to_base64(made.value->value)},
                               {"rev", made.revision},
                               {"create-rev", made.value->created},
                               {"lease", 0}}
                        : json{{"key", made.key}, {"rev", made.revision}, {"tombstone", true}});
            }
        }
        return !events.empty();
    });
    return {200, json{{"events", events}, {"store-revision", this->revision}}.dump()};
}

std::pair<int, std::string> store::transact(const std::string& body) {
    const json wanted = json::parse(body, nullptr, false);
    if (!wanted.is_object()) {
        return {400, "{}"};
    }
    const std::scoped_lock lock(this->mutex);
    for (const json& row : wanted.value("expected-rev", json::array())) {
        const auto found = this->items.find(row.at("key").get<std::string>());
        const std::uint64_t present = found == this->items.end() ? 0 : found->second.revision;
        if (present != row.at("rev").get<std::uint64_t>()) {
            return {412, json{{"items", json::array()}}.dump()};
        }
    }
    for (const json& row : wanted.value("puts", json::array())) {
        const auto key = row.at("key").get<std::string>();
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {403, "{}"};
        }
    }
    ++this->revision;
    for (const json& row : wanted.value("puts", json::array())) {
        this->write(row.at("key").get<std::string>(),
                    from_base64(row.at("value").get<std::string>()));
    }
    for (const json& key : wanted.value("remove", json::array())) {
        this->write(key.get<std::string>(), std::nullopt);
    }
    this->changed.notify_all();
    return {200, json{{"rev", this->revision}}.dump()};
}

// Larger bodies are not kept in the list of runs.
constexpr std::size_t most_kept_bytes = 65536;

endpoint::endpoint(std::string own_id, std::string own_service, std::string own_address)
    : id(std::move(own_id)), service(std::move(own_service)), address(std::move(own_address)) {
    listen(this->address, [this](connection& from) { this->serve(from); });
}

std::string endpoint::entry(const std::string& state) const {
    return json{{"service", this->service},
                {"address", this->address},
                {"zone", "z-a"},
                {"version", "v1"},
                {"slots", 6},
                {"state", state},
                {"warmup-left-ms", 0},
                {"sequence", 1},
                {"born", 1700000000000}}
        .dump();
}

std::vector<run> endpoint::runs() {
    const std::scoped_lock lock(this->mutex);
    return this->all;
}

void endpoint::serve(connection& from) {
    bool keep = true;
    while (keep) {
        const auto request = from.read(600);
        if (!request || !request->is_whole) {
            return;
        }
        this->serve_request(from, *request, keep);
    }
}

void endpoint::serve_request(connection& from, const message& request, bool& keep) {
    const std::string request_id = request.header("X-Request-Id");
    const auto reply = [&](const std::string& status, const std::string& further,
                           const std::string& body) {
        const std::string echo = request_id.empty() ? "" : "X-Request-Id: " + request_id + "\r\n";
        keep = from.send("HTTP/1.1 " + status + "\r\n" + echo + further +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    if (request.target() == "/health") {
        reply("200 OK", "X-Instance-Id: " + this->id + "\r\n", "");
        return;
    }
    const std::string meant = request.header("X-Target-Instance");
    if (!meant.empty() && meant != this->id) {
        reply("421 Misdirected Request", "X-Instance-Id: " + this->id + "\r\n", "");
        return;
    }
    if (request_id.empty()) {
        reply("400 Bad Request", "X-Not-Executed: 1\r\n", "");
        return;
    }
    std::size_t number = 0;
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= 6) {
            lock.unlock();
            reply("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
            return;
        }
        ++this->running;
        number = this->all.size();
        this->all.push_back({this->id, this->service, request_id, request.method(),
                             request.target(), request.header("X-Tenant"),
                             request.body.size() > most_kept_bytes ? "" : request.body, now_s(), 0,
                             ""});
    }
    const std::string left = request.header("X-Deadline-Ms");
    const double allowed = left.empty() ? 1e9 : std::atof(left.c_str()) / 1000;
    const bool is_late = this->work_s > allowed;
    const bool is_cut = from.is_closed_within(std::min<double>(this->work_s, allowed));
    {
        const std::scoped_lock lock(this->mutex);
        --this->running;
        this->all[number].ended = now_s();
        this->all[number].end = is_cut ? "cut" : is_late ? "deadline" : "whole";
    }
    if (is_cut) {
        keep = false;
        return;
    }
    const std::string signed_by = "X-Response-Signature: by-" + this->id + "\r\n";
    reply(is_late ? "504 Gateway Timeout" : "200 OK", signed_by,
          is_late ? "" : std::string(this->answer_bytes, 'a'));
}

const std::string& temporary_folder() {
    static const std::string folder = [] {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        return std::string(::mkdtemp(name.data()));
    }();
    return folder;
}

std::string free_network() {
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
        const std::string base = "127." + std::to_string(64 + random() % 128) + "." +
                                 std::to_string(random() % 256) + ".";
        // The port of the metrics is fixed in the settings template.
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in name = to_address(base + "10:9464");
        const bool is_free =
            ::bind(probe, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
        ::close(probe);
        if (is_free) {
            return base;
        }
    }
    give_up("no free loopback network");
}

int free_port(const std::string& ip) {
    // Below the range from which the system takes ports of outgoing connections.
    constexpr int first_port = 20000;
    constexpr int port_count = 10000;
    static std::random_device random;
    static std::set<int> taken;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int port = first_port + static_cast<int>(random() % port_count);
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in name = to_address(ip + ":" + std::to_string(port));
        const bool is_free =
            ::bind(probe, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
        ::close(probe);
        if (is_free && taken.insert(port).second) {
            return port;
        }
    }
    give_up("no free port on " + ip);
}

edge::edge(std::string own_name, std::string zone, std::string own_ip,
           const std::string& store_address)
    : name(std::move(own_name)), ip(std::move(own_ip)) {
    // The metrics port of deploy/settings.json is fixed, and the peers of a day share their ports.
    static const int peers_port = free_port(this->ip);
    this->front = this->ip + ":" + std::to_string(free_port(this->ip));
    this->ready = this->ip + ":" + std::to_string(free_port(this->ip));
    this->directory = this->ip + ":" + std::to_string(free_port(this->ip));
    std::ifstream file("deploy/settings.json");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    // Figures of sites/vev-gw.toml.
    const std::map<std::string, std::string> values{
        {"node-name", this->name},
        {"zone", zone},
        {"listen.front", this->front},
        {"listen.ready", this->ready},
        {"listen.directory", this->directory},
        {"ip", this->ip},
        {"internal-ports.0", std::to_string(peers_port)},
        {"platform.address", store_address},
        {"limits.cpu-share", "0.2"},
        {"limits.link-mbps", "1000.0"},
        {"bounds.revoke-ms", "5000"},
        {"bounds.config-apply-ms", "2000"},
        {"bounds.strict-revoke", "true"},
        {"bounds.drain-ms", "2000"},
        {"bounds.grace-s", "6"},
        {"bounds.ttl_max_s", "5"},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.retry-allowance", "56"},
        {"bounds.budget-window-s", "10"},
        {"bounds.floor-share", "0.7"},
    };
    for (const auto& [field, value] : values) {
        replace_all(settings, "{{" + field + "}}", value);
    }
    if (settings.empty() || settings.find("{{") != std::string::npos) {
        give_up("deploy/settings.json cannot be filled in");
    }
    this->settings_path = temporary_folder() + "/" + this->name + ".json";
    this->log_path = temporary_folder() + "/" + this->name + ".log";
    std::ofstream(this->settings_path) << settings;
    this->start();
}

void edge::start() {
    const char* program = "target/programs/knapweedknotd";
    if (::access(program, X_OK) != 0) {
        give_up(std::string(program) + " is missing");
    }
    const std::scoped_lock lock(process_mutex);
    const pid_t parent = ::getpid();
    const std::string config = "KNAPWEEDKNOT_CONFIG=" + this->settings_path;
    const char* arguments[] = {program, "--edge", nullptr};
    const char* environment[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8", config.c_str(), nullptr};
    this->pid = ::fork();
    if (this->pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            std::_Exit(1);
        }
        const int log = ::open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program, const_cast<char**>(arguments), const_cast<char**>(environment));
        std::_Exit(127);
    }
    processes.insert(this->pid);
}

void edge::signal(int number) const {
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

std::optional<int> edge::wait_end(double limit_s) {
    const double end = now_s() + limit_s;
    while (this->pid > 0) {
        int status = 0;
        std::unique_lock wait(process_mutex);
        if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            processes.erase(this->pid);
            this->pid = -1;
            return status;
        }
        if (now_s() > end) {
            break;
        }
        wait.unlock();
        sleep_s(0.01);
    }
    return std::nullopt;
}

long edge::resident_bytes() const {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return file ? resident * ::sysconf(_SC_PAGESIZE) : 0;
}

bool edge::is_ready() const {
    const auto asked = connection::open(this->ready);
    if (asked == nullptr || !asked->send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        return false;
    }
    const auto answer = asked->read(1);
    return answer && answer->status() == 200;
}

void wait_ready(const std::vector<edge*>& edges) {
    const double end = now_s() + 15;
    for (const edge* item : edges) {
        while (!item->is_ready()) {
            if (now_s() > end) {
                std::ifstream log(item->log_path);
                std::string last;
                for (std::string line; std::getline(log, line);) {
                    last = line;
                }
                give_up(item->name + " is not ready; its last line: " + last);
            }
            sleep_s(0.05);
        }
    }
}

std::string configuration(const std::string& version, const std::vector<route>& routes) {
    json resources = json::array();
    std::map<std::string, bool> services;
    for (const route& item : routes) {
        const std::string route_name = item.prefix.substr(1, item.prefix.size() - 2);
        resources.push_back({{"resource-kind", "routes"},
                             {"metadata", {{"name", route_name}}},
                             {"spec",
                              {{"hostname", "shop.example"},
                               {"prefix", item.prefix},
                               {"kind", item.kind},
                               {"timeout-ms", item.timeout_ms},
                               {"target-latency-ms", 2000},
                               {"priority", 1},
                               {"service", item.service},
                               {"max-attempts", 2},
                               {"public", item.is_public}}}});
        services[item.service] = true;
    }
    for (const auto& [service, unused] : services) {
        resources.push_back({{"resource-kind", "services"},
                             {"metadata", {{"name", service}}},
                             {"spec", {{"health-path", "/health"}, {"max-connections", 330}}}});
    }
    resources.push_back(
        {{"resource-kind", "tenants"},
         {"metadata", {{"name", "printers"}}},
         {"spec", {{"api-keys", {"key-printers-1"}}, {"rate-per-s", 0}, {"burst", 0}}}});
    resources.push_back({{"resource-kind", "limits"},
                         {"metadata", {{"name", "limits"}}},
                         {"spec",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 67108864},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}}});
    return json{{"version", version}, {"resources", resources}}.dump();
}

std::string request(const std::string& method, const std::string& path, const std::string& id,
                    const std::string& body, int deadline_ms, const std::string& further_headers) {
    std::string text = method + " " + path +
                       " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\nX-Key: key-printers-1\r\n" + further_headers;
    if (method == "POST" && further_headers.find("Transfer-Encoding") == std::string::npos) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace kit
