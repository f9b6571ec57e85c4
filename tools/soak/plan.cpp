#include "plan.h"

#include <sstream>
#include <stdexcept>

namespace knapweedknot::soak {

namespace {

const plan_kinds all_kinds{"stops", "hangups", "idle", "changes"};
/// No work is begun in the last part of a run.
constexpr double begun_share = 0.9;

} // namespace

plan_kinds parse_plan(const std::string& text) {
    if (text == "all" || text == "none") {
        return text == "all" ? all_kinds : plan_kinds{};
    }
    plan_kinds wanted;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        if (!all_kinds.contains(part)) {
            throw std::invalid_argument("unknown kind of planned work: " + part);
        }
        wanted.insert(part);
    }
    return wanted;
}

plan::plan(fleet& owner, plan_kinds wanted, std::uint64_t seed, duration run_length)
    : edges(owner), kinds(std::move(wanted)), random(seed), length(run_length) {}

int plan::draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->random);
}

bool plan::is_due(const std::string& kind, duration since_start, double shortest_s,
                  double longest_s) {
    if (!this->kinds.contains(kind)) {
        return false;
    }
    auto& due = this->next[kind];
    if (due > since_start) {
        return false;
    }
    due = since_start +
          from_seconds(std::uniform_real_distribution<double>(shortest_s, longest_s)(this->random));
    // In the first half the kinds take turns.
    const auto part = this->length / (2 * static_cast<std::int64_t>(this->kinds.size()));
    const auto turn = std::distance(this->kinds.begin(), this->kinds.find(kind));
    return since_start >= this->length / 2 || since_start / part == turn;
}

void plan::step(duration since_start) {
    if (since_start > from_seconds(to_seconds(this->length) * begun_share)) {
        return;
    }
    if (this->is_due("stops", since_start, 1.5, 4)) {
        this->stop_wave();
    }
    if (this->is_due("hangups", since_start, 0.3, 1.2)) {
        if (const int number = this->draw(0, this->edges.size() - 1);
            this->edges.is_running(number)) {
            this->edges.hang_up(number);
        }
    }
    if (this->is_due("idle", since_start, 0.5, 1)) {
        constexpr std::array<int, 3> timeouts_ms{400, 5000, 15000};
        this->current.idle_timeout = milliseconds(timeouts_ms.at(
            static_cast<std::size_t>(this->draw(0, static_cast<int>(timeouts_ms.size()) - 1))));
        this->edges.write_policy(this->current);
    }
    if (this->is_due("changes", since_start, 0.5, 1.5)) {
        this->change_policy();
    }
}

void plan::stop_wave() {
    int running = 0;
    for (int number = 0; number < this->edges.size(); ++number) {
        running += this->edges.is_running(number) ? 1 : 0;
    }
    const int least_running = (this->edges.size() + 1) / 2;
    int wave = this->draw(1, (this->edges.size() + 3) / 4);
    int number = this->draw(0, this->edges.size() - 1);
    for (int tried = 0; tried < this->edges.size(); ++tried) {
        number = (number + 1) % this->edges.size();
        if (wave > 0 && running > least_running && this->edges.is_running(number)) {
            this->edges.stop_edge(number);
            --wave;
            --running;
        }
    }
}

void plan::change_policy() {
    switch (this->draw(0, 4)) {
    case 0:
        this->current.timeout_factor = this->draw(0, 1) == 0 ? 1 : 0.7;
        break;
    case 1:
        this->current.header_timeout = seconds(this->draw(1, 4));
        this->current.max_body_bytes = std::size_t{1} << this->draw(16, 24);
        break;
    case 2:
        this->current.idle_routes = this->draw(0, 8);
        break;
    case 3:
        this->current.moved_to = soak::kinds.at(static_cast<std::size_t>(this->draw(0, 3))).service;
        break;
    default:
        this->current.split_weight = 10 * this->draw(0, 5);
        break;
    }
    this->edges.write_policy(this->current);
}

} // namespace knapweedknot::soak
