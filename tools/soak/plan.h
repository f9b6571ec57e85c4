#pragma once

#include <random>
#include <set>
#include <string>

#include "fleet.h"

/// \file
/// Planned work: stops in waves, SIGHUPs, idle timeouts and other changes of the policy.

namespace knapweedknot::soak {

/// Kinds of planned work: "stops", "hangups", "idle" and "changes".
using plan_kinds = std::set<std::string>;

/// Reads a list of kinds with commas between them, "all" or "none". Throws std::invalid_argument.
[[nodiscard]] plan_kinds parse_plan(const std::string& text);

/// Plays planned work on a fleet: in the first half of the run one kind after the other, in the
/// second half all at once. All is drawn from the seed. Not thread safe.
class plan {
public:
    plan(fleet& owner, plan_kinds kinds, std::uint64_t seed, duration length);
    /// Does what is due; call it often.
    void step(duration since_start);

private:
    [[nodiscard]] bool is_due(const std::string& kind, duration since_start, double shortest_s,
                              double longest_s);
    void stop_wave();
    void change_policy();
    [[nodiscard]] int draw(int least, int most);

    fleet& edges;
    plan_kinds kinds;
    std::mt19937_64 random;
    duration length;
    policy current;
    std::map<std::string, duration> next;
};

} // namespace knapweedknot::soak
