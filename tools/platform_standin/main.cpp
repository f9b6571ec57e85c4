/// \file
/// Stand-in for the platform's key-value store and instance list, for demonstrations and tests.

#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>

#include "base/log.h"
#include "platform_service.h"

namespace options = boost::program_options;
using namespace knapweedknot;

int main(int argc, char** argv) {
    options::options_description description("Usage: platform_standin [options]");
    description.add_options()("help", "show this text")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:7000"),
        "address to serve on, IPV4:PORT")(
        "list-lag-ms", options::value<int>()->default_value(1000),
        "delay until a change of the instance list becomes visible, ms")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed for the choice of dropped responses");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error& problem) {
        std::cerr << "platform_standin: " << problem.what() << '\n';
        return 2;
    }
    if (arguments.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    start_log("platform_standin", log_level::info);
    const auto address = parse_endpoint(arguments["listen"].as<std::string>());
    if (!address) {
        std::cerr << "platform_standin: --listen " << address.error().detail << '\n';
        return 2;
    }
    loop events;
    standin::platform_service service(events, milliseconds(arguments["list-lag-ms"].as<int>()),
                                      arguments["seed"].as<std::uint64_t>());
    if (const auto listening = service.listen(*address); !listening) {
        std::cerr << "platform_standin: " << listening.error().detail << '\n';
        return 1;
    }
    const timer on_term = events.on_signal(SIGTERM, [&] { events.stop(); });
    events.run();
    return 0;
}
