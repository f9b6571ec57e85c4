#include "explain.h"

#include <fstream>
#include <iostream>

#include "exit_codes.h"
#include "log_reader/request_explanation.h"

namespace knapweedknot {

namespace {

void read_log(std::istream& source, const std::string& name, std::vector<log_line>& log) {
    std::string text;
    while (std::getline(source, text)) {
        if (auto line = parse_log_line(text, name)) {
            log.push_back(std::move(*line));
        }
    }
}

void print_line(const log_line& line) {
    std::cout << line.time << ' ' << line.origin << ' ' << line.event;
    for (const auto& [key, value] : line.fields) {
        const bool is_omitted =
            key == "time" || key == "event" || key == "program" || key == "level";
        if (!is_omitted && !value.empty()) {
            std::cout << ' ' << key << '=' << value;
        }
    }
    std::cout << '\n';
}

} // namespace

int run_explain(const command_input& input) {
    if (input.arguments.empty()) {
        std::cerr << "knapweedknotctl: give a REQUEST-ID, and log files unless they come on "
                     "standard input\n";
        return exit_usage;
    }
    std::vector<log_line> log;
    for (std::size_t i = 1; i < input.arguments.size(); ++i) {
        std::ifstream file(input.arguments[i]);
        if (!file) {
            std::cerr << "knapweedknotctl: cannot read " << input.arguments[i] << '\n';
            return exit_usage;
        }
        read_log(file, input.arguments[i], log);
    }
    if (input.arguments.size() == 1) {
        read_log(std::cin, "standard input", log);
    }
    const request_explanation explanation = explain_request(log, input.arguments.front());
    for (const log_line& line : explanation.lines) {
        print_line(line);
    }
    std::cout << "Cause: " << explanation.cause << '\n';
    return explanation.lines.empty() ? exit_refused : exit_success;
}

} // namespace knapweedknot
