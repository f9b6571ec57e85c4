/// \file
/// Benchmarks of whole fleets of processes. They print figures and check no thresholds.

#include <functional>
#include <iostream>
#include <map>

#include <boost/program_options.hpp>

#include "benches.h"

namespace options = boost::program_options;
using namespace knapweedknot::bench;

int main(int argc, char** argv) {
    const std::map<std::string, std::function<int(const bench_options&)>> benches{
        {"requests", measure_requests},
        {"configuration", measure_configuration},
        {"control", measure_control},
        {"rates", measure_rates}};
    bench_options chosen;
    options::options_description known(
        "Usage: fleet_bench requests|configuration|control|rates [options]");
    known.add_options()("help", "show this text")("bench", options::value<std::string>())(
        "seed", options::value<std::uint64_t>(&chosen.seed)->default_value(1),
        "seed of loads and faults")("instances",
                                    options::value<int>(&chosen.instances)->default_value(44),
                                    "instances of the fleet, for rates")(
        "seconds", options::value<int>(&chosen.seconds)->default_value(60),
        "length of the load")("static-split", options::bool_switch(&chosen.static_split),
                              "share rates by a fixed split, the baseline")(
        "ignore-addresses", options::bool_switch(&chosen.ignore_addresses),
        "callers use every instance in turn");
    options::positional_options_description positions;
    positions.add("bench", 1);
    options::variables_map given;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(known).positional(positions).run(),
            given);
        options::notify(given);
    } catch (const options::error& problem) {
        std::cerr << "fleet_bench: " << problem.what() << '\n';
        return 2;
    }
    const auto found =
        given.count("bench") > 0 ? benches.find(given["bench"].as<std::string>()) : benches.end();
    if (given.count("help") > 0 || found == benches.end()) {
        std::cout << known;
        return given.count("help") > 0 ? 0 : 2;
    }
    try {
        return found->second(chosen);
    } catch (const std::exception& problem) {
        std::cerr << "fleet_bench: " << problem.what() << '\n';
        return 1;
    }
}
