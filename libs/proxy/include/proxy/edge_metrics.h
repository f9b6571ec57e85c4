#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <boost/histogram.hpp>

#include "base/clock.h"
#include "event/target_connection_end.h"

/// \file
/// Request counters and latency histograms of an edge in the Prometheus text exposition format.

namespace knapweedknot {

/// Histogram of durations with fixed buckets. Not thread safe.
class duration_histogram {
public:
    duration_histogram();
    void record(duration value);
    /// Appends the buckets, sum and count as the metric \p name.
    void write(std::string& text, const std::string& name) const;

private:
    using axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<axis>> buckets;
    double sum_s{0};
    std::uint64_t count{0};
};

/// Request metrics of an edge. Not thread safe.
struct edge_metrics {
    /// Requests by outcome: "served", or the name of an error kind.
    std::map<std::string, std::uint64_t> requests;
    duration_histogram total_time;
    duration_histogram response_time;
    /// Time from the arrival to the first send.
    duration_histogram queue_time;
    std::uint64_t caller_gone{0};
    std::uint64_t address_answers{0};
};

/// Appends one counter or gauge with an optional label, for example "service=\"x\"".
void write_metric(std::string& text, const std::string& name, const std::string& label,
                  double value);

/// Appends the ends of connections to targets by their reason.
void write_target_connection_ends(std::string& text, const target_connection_end_counts& counts);

/// Formats the counters of \p metrics as text.
[[nodiscard]] std::string to_text(const edge_metrics& metrics);
/// Formats the histograms of \p metrics as text.
[[nodiscard]] std::string histograms_to_text(const edge_metrics& metrics);

} // namespace knapweedknot
