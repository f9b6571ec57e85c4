/// \file
/// Command line tool for operators.

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

#include <boost/program_options.hpp>

#include "check.h"
#include "commands.h"
#include "evacuations.h"
#include "exit_codes.h"
#include "explain.h"

namespace options = boost::program_options;
using namespace knapweedknot;

namespace {

constexpr const char* usage = R"(Usage: knapweedknotctl [options] COMMAND [ARGUMENT ...]

Commands:
  apply FILE                  make the configuration equal to FILE (JSON with comments);
                              accounts that list no keys keep theirs
  diff FILE                   show what apply would change
  patch FILE --base N         submit FILE, a merge patch or a JSON patch, against number N
  show                        print the configuration and its number
  history [--after N]         list accepted patches: number, time, operator, base, patch
  audit                       list all accepted patches and check their hash chain
  status                      instances, seats, targets and why they are ejected, accounts
  addresses --key KEY         the addresses that callers with KEY should use; --instance is
                              then the address for callers
  key add ACCOUNT             make a key and print it; it is shown only once
  key withdraw ACCOUNT KEYID  withdraw a key; it stops working within seconds
  drain                       stop the instance gracefully
  evacuations                 evacuated failure domains and the age of their confirmation;
                              --instance is then the metrics address
  explain ID [FILE ...]       what happened to the request ID and why, from the instances' logs in
                              FILEs or on standard input
  check FILE [--against FILE] check a configuration document of the users' platform before it is
                              sent: errors with their places, entries that never match, limits
                              that contradict each other, and what differs from the document in
                              force; contacts no instance

Examples:
  knapweedknotctl --instance 127.0.1.1:8081 --token-env KNAPWEEDKNOT_TOKEN apply fleet.json
  knapweedknotctl check --against in-force.json next.json

Exit codes: 0 done, 1 refused or check found errors, 2 wrong usage or file,
3 another patch came first, 4 instance unreachable, 5 not known whether accepted,
6 diff found differences.

Options)";

using command = std::function<int(const command_input&)>;

const std::map<std::string, command>& commands() {
    static const std::map<std::string, command> all{
        {"apply", run_apply},
        {"patch", run_patch},
        {"diff", run_diff},
        {"show", run_show},
        {"history", run_history},
        {"audit", run_audit},
        {"status", run_status},
        {"addresses", run_addresses},
        {"key", run_key},
        {"drain", run_drain},
        {"explain", run_explain},
        {"check", run_check},
        {"evacuations", run_evacuations},
    };
    return all;
}

int fail_usage(const std::string& problem) {
    std::cerr << "knapweedknotctl: " << problem << "; see --help\n";
    return exit_usage;
}

bool is_number(const std::string& text) {
    constexpr std::size_t max_digits = 18;
    return text.size() <= max_digits && text.find_first_not_of("0123456789") == std::string::npos;
}

std::string string_option(const options::variables_map& given, const char* name) {
    return given.count(name) > 0 ? given[name].as<std::string>() : std::string();
}

int run(const options::variables_map& given) {
    const std::vector<std::string> command_words = given["words"].as<std::vector<std::string>>();
    const auto found = commands().find(command_words.front());
    if (found == commands().end()) {
        return fail_usage("no command " + command_words.front());
    }
    const auto address = parse_endpoint(given["instance"].as<std::string>());
    if (!address) {
        return fail_usage("--instance " + address.error().detail);
    }
    command_input input;
    input.target.address = *address;
    const std::string token_variable = given["token-env"].as<std::string>();
    if (const char* token = std::getenv(token_variable.c_str()); token != nullptr) {
        input.target.token = token;
    }
    input.arguments.assign(command_words.begin() + 1, command_words.end());
    input.base = string_option(given, "base");
    input.after = string_option(given, "after");
    input.against = string_option(given, "against");
    input.key = string_option(given, "key");
    input.json = given.count("json") > 0;
    if (!is_number(input.base) || !is_number(input.after)) {
        return fail_usage("--base and --after take whole numbers");
    }
    return found->second(input);
}

} // namespace

int main(int argc, char** argv) {
    options::options_description visible_options(usage);
    visible_options.add_options()("help", "show this text")(
        "instance", options::value<std::string>()->default_value("127.0.0.1:8081"),
        "operators' address of any instance, IPV4:PORT")(
        "token-env", options::value<std::string>()->default_value("KNAPWEEDKNOT_TOKEN"),
        "environment variable that holds the operator's token")(
        "base", options::value<std::string>(), "number that the patch was written against")(
        "after", options::value<std::string>(), "list only patches after this number")(
        "against", options::value<std::string>(), "document in force, to compare with")(
        "key", options::value<std::string>(), "a caller's key")("json", "print JSON");
    options::options_description all_options;
    all_options.add(visible_options)
        .add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map given;
    try {
        options::store(options::command_line_parser(argc, argv)
                           .options(all_options)
                           .positional(positions)
                           .run(),
                       given);
    } catch (const options::error& problem) {
        return fail_usage(problem.what());
    }
    if (given.count("help") > 0) {
        std::cout << visible_options;
        return exit_success;
    }
    if (given.count("words") == 0) {
        return fail_usage("a command is needed");
    }
    return run(given);
}
