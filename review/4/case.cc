// A planned stop: a client that sends further safe requests before earlier ones are answered keeps
// its connection open, and requests that it sends later than 3 s after the SIGTERM are passed on
// and then broken off.

#include <csignal>
#include <set>

#include "kit.hh"

using namespace kit;

namespace {

constexpr double send_interval_s = 0.4;
constexpr double work_s = 2.5;
constexpr double grace_s = 6;
constexpr std::size_t most_outstanding = 7;
// The answer of /resolve says ttl-s 1; some clients keep it three times as long.
constexpr double answer_kept_s = 3;

struct sent_request {
    std::string id;
    double sent{0};
    double ended{0};
    /// 0: the connection ended without an answer.
    int status{0};
    bool is_whole{false};
    bool is_signed{false};
};

/// Asks the directories in turn; empty if none gives addresses.
std::string resolve(const std::vector<std::string>& directories) {
    for (const std::string& directory : directories) {
        const auto asked = connection::open(directory);
        if (asked == nullptr ||
            !asked->send(
                "GET /resolve?name=shop.example&region=r&zone=z-a HTTP/1.1\r\nHost: d\r\n\r\n")) {
            continue;
        }
        const auto answer = asked->read(1);
        if (answer && answer->status() == 200 &&
            answer->body.find("addresses") != std::string::npos) {
            return answer->body;
        }
    }
    return "";
}

/// A client with one connection to \p front. It sends safe requests until a new answer of a
/// directory does not name that address, or the connection ends.
class pipelining_client {
public:
    pipelining_client(std::string name, std::string front, std::vector<std::string> directories)
        : own_name(std::move(name)), address(std::move(front)),
          known_directories(std::move(directories)) {}

    void run() {
        this->open = connection::open(this->address);
        if (this->open == nullptr) {
            give_up("no connection to " + this->address);
        }
        std::thread reader([this] { this->read_answers(); });
        std::thread resolver([this] { this->follow_directories(); });
        for (int number = 1; !this->is_over; ++number) {
            this->send_next(number);
            sleep_s(send_interval_s);
        }
        reader.join();
        resolver.join();
    }
    std::vector<sent_request> requests;

private:
    void send_next(int number) {
        const std::scoped_lock lock(this->mutex);
        if (this->stopped_sending || this->requests.size() - this->answered >= most_outstanding) {
            return;
        }
        const std::string id = this->own_name + "-" + std::to_string(number);
        this->requests.push_back({id, now_s(), 0, 0, false, false});
        this->stopped_sending = !this->open->send(request("GET", "/stock/" + id, id, "", 20000));
    }
    void read_answers() {
        while (const auto answer = this->open->read(15)) {
            const std::scoped_lock lock(this->mutex);
            sent_request& ended = this->requests.at(this->answered++);
            ended.ended = now_s();
            ended.status = answer->status();
            ended.is_whole = answer->is_whole;
            ended.is_signed = !answer->header("X-Response-Signature").empty();
            if (answer->header("Connection") == "close") {
                break;
            }
            if (this->stopped_sending && this->answered == this->requests.size()) {
                break;
            }
        }
        const std::scoped_lock lock(this->mutex);
        this->stopped_sending = true;
        this->is_over = true;
    }
    void follow_directories() {
        double next = now_s() + answer_kept_s;
        while (!this->is_over) {
            sleep_s(0.02);
            if (now_s() < next) {
                continue;
            }
            const std::string found = resolve(this->known_directories);
            if (found.empty()) {
                record(this->own_name + ": no directory names an address; the old answer is kept");
                next = now_s() + 1;
                continue;
            }
            next = now_s() + answer_kept_s;
            const std::scoped_lock lock(this->mutex);
            if (found.find('"' + this->address + '"') == std::string::npos &&
                !this->stopped_sending) {
                record(this->own_name +
                       ": a new answer does not name the address: no further requests");
                this->stopped_sending = true;
            }
        }
    }

    std::string own_name;
    std::string address;
    std::vector<std::string> known_directories;
    std::unique_ptr<connection> open;
    std::mutex mutex;
    std::size_t answered{0};
    bool stopped_sending{false};
    std::atomic<bool> is_over{false};
};

} // namespace

