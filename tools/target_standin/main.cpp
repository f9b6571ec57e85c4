/// \file
/// Stand-in targets for demonstrations and tests: one process carries any number of them.

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

void reply(incoming_request& request, int status, const nlohmann::json& body) {
    http_response answer;
    answer.status = status;
    answer.body = make_body(body.dump());
    request.respond(std::move(answer));
}

nlohmann::json status_of(target_list& targets) {
    nlohmann::json status = nlohmann::json::object();
    for (const auto& target : targets) {
        status[target->name()] = {{"executions", target->executions()},
                                  {"mode", target->behaviour().mode},
                                  {"most_connections", target->most_connections()}};
    }
    return status;
}

/// Serves GET / (status) and PUT /NAME (behaviour; "*" for all; {"mode": "crash"} crashes).
void handle_admin(target_list& targets, incoming_request& request) {
    if (request.method() == "GET") {
        reply(request, 200, status_of(targets));
        return;
    }
    const std::string wanted(request.path().substr(1));
    const nlohmann::json body = nlohmann::json::parse(body_text(request.body()), nullptr, false);
    std::size_t changed = 0;
    for (const auto& target : targets) {
        if (wanted != "*" && wanted != target->name()) {
            continue;
        }
        ++changed;
        if (body.is_object() && body.value("mode", "") == "crash") {
            target->crash();
        } else if (const auto updated = standin::update_behaviour(target->behaviour(), body);
                   !updated) {
            reply(request, 422, {{"error", updated.error().detail}});
            return;
        }
    }
    reply(request, changed > 0 ? 200 : 404, {{"changed", changed}});
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

int serve(const options::variables_map& given) {
    standin::target_behaviour behaviour;
    const auto source = parse_json_with_comments(given["behaviour"].as<std::string>());
    const auto admin = parse_endpoint(given["admin"].as<std::string>());
    const auto checked =
        source.and_then([&](const auto& json) { return update_behaviour(behaviour, json); });
    if (!checked || !admin) {
        std::cerr << "target_standin: " << (checked ? admin.error().detail : checked.error().detail)
                  << '\n';
        return 2;
    }
    std::ofstream log_file;
    if (given.count("log") > 0) {
        log_file.open(given["log"].as<std::string>(), std::ios::app);
    }
    loop events;
    target_list targets;
    for (const std::string& text : given["target"].as<std::vector<std::string>>()) {
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
            hash64(name, given["seed"].as<std::uint64_t>())));
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
    const timer flush = events.every(milliseconds(100), [&] { log_file.flush(); });
    const timer on_term = events.on_signal(SIGTERM, [&] { events.stop(); });
    events.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    options::options_description known("Usage: target_standin --target NAME=IPV4:PORT ...");
    known.add_options()("help", "show this text")(
        "target", options::value<std::vector<std::string>>()->required(),
        "a target to carry, NAME=IPV4:PORT; may be repeated")(
        "admin", options::value<std::string>()->default_value("127.0.0.1:7100"),
        "address for switching behaviour")(
        "behaviour", options::value<std::string>()->default_value("{}"),
        "behaviour at the start, JSON")("log", options::value<std::string>(),
                                        "file for one JSON line for each step of an execution")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of the latencies");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, known), given);
        if (given.count("help") > 0) {
            std::cout << known;
            return 0;
        }
        options::notify(given);
    } catch (const options::error& problem) {
        std::cerr << "target_standin: " << problem.what() << '\n';
        return 2;
    }
    start_log("target_standin", log_level::info);
    return serve(given);
}
