/// \file
/// Simulated targets for demonstrations and tests; one process runs any number of them.

#include <csignal>
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>

#include "base/digest.h"
#include "base/log.h"
#include "base/settings_reader.h"
#include "standin_target.h"

namespace options = boost::program_options;
using namespace knapweedknot;

namespace {

using target_list = std::vector<std::unique_ptr<standin::standin_target>>;

void send_response(incoming_request& request, int status, const nlohmann::json& body) {
    http_response response;
    response.status = status;
    response.body = make_body(body.dump());
    request.respond(std::move(response));
}

nlohmann::json status_json(target_list& targets) {
    nlohmann::json status = nlohmann::json::object();
    for (const auto& target : targets) {
        status[target->name()] = {{"executions", target->executions()},
                                  {"mode", target->behaviour().mode},
                                  {"most_connections", target->most_connections()}};
    }
    return status;
}

/// Handles GET / (status of all targets) and PUT /NAME, which changes the behaviour of a target, or
/// of all when NAME is "*"; {"mode": "crash"} crashes it.
void handle_admin(target_list& targets, incoming_request& request) {
    if (request.method() == "GET") {
        send_response(request, 200, status_json(targets));
        return;
    }
    const std::string name_pattern(request.path().substr(1));
    const nlohmann::json body = nlohmann::json::parse(body_text(request.body()), nullptr, false);
    std::size_t changed = 0;
    for (const auto& target : targets) {
        if (name_pattern != "*" && name_pattern != target->name()) {
            continue;
        }
        ++changed;
        if (body.is_object() && body.value("mode", "") == "crash") {
            target->crash();
        } else if (const auto updated = standin::update_behaviour(target->behaviour(), body);
                   !updated) {
            send_response(request, 422, {{"error", updated.error().detail}});
            return;
        }
    }
    send_response(request, changed > 0 ? 200 : 404, {{"changed", changed}});
}

/// Parses "NAME=IPV4:PORT".
result<std::pair<std::string, endpoint>> parse_target(const std::string& text) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
        return fail(error_kind::invalid_value, "--target must be NAME=IPV4:PORT");
    }
    auto address = parse_endpoint(std::string_view(text).substr(equals + 1));
    if (!address) {
        return fail(error_kind::invalid_value, "--target " + address.error().detail);
    }
    return std::pair(text.substr(0, equals), *address);
}

int serve(const options::variables_map& arguments) {
    standin::target_behaviour behaviour;
    const auto source = parse_json_with_comments(arguments["behaviour"].as<std::string>());
    const auto admin = parse_endpoint(arguments["admin"].as<std::string>());
    const auto updated =
        source.and_then([&](const auto& json) { return update_behaviour(behaviour, json); });
    if (!updated || !admin) {
        std::cerr << "target_standin: " << (updated ? admin.error().detail : updated.error().detail)
                  << '\n';
        return 2;
    }
    std::ofstream log_file;
    if (arguments.count("log") > 0) {
        log_file.open(arguments["log"].as<std::string>(), std::ios::app);
    }
    loop events;
    target_list targets;
    for (const std::string& text : arguments["target"].as<std::vector<std::string>>()) {
        const auto parsed = parse_target(text);
        if (!parsed) {
            std::cerr << "target_standin: " << parsed.error().detail << '\n';
            return 2;
        }
        const auto& [name, address] = *parsed;
        targets.push_back(std::make_unique<standin::standin_target>(
            events, name, address, behaviour,
            [&log_file](const nlohmann::json& line) {
                if (log_file.is_open()) {
                    log_file << line.dump() << '\n';
                }
            },
            hash64(name, arguments["seed"].as<std::uint64_t>())));
        if (const auto started = targets.back()->start(); !started) {
            std::cerr << "target_standin: " << started.error().detail << '\n';
            return 1;
        }
    }
    http_server admin_server(events, {}, [&](auto request) { handle_admin(targets, *request); });
    if (const auto listening = admin_server.listen(*admin); !listening) {
        std::cerr << "target_standin: " << listening.error().detail << '\n';
        return 1;
    }
    const timer flush_timer = events.every(milliseconds(100), [&] { log_file.flush(); });
    const timer on_term = events.on_signal(SIGTERM, [&] { events.stop(); });
    events.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    options::options_description description("Usage: target_standin --target NAME=IPV4:PORT ...");
    description.add_options()("help", "show this text")(
        "target", options::value<std::vector<std::string>>()->required(),
        "a target to run, NAME=IPV4:PORT; may be repeated")(
        "admin", options::value<std::string>()->default_value("127.0.0.1:7100"),
        "address of the administration interface")(
        "behaviour", options::value<std::string>()->default_value("{}"),
        "initial behaviour of the targets, JSON")(
        "log", options::value<std::string>(),
        "file to which each step of an execution is appended as a JSON line")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of the random latencies");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(arguments);
    } catch (const options::error& problem) {
        std::cerr << "target_standin: " << problem.what() << '\n';
        return 2;
    }
    start_log("target_standin", log_level::info);
    return serve(arguments);
}
