#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "base/clock.h"

/// \file
/// Counters and histograms of an instance, in the usual text exposition format.

namespace knapweedknot {

/// Metrics of the request path. Not thread safe.
class gateway_metrics {
public:
    gateway_metrics();

    /// Counts a request that ended as \p outcome ("answered" or an error kind's name) after
    /// \p total, of which \p upstream was spent on targets.
    void record_request(std::string_view outcome, duration total, duration upstream);
    /// Sets a value that is reported as a gauge.
    void set_gauge(const std::string& name, double value) { this->gauges[name] = value; }
    /// All metrics as text.
    [[nodiscard]] std::string to_text() const;

private:
    using latency_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = boost::histogram::histogram<std::tuple<latency_axis>>;

    static void write_histogram(std::string& text, const std::string& name,
                                const latency_histogram& values, double sum);

    std::map<std::string, std::uint64_t, std::less<>> requests;
    std::map<std::string, double> gauges;
    latency_histogram total_ms;
    latency_histogram added_ms;
    double total_sum_ms{0};
    double added_sum_ms{0};
};

} // namespace knapweedknot
