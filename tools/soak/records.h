#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

/// \file
/// What callers, targets and the planned work saw during a run. The judge reads nothing else.

namespace knapweedknot::soak {

/// How an attempt of a caller ended.
enum class attempt_end {
    pending,
    answered,
    fin,
    reset,
    /// Sent behind a response that closes the connection.
    behind_closing_response,
    /// The caller closed the connection at the deadline.
    abandoned,
    not_connected,
};

/// One request as its caller saw it.
struct attempt {
    std::string id;
    std::string kind;
    int edge{0};
    std::size_t connection{0};
    /// Number of earlier requests of the connection that were unanswered when it was sent.
    std::size_t behind{0};
    duration deadline{};
    duration timeout{};
    time_point sent;
    time_point ended;
    attempt_end end{attempt_end::pending};
    int status{0};
    /// A target's response: it carries a target's signature.
    bool is_signed{false};
    /// Size of the response, or of the part that was received.
    std::size_t received{0};
    /// Speed of the caller; 0 for no limit.
    double bytes_per_s{0};
};

/// How a target ended a run.
enum class run_end { running, whole, cut, deadline };

/// One execution of a request at a target.
struct run {
    std::string target;
    time_point began;
    time_point ended;
    run_end end{run_end::running};
    std::size_t answer_bytes{0};
};

/// A policy, as it was written to the store.
struct policy_record {
    time_point sent;
    time_point confirmed{time_point::max()};
    duration idle_timeout{};
    /// Multiplies the timeouts of all routes.
    double timeout_factor{1};
};

/// A stop of an edge.
struct stop_record {
    time_point terminated;
    time_point ended{time_point::max()};
    bool was_killed{false};
};

/// Signals to one edge.
struct edge_record {
    std::vector<stop_record> stops;
    std::vector<time_point> hangups;
};

/// All that was seen. Not thread safe.
struct records {
    time_point began;
    std::vector<attempt> attempts;
    /// Runs by request id.
    std::map<std::string, std::vector<run>> runs;
    std::vector<policy_record> policies;
    std::vector<edge_record> edges;
};

} // namespace knapweedknot::soak
