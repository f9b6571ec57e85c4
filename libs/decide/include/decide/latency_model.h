#pragma once

#include <boost/histogram.hpp>

#include "base/clock.h"

/// \file
/// Estimates the distribution of a route's response times from observed ones, to detect requests
/// that run for unusually long.

namespace knapweedknot {

/// Distribution of response times. The weight of observations decays. Not thread safe.
class latency_model {
public:
    /// Starts from a prior distribution around a quarter of \p latency_target.
    /// \pre latency_target is greater than zero
    explicit latency_model(duration latency_target);

    /// Records the response time of a healthy target.
    void record(duration response_time);
    /// Probability that a healthy target takes longer than \p age. Never zero.
    [[nodiscard]] double survival(duration age) const;
    /// Time within which the share \p probability of the responses arrives, for example 0.9.
    [[nodiscard]] duration quantile(double probability) const;
    [[nodiscard]] duration mean() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<double>> counts;
    double total{0};
};

} // namespace knapweedknot
