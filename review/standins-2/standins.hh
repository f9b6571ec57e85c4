// Stand-ins for the platform's store, for endpoints and for clients, in one process, and the
// control of the edge processes of a small deployment. Header only, POSIX sockets and threads.
//
// The store answers /kv-key, /kv-range, /kv-watch and /kv-txn; it is linearizable and loses
// nothing. Everything listens on addresses of 127.0.0.0/8 that belong to this run alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using steady = std::chrono::steady_clock;
using std::string;

inline double seconds_since(steady::time_point start) {
    return std::chrono::duration<double>(steady::now() - start).count();
}
inline void sleep_s(double seconds) {
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

// ---- record ------------------------------------------------------------------------------------

/// Lines of record.txt, with the seconds since the start of the run.
class record {
public:
    explicit record(const string& path) : out(path, std::ios::trunc) {}
    void line(const string& text) {
        const std::scoped_lock lock(this->mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", seconds_since(this->start));
        this->out << stamp << text << '\n';
        this->out.flush();
    }
    [[nodiscard]] double now() const { return seconds_since(this->start); }

private:
    std::mutex mutex;
    std::ofstream out;
    steady::time_point start = steady::now();
};

// ---- sockets and HTTP --------------------------------------------------------------------------

inline sockaddr_in address_of(const string& ip, int port) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
    return name;
}

struct message {
    string first;
    std::vector<std::pair<string, string>> headers;
    string body;

    [[nodiscard]] string header(const string& name) const {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] string method() const { return this->first.substr(0, this->first.find(' ')); }
    [[nodiscard]] string uri() const {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const {
        return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
    }
};

/// One end of a connection, with buffered reads and a time limit for each operation.
class connection {
public:
    explicit connection(int socket) : fd(socket) {
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(const string& ip, int port, int receive_buffer = 0) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        const sockaddr_in name = address_of(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<connection>(fd);
    }
    void close() {
        if (this->fd >= 0) {
            ::close(this->fd);
            this->fd = -1;
        }
    }
    bool write(const string& bytes) const {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t size =
                ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Reads what has come, at most \p most bytes. 0: the end; -1: an error or no byte in time.
    ssize_t read_some(double limit_s, std::size_t most = 65536) {
        pollfd waiting{this->fd, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(limit_s * 1000)) <= 0) {
            this->timed_out = true;
            return -1;
        }
        string chunk(most, '\0');
        const ssize_t size = ::recv(this->fd, chunk.data(), chunk.size(), 0);
        if (size > 0) {
            this->buffer.append(chunk.data(), static_cast<std::size_t>(size));
        }
        return size;
    }
    /// Reads a message with a length, or without a body. False if there is none in time.
    bool read(message& into, double limit_s) {
        const auto start = steady::now();
        into = {};
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == string::npos) {
            const double left = limit_s - seconds_since(start);
            if (left <= 0 || this->read_some(left) <= 0) {
                return false;
            }
        }
        std::istringstream lines(this->buffer.substr(0, end + 2));
        string text;
        std::getline(lines, text);
        into.first = text.substr(0, text.size() - 1);
        while (std::getline(lines, text)) {
            const auto colon = text.find(':');
            if (colon != string::npos) {
                auto begin = text.find_first_not_of(' ', colon + 1);
                begin = begin == string::npos ? text.size() - 1 : begin;
                into.headers.emplace_back(text.substr(0, colon),
                                          text.substr(begin, text.size() - 1 - begin));
            }
        }
        this->buffer.erase(0, end + 4);
        const auto length =
            static_cast<std::size_t>(std::atoll(into.header("Content-Length").c_str()));
        while (this->buffer.size() < length) {
            const double left = limit_s - seconds_since(start);
            if (left <= 0 || this->read_some(left) <= 0) {
                return false;
            }
        }
        into.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    string buffer;
    bool timed_out = false;

private:
    int fd;
};

/// Accepts connections and runs \p serve for each on a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;
    server(const string& ip, int port, handler serve) : handle(std::move(serve)) {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in name = address_of(ip, port);
        if (bind(this->fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
            listen(this->fd, 1024) != 0) {
            std::cerr << "cannot listen on " << ip << ':' << port << '\n';
            std::exit(2);
        }
        std::thread([this] {
            while (true) {
                const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    continue;
                }
                std::thread([this, accepted] {
                    connection client(accepted);
                    this->handle(client);
                }).detach();
            }
        }).detach();
    }

private:
    int fd;
    handler handle;
};

inline string answer_text(const string& status, const string& headers, const string& body) {
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ----------------------------------------------------------------------

inline string to_base64(const string& data) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string text;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(data[i]) << 16;
        value |= i + 1 < data.size() ? static_cast<unsigned char>(data[i + 1]) << 8 : 0;
        value |= i + 2 < data.size() ? static_cast<unsigned char>(data[i + 2]) : 0;
        text += digits[value >> 18];
        text += digits[(value >> 12) & 63];
        text += i + 1 < data.size() ? digits[(value >> 6) & 63] : '=';
        text += i + 2 < data.size() ? digits[value & 63] : '=';
    }
    return text;
}

inline string decode_uri(const string& text) {
    string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

class store {
public:
    store(const string& ip, int port)
        : listener(ip, port, [this](connection& client) { this->serve(client); }) {}

    /// Writes an item, as the operator or an endpoint does. \p base64 is its encoded value.
    std::uint64_t put_encoded(const string& key, const string& base64) {
        const std::scoped_lock lock(this->mutex);
        return this->put_locked(key, base64);
    }
    std::uint64_t put(const string& key, const string& value) {
        return this->put_encoded(key, to_base64(value));
    }
    void remove(const string& key) {
        const std::scoped_lock lock(this->mutex);
        this->remove_locked(key);
    }

private:
    struct item {
        string value;
        std::uint64_t revision;
        std::uint64_t created;
    };
    struct change {
        std::uint64_t revision;
        string key;
        string text;
    };

    std::uint64_t put_locked(const string& key, const string& base64) {
        ++this->revision;
        const auto found = this->items.find(key);
        const auto created = found == this->items.end() ? this->revision : found->second.created;
        this->items[key] = {base64, this->revision, created};
        this->changes.push_back({this->revision, key, this->text_of(key)});
        this->changed.notify_all();
        return this->revision;
    }
    void remove_locked(const string& key) {
        if (this->items.erase(key) > 0) {
            ++this->revision;
            this->changes.push_back({this->revision, key,
                                     "{\"key\":\"" + key + "\",\"rev\":" +
                                         std::to_string(this->revision) + ",\"tombstone\":true}"});
            this->changed.notify_all();
        }
    }
    [[nodiscard]] string text_of(const string& key) const {
        const item& found = this->items.at(key);
        return "{\"key\":\"" + key + "\",\"value\":\"" + found.value +
               "\",\"rev\":" + std::to_string(found.revision) +
               ",\"create-rev\":" + std::to_string(found.created) + ",\"lease\":0}";
    }
    static std::map<string, string> query_of(const string& uri) {
        std::map<string, string> values;
        const auto mark = uri.find('?');
        std::istringstream parts(mark == string::npos ? "" : uri.substr(mark + 1));
        string part;
        while (std::getline(parts, part, '&')) {
            const auto equals = part.find('=');
            values[part.substr(0, equals)] = decode_uri(part.substr(equals + 1));
        }
        return values;
    }
    /// The string field \p name of a flat part of a JSON text, after \p from.
    static string field_after(const string& text, const string& name, std::size_t from) {
        const auto begin = text.find("\"" + name + "\":", from);
        if (begin == string::npos) {
            return {};
        }
        auto value = begin + name.size() + 3;
        if (text[value] == '"') {
            return text.substr(value + 1, text.find('"', value + 1) - value - 1);
        }
        const auto end = text.find_first_of(",}]", value);
        return text.substr(value, end - value);
    }
    void serve(connection& client) {
        message call;
        while (client.read(call, 3600)) {
            sleep_s(0.004);
            if (!client.write(this->answer(call))) {
                return;
            }
        }
    }
    string answer(const message& call) {
        const string type = "Content-Type: application/json\r\n";
        const string path = call.uri().substr(0, call.uri().find('?'));
        auto query = query_of(call.uri());
        std::unique_lock lock(this->mutex);
        const string end = "\"store-revision\":";
        if (path == "/kv-key") {
            if (!this->items.contains(query["key"])) {
                return answer_text("404 Not Found", type,
                                   "{" + end + std::to_string(this->revision) + "}");
            }
            string text = this->text_of(query["key"]);
            text.pop_back();
            return answer_text("200 OK", type,
                               text + "," + end + std::to_string(this->revision) + "}");
        }
        if (path == "/kv-range") {
            string list;
            int count = 0;
            bool more = false;
            for (auto at = this->items.lower_bound(query["prefix"]);
                 at != this->items.end() && at->first.starts_with(query["prefix"]); ++at) {
                if (!query["after"].empty() && at->first <= query["after"]) {
                    continue;
                }
                if (count == 500) {
                    more = true;
                    break;
                }
                list += (count++ > 0 ? "," : "") + this->text_of(at->first);
            }
            return answer_text("200 OK", type,
                               "{\"items\":[" + list +
                                   "],\"has-more\":" + (more ? "true" : "false") + "," + end +
                                   std::to_string(this->revision) + "}");
        }
        if (path == "/kv-watch") {
            const auto after = static_cast<std::uint64_t>(std::stoull(query["after"]));
            const auto limit =
                steady::now() + std::chrono::milliseconds(std::stoll(query["wait-ms"]));
            string list;
            while (true) {
                for (const change& each : this->changes) {
                    if (each.revision > after && each.key.starts_with(query["prefix"])) {
                        list += (list.empty() ? "" : ",") + each.text;
                    }
                }
                if (!list.empty() ||
                    this->changed.wait_until(lock, limit) == std::cv_status::timeout) {
                    break;
                }
            }
            return answer_text("200 OK", type,
                               "{\"events\":[" + list + "]," + end +
                                   std::to_string(this->revision) + "}");
        }
        if (path == "/kv-txn") {
            return this->transact(call.body, type);
        }
        return answer_text("404 Not Found", type, "{}");
    }
    /// The system's transactions put or remove one key each.
    string transact(const string& body, const string& type) {
        const auto conditions = body.find("\"expected-rev\":[{");
        if (conditions != string::npos) {
            const string key = field_after(body, "key", conditions);
            const auto expected = std::stoull(field_after(body, "rev", conditions));
            const auto found = this->items.find(key);
            if ((found == this->items.end() ? 0 : found->second.revision) != expected) {
                return answer_text("412 Precondition Failed", type, "{\"items\":[]}");
            }
        }
        if (const auto puts = body.find("\"puts\":[{"); puts != string::npos) {
            this->put_locked(field_after(body, "key", puts), field_after(body, "value", puts));
        }
        if (const auto removed = body.find("\"remove\":[\""); removed != string::npos) {
            const auto begin = removed + 11;
            this->remove_locked(body.substr(begin, body.find('"', begin) - begin));
        }
        return answer_text("200 OK", type, "{\"rev\":" + std::to_string(this->revision) + "}");
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<string, item> items;
    std::vector<change> changes;
    server listener;
};

// ---- the deployment ----------------------------------------------------------------------------

inline string registration_of(const string& service, const string& address, const string& zone,
                              int slots) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1,\"born\":1790000000000}";
}

inline string route_of(const string& name, const string& prefix, const string& kind,
                       const string& service, int timeout_ms) {
    return "{\"resource-kind\":\"routes\",\"metadata\":{\"name\":\"" + name +
           "\"},\"spec\":{\"hostname\":\"h.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" +
           kind + "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":1200,\"priority\":1,\"service\":\"" + service +
           "\",\"max-attempts\":2,\"public\":false}}";
}

inline string service_of(const string& name) {
    return "{\"resource-kind\":\"services\",\"metadata\":{\"name\":\"" + name +
           "\"},\"spec\":{\"health-path\":\"/health\",\"max-connections\":390,\"protocol\":\"h1\","
           "\"tls\":false}}";
}

inline string configuration_of(const std::vector<string>& resources) {
    string list;
    for (const string& each : resources) {
        list += each + ",";
    }
    return "{\"version\":\"00000007\",\"resources\":[" + list +
           "{\"resource-kind\":\"limits\",\"metadata\":{},\"spec\":{\"max-header-bytes\":16384,"
           "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}]}";
}

/// Ends the edges of the run also when the run itself is ended.
inline std::vector<pid_t>& started_processes() {
    static std::vector<pid_t> all;
    return all;
}
inline void end_started_processes() {
    for (const pid_t pid : started_processes()) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    started_processes().clear();
}

struct machine {
    string name;
    string zone;
    string ip;
    int memory_mb = 260;
    int max_fds = 4100;
};

/// An edge process with the command of the deploy file, and settings from its template.
class edge {
public:
    edge(machine on, const string& folder, const string& store_address, int base_port)
        : where(std::move(on)), base(base_port), path(folder + "/" + this->where.name + ".json"),
          log(folder + "/" + this->where.name + ".log") {
        std::ifstream in("deploy/settings.json");
        string text((std::istreambuf_iterator<char>(in)), {});
        const auto at = [&](int offset) {
            return this->where.ip + ":" + std::to_string(this->base + offset);
        };
        const std::map<string, string> values{{"node-name", this->where.name},
                                              {"zone", this->where.zone},
                                              {"ip", this->where.ip},
                                              {"listen.front", at(45)},
                                              {"listen.ready", at(48)},
                                              {"listen.directory", at(44)},
                                              {"internal-ports.0", std::to_string(this->base + 10)},
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
                                              {"bounds.retry-allowance", "62"},
                                              {"bounds.budget-window-s", "10"},
                                              {"bounds.floor-share", "0.7"}};
        for (const auto& [name, value] : values) {
            const string place = "{{" + name + "}}";
            for (auto found = text.find(place); found != string::npos; found = text.find(place)) {
                text.replace(found, place.size(), value);
            }
        }
        std::ofstream(this->path) << text;
    }
    void start() {
        const string overlay =
            "{\"balancing\":{\"locality\":\"overflow\"},\"machine\":{\"memory_mb\":" +
            std::to_string(this->where.memory_mb) +
            ",\"max_descriptors\":" + std::to_string(this->where.max_fds) +
            "},\"failure_domain_regions\":{\"z1\":\"r\",\"z2\":\"r\",\"z3\":\"r\"},"
            "\"bounds\":{\"warm_up_overshoot\":1,\"warm_up_slack\":0}}";
        this->pid = fork();
        if (this->pid == 0) {
            const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            const string path_variable = "PATH=" + string(getenv("PATH") ? getenv("PATH") : "/bin");
            const string settings = "KNAPWEEDKNOT_CONFIG=" + this->path;
            const string further = "KNAPWEEDKNOT_OVERLAY=" + overlay;
            char* const environment[] = {const_cast<char*>(path_variable.c_str()),
                                         const_cast<char*>(settings.c_str()),
                                         const_cast<char*>(further.c_str()), nullptr};
            execle("target/programs/knapweedknotd", "knapweedknotd", "--edge", nullptr,
                   environment);
            _exit(127);
        }
        started_processes().push_back(this->pid);
    }
    [[nodiscard]] bool wait_until_ready(double limit_s) const {
        const auto start = steady::now();
        while (seconds_since(start) < limit_s) {
            if (auto call = connection::open(this->where.ip, this->base + 48)) {
                call->write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
                message answer;
                if (call->read(answer, 1) && answer.status() == 200) {
                    return true;
                }
            }
            sleep_s(0.1);
        }
        return false;
    }
    /// Whether the process has ended by itself.
    [[nodiscard]] bool has_ended() const { return waitpid(this->pid, nullptr, WNOHANG) != 0; }
    [[nodiscard]] int front_port() const { return this->base + 45; }

    machine where;
    pid_t pid = -1;

private:
    int base;
    string path;
    string log;
};

/// True when a listener can be opened on the address.
inline bool is_free(const string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = address_of(ip, port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
    ::close(fd);
    return free;
}

/// A second byte of 127.x.0.0 that this run uses alone, and a base for its ports.
struct place {
    string network;
    int base_port = 20000;
    place() {
        const int pid = static_cast<int>(getpid());
        for (int i = 0; i < 100; ++i) {
            this->network = "127." + std::to_string(20 + (pid + i) % 200) + ".";
            this->base_port = 20000 + (pid + 7 * i) % 90 * 100;
            bool all_free = true;
            for (const int offset : {10, 41, 44, 45, 48, 80}) {
                all_free = all_free && is_free(this->network + "0.1", this->base_port + offset);
            }
            if (all_free && is_free(this->network + "1.1", 9464)) {
                return;
            }
        }
        std::cerr << "no free ports\n";
        std::exit(2);
    }
};

inline string make_folder() {
    char path[] = "/tmp/review-XXXXXX";
    if (mkdtemp(path) == nullptr) {
        std::exit(2);
    }
    return path;
}

inline bool has_trouble() {
    const char* value = getenv("TROUBLE");
    return value == nullptr || string(value) != "0";
}

} // namespace standins