int main(int, char** argv) {
    open_record(argv[1]);
    const std::string network = free_network();
    const auto at = [&](const std::string& host) {
        return network + host + ":" + std::to_string(free_port(network + host));
    };
    store metadata(at("1"));
    std::vector<std::unique_ptr<endpoint>> endpoints;
    for (int i = 1; i <= 6; ++i) {
        endpoints.push_back(std::make_unique<endpoint>("i-stock-" + std::to_string(i), "stockbook",
                                                       at(std::to_string(100 + i))));
        endpoints.back()->work_s = work_s;
        metadata.put("servers/" + endpoints.back()->id, endpoints.back()->entry());
    }
    metadata.put("op/config", configuration("00000005", {{"/stock/", "safe", "stockbook", 10000}}));
    edge first("front-a-1", "z-a", network + "10", metadata.address);
    edge second("front-a-2", "z-a", network + "11", metadata.address);
    wait_ready({&first, &second});
    sleep_s(2);

    std::vector<std::unique_ptr<pipelining_client>> clients;
    std::vector<std::thread> threads;
    for (int i = 1; i <= 2; ++i) {
        clients.push_back(std::make_unique<pipelining_client>(
            "c" + std::to_string(i), first.front, std::vector{first.directory, second.directory}));
        threads.emplace_back([client = clients.back().get()] { client->run(); });
    }
    // The clients ask a directory for the first time again just before the SIGTERM.
    sleep_s(answer_kept_s + 0.2);
    const double term = now_s();
    std::vector<std::thread> platform;
    if (with_trouble()) {
        record("SIGTERM to both machines (roll_term, x = 2)");
        for (edge* item : {&first, &second}) {
            item->signal(SIGTERM);
            platform.emplace_back([item, term] {
                const auto ended = item->wait_end(grace_s);
                record(item->name + (ended ? " ended " : " is killed ") +
                       std::to_string(now_s() - term) + " s after the SIGTERM");
                if (!ended) {
                    item->signal(SIGKILL);
                    item->wait_end(1);
                }
                sleep_s(0.3);
                item->start();
            });
        }
    }
    sleep_s(grace_s + 1.5);
    for (std::thread& item : platform) {
        item.join();
    }
    // Without the disruption the clients go on: end their connections by ending the process.
    if (!with_trouble()) {
        first.signal(SIGKILL);
    }
    for (std::thread& item : threads) {
        item.join();
    }
    std::map<std::string, std::vector<run>> runs;
    for (const auto& item : endpoints) {
        for (const run& made : item->runs()) {
            runs[made.request_id].push_back(made);
        }
    }
    int broken_off = 0;
    for (const auto& client : clients) {
        for (const sent_request& made : client->requests) {
            std::string line =
                made.id + " sent " + std::to_string(made.sent - term) + " s, ended " +
                std::to_string(made.ended == 0 ? 0 : made.ended - term) + " s, status " +
                std::to_string(made.status) + (made.is_signed ? "" : " (no signature)");
            bool is_cut = false;
            for (const run& at_endpoint : runs[made.id]) {
                line += "; " + at_endpoint.endpoint + " ran it from " +
                        std::to_string(at_endpoint.started - term) + " to " +
                        std::to_string(at_endpoint.ended - term) + " s: " + at_endpoint.end;
                is_cut = is_cut || at_endpoint.end == "cut";
            }
            record(line);
            const bool is_answered = made.is_whole && made.is_signed;
            // Not counted: requests sent up to 3 s after the SIGTERM, which may still be at work in
            // the last sixth of grace-s.
            const bool is_counted = made.sent > term + 3 && made.sent < term + grace_s + 1;
            if (with_trouble() && is_counted && is_cut && !is_answered) {
                ++broken_off;
                record("LOST: " + made.id +
                       " was passed on, and broken off while its endpoint was at work");
            }
            if (!with_trouble() && made.sent < term + grace_s - work_s && !is_answered) {
                ++broken_off;
                record("LOST: " + made.id + " has no answer");
            }
        }
    }
    record(std::to_string(broken_off) + " requests were lost");
    finish(broken_off > 0 ? rule_broken : rule_held);
}
