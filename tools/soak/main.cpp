/// \file
/// Plays planned work on real edge processes and reports each request that was lost.

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <random>

#include <boost/program_options.hpp>

#include "base/log.h"
#include "caller.h"
#include "judge.h"
#include "plan.h"

namespace options = boost::program_options;
using namespace knapweedknot;
using namespace knapweedknot::soak;

namespace {

constexpr duration step_interval = milliseconds(10);
constexpr duration ready_limit = seconds(15);
constexpr duration last_answers_limit = seconds(8);
/// Requests that may end without a response at no planned work.
constexpr std::size_t allowed_unplanned = 3;

options::options_description describe() {
    options::options_description description("Usage: soak [options]");
    auto add = description.add_options();
    add("help", "show this text");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of all that is drawn");
    add("edges", options::value<int>()->default_value(4), "number of edge processes");
    add("targets", options::value<int>()->default_value(24), "number of targets, 4 at least");
    add("callers", options::value<int>()->default_value(36), "number of callers");
    add("slow-callers", options::value<int>()->default_value(-1),
        "number of callers with the speed and buffer below; -1: all");
    add("duration-s", options::value<double>()->default_value(30), "time of traffic, s");
    add("plan", options::value<std::string>()->default_value("all"),
        "stops, hangups, idle, changes (with commas between them), all or none");
    add("caller-bytes-per-s", options::value<double>()->default_value(0),
        "speed at which slow callers read; 0: no limit");
    add("receive-buffer", options::value<int>()->default_value(0),
        "receive buffer of slow callers, bytes; 0: the system's");
    add("max-segment", options::value<int>()->default_value(0),
        "largest segment to slow callers, bytes; 0: the loopback's");
    add("network", options::value<int>()->default_value(90),
        "the addresses are 127.NETWORK.x.x; runs side by side need different ones");
    add("edge-program",
        options::value<std::string>()->default_value(KNAPWEEDKNOT_BUILD_DIR
                                                     "/programs/knapweedknotd"),
        "program of the edges");
    add("keep-logs", options::value<std::string>(), "folder that keeps settings and logs");
    return description;
}

/// The callers, the plan and the clock of one run.
class player {
public:
    player(loop& owner, fleet& edges, records& seen, const options::variables_map& arguments)
        : events(owner), edges(edges), seen(seen),
          length(from_seconds(arguments["duration-s"].as<double>())),
          work(edges, parse_plan(arguments["plan"].as<std::string>()),
               arguments["seed"].as<std::uint64_t>(), this->length) {
        std::mt19937_64 random(arguments["seed"].as<std::uint64_t>() + 1);
        const int count = arguments["callers"].as<int>();
        const int slow = arguments["slow-callers"].as<int>();
        for (int number = 0; number < count; ++number) {
            // Those that pipeline come first, so that they are the slow ones.
            constexpr int pipelined_part = 3;
            caller_shape shape;
            shape.stays = random() % 3 == 0;
            shape.habit = number < count / pipelined_part
                              ? caller_habit::pipelined
                              : std::array{caller_habit::kept, caller_habit::idling,
                                           caller_habit::kept, caller_habit::fresh}
                                    .at(static_cast<std::size_t>(number) % 4);
            if (slow < 0 || number < slow) {
                shape.connection = {arguments["receive-buffer"].as<int>(),
                                    arguments["max-segment"].as<int>(),
                                    arguments["caller-bytes-per-s"].as<double>()};
            }
            this->callers.push_back(std::make_unique<caller>(
                owner, edges, seen, static_cast<std::size_t>(number), shape, random()));
        }
    }

    /// Plays the whole run. False if the edges did not become ready.
    bool play() {
        this->edges.start_store();
        for (int number = 0; number < this->edges.size(); ++number) {
            this->edges.start_edge(number);
        }
        const time_point limit = boot_clock::now() + ready_limit;
        {
            const timer poll = this->events.every(milliseconds(100), [&] {
                if (this->edges.ask_readiness() == this->edges.size() ||
                    boot_clock::now() > limit) {
                    this->events.stop();
                }
            });
            this->events.run();
        }
        if (boot_clock::now() > limit) {
            return false;
        }
        this->seen.began = boot_clock::now();
        const timer steps = this->events.every(step_interval, [this] { this->step(); });
        this->events.run();
        return true;
    }

private:
    void step() {
        const duration passed = boot_clock::now() - this->seen.began;
        this->edges.step(passed < this->length);
        this->work.step(passed);
        for (const auto& item : this->callers) {
            if (passed >= this->length) {
                item->stop();
            }
            item->step();
        }
        const bool is_done = std::all_of(this->callers.begin(), this->callers.end(),
                                         [](const auto& item) { return item->is_done(); });
        if (passed >= this->length && (is_done || passed > this->length + last_answers_limit)) {
            this->events.stop();
        }
    }

    loop& events;
    fleet& edges;
    records& seen;
    duration length;
    plan work;
    std::vector<std::unique_ptr<caller>> callers;
};

int play(const options::variables_map& arguments, const std::string& folder) {
    loop events;
    records seen;
    fleet edges(events,
                {arguments["edges"].as<int>(), arguments["targets"].as<int>(),
                 arguments["network"].as<int>(), arguments["edge-program"].as<std::string>(),
                 folder},
                seen);
    player played(events, edges, seen, arguments);
    if (!played.play()) {
        std::cerr << "soak: the edges did not become ready\n";
        return 2;
    }
    const verdict found = judge(seen, std::cout);
    const bool is_broken =
        found.lost > 0 || found.unplanned > allowed_unplanned || edges.unexpected_ends() > 0;
    std::size_t stops = 0;
    std::size_t hangups = 0;
    for (const edge_record& item : seen.edges) {
        stops += item.stops.size();
        hangups += item.hangups.size();
    }
    std::cout << "summary seed=" << arguments["seed"].as<std::uint64_t>()
              << " attempts=" << found.attempts << " answered=" << found.answered
              << " lost=" << found.lost << " without_planned_work=" << found.unplanned
              << " too_slow_for_the_grace=" << found.too_slow << " excused=" << found.excused
              << " stops=" << stops << " hangups=" << hangups
              << " policies=" << seen.policies.size()
              << " unexpected_ends=" << edges.unexpected_ends()
              << " result=" << (is_broken ? "broken" : "held") << '\n';
    return is_broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    const options::options_description description = describe();
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        start_log("soak", log_level::warning);
        const bool keeps_logs = arguments.count("keep-logs") > 0;
        const std::filesystem::path folder =
            keeps_logs ? std::filesystem::path(arguments["keep-logs"].as<std::string>())
                       : std::filesystem::temp_directory_path() /
                             ("soak-" + std::to_string(arguments["network"].as<int>()));
        std::filesystem::create_directories(folder);
        const int result = play(arguments, folder.string());
        if (!keeps_logs) {
            std::filesystem::remove_all(folder);
        }
        return result;
    } catch (const std::exception& problem) {
        std::cerr << "soak: " << problem.what() << '\n';
        return 2;
    }
}
