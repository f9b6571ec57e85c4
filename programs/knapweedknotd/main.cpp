/// \file
/// The proxy daemon: one instance of the fleet.

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "edge_instance.h"
#include "instance.h"

namespace options = boost::program_options;
using namespace knapweedknot;

namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
// The settings file is also polled, because it may change without a SIGHUP.
// Environment variable with further settings of an edge.
constexpr const char* overlay_variable = "KNAPWEEDKNOT_OVERLAY";
constexpr duration settings_poll_interval = seconds(1);

/// Parsed command line.
struct arguments {
    std::string settings_path;
    bool is_edge{false};
    bool check_only{false};
};

int report_failure(const std::string& problem, int code) {
    std::cerr << "knapweedknotd: " << problem << '\n';
    return code;
}

result<std::string> read_file(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        return fail(error_kind::not_found, "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Runs \p daemon until SIGTERM or SIGINT has drained it.
template <typename Daemon>
int run(loop& events, Daemon& daemon) {
    if (const auto started = daemon.start(); !started) {
        return report_failure(started.error().detail, exit_failure);
    }
    const timer on_term = events.on_signal(SIGTERM, [&] { daemon.drain(); });
    const timer on_interrupt = events.on_signal(SIGINT, [&] { daemon.drain(); });
    events.run();
    return 0;
}

int serve(const instance_settings& settings) {
    start_log("knapweedknotd", settings.lowest_log_level);
    loop events;
    instance daemon(events, settings);
    return run(events, daemon);
}

/// Parses the settings of an edge; those in the environment replace or complete the file's.
result<edge_settings> parse_edge(std::string_view text) {
    const char* const overlay = std::getenv(overlay_variable);
    return parse_edge_settings(text, overlay == nullptr ? std::string_view() : overlay);
}

/// Applies the settings file if its text has changed. An invalid file is logged and ignored.
void reload_settings(const std::string& path, std::string& previous_text, edge_instance& daemon) {
    const auto text = read_file(path);
    if (!text || *text == previous_text) {
        return;
    }
    previous_text = *text;
    if (const auto settings = parse_edge(*text); settings) {
        daemon.apply_settings(*settings);
    } else {
        log_event(log_level::error, "settings_unusable", {{"problem", settings.error().detail}});
    }
}

int serve_edge(const arguments& given, std::string text, const edge_settings& settings) {
    start_log("knapweedknotd", settings.lowest_log_level);
    loop events;
    edge_instance daemon(events, settings);
    const auto reload = [&] { reload_settings(given.settings_path, text, daemon); };
    const timer on_hangup = events.on_signal(SIGHUP, reload);
    const timer on_poll = events.every(settings_poll_interval, reload);
    return run(events, daemon);
}

/// Parses \p text with \p parse, then runs \p serve unless --check-settings was given.
template <typename Parse, typename Serve>
int check_and_serve(const arguments& given, const std::string& text, Parse parse, Serve serve) {
    const auto settings = parse(text);
    if (!settings) {
        return report_failure(given.settings_path + ": " + settings.error().detail, exit_usage);
    }
    if (given.check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return serve(*settings);
}

int start(const arguments& given) {
    if (given.is_edge) {
        // A hangup that comes while no handler is installed, at the start and the end of the
        // process, would end it. The settings file is polled, so the notice is not lost.
        std::signal(SIGHUP, SIG_IGN);
    }
    const auto text = read_file(given.settings_path);
    if (!text) {
        return report_failure(text.error().detail, exit_usage);
    }
    if (given.is_edge) {
        return check_and_serve(given, *text, parse_edge, [&](const edge_settings& parsed) {
            return serve_edge(given, *text, parsed);
        });
    }
    return check_and_serve(given, *text, parse_settings, serve);
}

} // namespace

int main(int argc, char** argv) {
    options::options_description known(
        "Usage: knapweedknotd --settings FILE [--check-settings]\n"
        "       knapweedknotd --edge [--settings FILE] [--check-settings]\n"
        "With --edge the instance follows an operator's traffic policy in the platform's store;\n"
        "its settings file may be named by KNAPWEEDKNOT_CONFIG, and KNAPWEEDKNOT_OVERLAY may hold\n"
        "further settings, a JSON object that is merged into the file's.");
    known.add_options()("help", "show this text")("settings", options::value<std::string>(),
                                                  "file of settings, JSON with comments")(
        "edge", "serve by the traffic policy in the platform's store")(
        "check-settings", "check the settings, say what is wrong and exit");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, known), given);
    } catch (const options::error& problem) {
        return report_failure(problem.what(), exit_usage);
    }
    if (given.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    arguments parsed_arguments;
    parsed_arguments.is_edge = given.count("edge") > 0;
    parsed_arguments.check_only = given.count("check-settings") > 0;
    const char* from_environment = std::getenv("KNAPWEEDKNOT_CONFIG");
    if (given.count("settings") > 0) {
        parsed_arguments.settings_path = given["settings"].as<std::string>();
    } else if (parsed_arguments.is_edge && from_environment != nullptr) {
        parsed_arguments.settings_path = from_environment;
    } else {
        return report_failure("--settings FILE is required; see --help", exit_usage);
    }
    return start(parsed_arguments);
}
