// After a silent outage of the store nothing makes an instance without requests read it again. The
// first request on a public route is then handled by an old configuration.

#include <algorithm>

#include "kit.hh"

using namespace kit;

namespace {

// A watch of the configuration waits so long at the store.
constexpr double watch_s = 20;
// The outage begins so long before the end of the watch.
constexpr double outage_before_watch_end_s = 2.5;
// platform_down, silent: the longest of the site file.
constexpr double outage_s = 4.5;
// stability-window-ms is 3000, config-apply-ms 2000.
constexpr double change_after_outage_s = 3.5;
constexpr double request_after_change_s = 2.5;

struct sent_request {
    std::string id;
    std::string machine;
    double sent{0};
    int status{0};
};

/// Sends one POST without a key to each machine at the same time.
std::vector<sent_request> register_everywhere(const std::vector<edge*>& machines,
                                              const std::string& part) {
    std::vector<sent_request> all;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (const edge* machine : machines) {
        clients.emplace_back([&, machine] {
            const std::string id = part + "-" + machine->name;
            sent_request made{id, machine->name, now_s(), 0};
            const auto client = connection::open(machine->front);
            if (client != nullptr &&
                client->send("POST /register/" + id +
                             " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                             "\r\nX-Deadline-Ms: 12000\r\nContent-Length: 1\r\n\r\nx")) {
                const auto answer = client->read(12);
                made.status = answer ? answer->status() : 0;
            }
            const std::scoped_lock lock(mutex);
            all.push_back(made);
        });
    }
    for (std::thread& item : clients) {
        item.join();
    }
    return all;
}

} // namespace

int main(int, char** argv) {
    open_record(argv[1]);
    const std::string network = free_network();
    const auto at = [&](const std::string& host) {
        return network + host + ":" + std::to_string(free_port(network + host));
    };
    store metadata(at("1"));
    endpoint old_1("i-register-1", "coderegistry", at("111"));
    endpoint old_2("i-register-2", "coderegistry", at("112"));
    endpoint new_1("i-layout-1", "layoutdesk", at("101"));
    endpoint new_2("i-layout-2", "layoutdesk", at("102"));
    const std::vector<endpoint*> endpoints{&old_1, &old_2, &new_1, &new_2};
    for (endpoint* item : endpoints) {
        item->work_s = 0.05;
        metadata.put("servers/" + item->id, item->entry());
    }
    metadata.put("op/config",
                 configuration("00000005", {{"/register/", "unsafe", "coderegistry", 6000, true},
                                            {"/lookup/", "safe", "layoutdesk", 6000, true}}));
    edge first("front-a-1", "z-a", network + "10", metadata.address);
    edge second("front-a-2", "z-a", network + "11", metadata.address);
    const std::vector<edge*> machines{&first, &second};
    wait_ready(machines);
    sleep_s(3);
    auto requests = register_everywhere(machines, "before");

    // The outage begins shortly before the watch of the configuration ends, if a machine watches
    // it.
    const auto watch = metadata.last_watch("op/config");
    double outage = watch ? *watch + watch_s - outage_before_watch_end_s : now_s();
    while (outage < now_s()) {
        outage += watch ? watch_s : 1;
    }
    record(watch ? "one machine watches the configuration"
                 : "no machine watches the configuration");
    sleep_s(std::max(0.0, outage - now_s()));
    metadata.is_silent = with_trouble();
    record(with_trouble() ? "the store is silent" : "no outage");
    sleep_s(outage_s);
    metadata.is_silent = false;
    const double end = now_s();
    record("the store answers again");
    sleep_s(change_after_outage_s);
    metadata.put("op/config",
                 configuration("00000009", {{"/register/", "unsafe", "layoutdesk", 6000, true},
                                            {"/lookup/", "safe", "layoutdesk", 6000, true}}));
    const double confirmed = now_s();
    record("version 00000009 is confirmed: /register/ goes to layoutdesk");
    sleep_s(request_after_change_s);
    for (const char* part : {"after", "later"}) {
        const auto made = register_everywhere(machines, part);
        requests.insert(requests.end(), made.begin(), made.end());
        sleep_s(1);
    }
    int by_old = 0;
    for (const sent_request& made : requests) {
        std::string line = made.id + ": status " + std::to_string(made.status);
        bool is_old = false;
        for (endpoint* item : endpoints) {
            for (const run& ran : item->runs()) {
                if (ran.request_id == made.id) {
                    line += ", run by " + ran.service;
                    is_old = is_old || ran.service == "coderegistry";
                }
            }
        }
        record(line);
        if (is_old && made.sent > confirmed + 2) {
            ++by_old;
            record("CONFIG: " + made.id + " was sent " + std::to_string(made.sent - confirmed) +
                   " s after the confirmation and " + std::to_string(made.sent - end) +
                   " s after the outage, and run by the old service");
        }
    }
    record(std::to_string(by_old) + " requests were handled as only the older version allows");
    finish(by_old > 0 ? rule_broken : rule_held);
}
