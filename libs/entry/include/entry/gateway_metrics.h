#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "base/clock.h"

/// \file
/// Request counters, gauges and latency histograms of an instance in the Prometheus text exposition
/// format.

namespace knapweedknot {

/// Metrics of a gateway. Not thread safe.
class gateway_metrics {
public:
    gateway_metrics();

    /// Records a request.
    /// \param outcome "answered", or the name of an error kind
    /// \param total time from its arrival to its response
    /// \param upstream part of \p total that was spent waiting for the target's response
    void record_request(std::string_view outcome, duration total, duration upstream);
    /// Sets the gauge \p name, which may include labels.
    void set_gauge(const std::string& name, double value) { this->gauges[name] = value; }
    /// Formats all metrics as text.
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
