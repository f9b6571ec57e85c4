#pragma once

// Stand-ins for the platform's store, for endpoints and for clients, and the start of the project's
// processes with the command and the settings template of the deploy file. All addresses are
// loopback addresses. Used by the scripts in review/N.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace kit {

/// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Seconds on the monotonic clock since the program started.
double now_s();
void sleep_s(double seconds);
/// False with TROUBLE=0 in the environment.
bool with_trouble();
/// Appends a line with the time to record.txt and to standard output.
void record(const std::string& line);
/// Opens FOLDER/record.txt.
void open_record(const std::string& folder);
/// Ends all processes that were started, and this one with \p result.
[[noreturn]] void finish(int result);
/// Writes \p why to the record, ends all processes and exits with could_not_run.
[[noreturn]] void give_up(const std::string& why);

/// An HTTP/1.1 message.
struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether the body had its announced length.
    bool is_whole{true};

    [[nodiscard]] std::string header(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// A blocking connection with a read buffer.
class connection {
public:
    explicit connection(int socket) : fd(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects to IP:PORT; null after one second without a connection.
    /// \param receive_buffer size of the receive buffer; 0 leaves it to the system
    /// \param segment largest segment, as on a network with packets of 1500 bytes; 0: the
    /// loopback's
    static std::unique_ptr<connection> open(const std::string& address, int receive_buffer = 0,
                                            int segment = 0);
    bool send(std::string_view bytes) const;
    /// Reads one message with a body of its Content-Length; nothing at the end of the connection or
    /// after \p limit_s. A message that ends early is returned with is_whole false.
    std::optional<message> read(double limit_s = 60);
    /// Waits up to \p seconds; true if the peer has closed or reset the connection.
    bool is_closed_within(double seconds) const;
    /// Longest time to receive 1 MB; 0 for no limit. Paces read().
    double seconds_per_megabyte{0};
    /// Number of bytes received.
    std::size_t received{0};

    int fd;

private:
    bool fill(double deadline);
    std::string buffer;
};

/// Listens on IP:PORT and runs \p serve in a thread for each connection.
void listen(const std::string& address, std::function<void(connection&)> serve);

/// The platform's store: keys, pages, watches and transactions as PROTOCOL.md describes them.
class store {
public:
    explicit store(const std::string& address);
    /// Writes a key as the operator or an endpoint does.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// While silent, no call gets an answer, and a connection on which one is lost returns nothing
    /// further. Watches that wait go on waiting.
    std::atomic<bool> is_silent{false};
    /// When the last watch of \p prefix arrived; empty before the first.
    std::optional<double> last_watch(const std::string& prefix);
    std::string address;

private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
    };
    struct change {
        std::string key;
        std::uint64_t revision{0};
        std::optional<item> value;
    };
    void serve(connection& from);
    std::pair<int, std::string> answer(const message& request);
    std::pair<int, std::string> watch(const std::map<std::string, std::string>& query);
    std::pair<int, std::string> transact(const std::string& body);
    void write(const std::string& key, const std::optional<std::string>& value);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::uint64_t revision{1};
    std::map<std::string, double> watch_times;
};

/// One request that an endpoint began to run.
struct run {
    std::string endpoint;
    std::string service;
    std::string request_id;
    std::string method;
    std::string target;
    std::string tenant;
    /// Empty if it was larger than 64 kB.
    std::string body;
    double started{0};
    double ended{0};
    /// "whole", "cut" (the connection was closed) or "deadline".
    std::string end;
};

/// An endpoint of a service with 6 slots.
class endpoint {
public:
    endpoint(std::string id, std::string service, std::string address);
    /// Its entry in the store.
    [[nodiscard]] std::string entry(const std::string& state = "ready") const;
    /// All runs so far.
    std::vector<run> runs();

    std::string id;
    std::string service;
    std::string address;
    /// Time that a request takes, and size of its answer.
    std::atomic<double> work_s{0.1};
    std::atomic<std::size_t> answer_bytes{20};

private:
    void serve(connection& from);
    void serve_request(connection& from, const message& request, bool& keep);

    std::mutex mutex;
    std::vector<run> all;
    int running{0};
};

/// A running process of the project: target/programs/knapweedknotd --edge.
class edge {
public:
    /// Fills in deploy/settings.json and starts the process.
    edge(std::string name, std::string zone, std::string ip, const std::string& store_address);
    void start();
    void signal(int number) const;
    /// Waits up to \p limit_s for its end; the status of waitpid, or nothing.
    std::optional<int> wait_end(double limit_s);
    [[nodiscard]] bool is_ready() const;
    /// Memory of the process in RAM; 0 if it does not run.
    [[nodiscard]] long resident_bytes() const;

    std::string name;
    std::string ip;
    std::string front;
    std::string ready;
    std::string directory;
    std::string log_path;

private:
    std::string settings_path;
    pid_t pid{-1};
};

/// A free loopback network 127.A.B. with ports that nothing uses.
std::string free_network();
/// A port that is free on \p ip.
int free_port(const std::string& ip);
/// A folder that is removed at the end.
const std::string& temporary_folder();
/// Waits until all are ready, or gives up after 15 s.
void wait_ready(const std::vector<edge*>& edges);

/// A route of the operator's configuration.
struct route {
    std::string prefix;
    std::string kind;
    std::string service;
    int timeout_ms{10000};
    /// Needs no key.
    bool is_public{false};
};
/// A configuration with these routes at host "shop.example", one tenant "printers" with the key
/// "key-printers-1", the services that the routes name, and the limits that fleetbench wire shows.
std::string configuration(const std::string& version, const std::vector<route>& routes);

/// Bytes of a client's request.
std::string request(const std::string& method, const std::string& path, const std::string& id,
                    const std::string& body = "", int deadline_ms = 12000,
                    const std::string& further_headers = "");

} // namespace kit
