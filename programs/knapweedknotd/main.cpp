/// \file
/// The entry daemon.

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "instance.h"

namespace options = boost::program_options;
using namespace knapweedknot;

namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

int serve(const instance_settings& settings) {
    start_log("knapweedknotd", settings.lowest_log_level);
    loop events;
    instance served(events, settings);
    if (const auto started = served.start(); !started) {
        std::cerr << "knapweedknotd: " << started.error().detail << '\n';
        return exit_failure;
    }
    const timer on_term = events.on_signal(SIGTERM, [&] { served.drain(); });
    const timer on_interrupt = events.on_signal(SIGINT, [&] { served.drain(); });
    events.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    options::options_description known("Usage: knapweedknotd --settings FILE [--check-settings]");
    known.add_options()("help", "show this text")("settings", options::value<std::string>(),
                                                  "file of settings, JSON with comments")(
        "check-settings", "check the settings, say what is wrong and exit");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, known), given);
    } catch (const options::error& problem) {
        std::cerr << "knapweedknotd: " << problem.what() << '\n';
        return exit_usage;
    }
    if (given.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    if (given.count("settings") == 0) {
        std::cerr << "knapweedknotd: --settings FILE is required; see --help\n";
        return exit_usage;
    }
    const std::string path = given["settings"].as<std::string>();
    const std::ifstream file(path);
    if (!file) {
        std::cerr << "knapweedknotd: cannot read " << path << '\n';
        return exit_usage;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto settings = parse_settings(text.str());
    if (!settings) {
        std::cerr << "knapweedknotd: " << path << ": " << settings.error().detail << '\n';
        return exit_usage;
    }
    if (given.count("check-settings") > 0) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return serve(*settings);
}
