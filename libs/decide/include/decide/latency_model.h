#pragma once

#include <boost/histogram.hpp>

#include "base/clock.h"

/// \file
/// What a route's answer times usually are, learnt from those that were seen, so that a request
/// that takes unusually long can be told from one that is merely running.

namespace knapweedknot {

/// Distribution of answer times. Old observations fade. Not thread safe.
class latency_model {
public:
    /// Starts from a guess: answers take about a quarter of \p latency_target.
    /// \pre latency_target is greater than zero
    explicit latency_model(duration latency_target);

    /// Notes the time that a healthy target took.
    void note(duration taken);
    /// Probability that a healthy target has not answered after \p age. Never zero.
    [[nodiscard]] double survival(duration age) const;
    /// Time within which the share \p part of the answers arrives, for example 0.9.
    [[nodiscard]] duration quantile(double part) const;
    [[nodiscard]] duration mean() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<double>> counts;
    double total{0};
};

} // namespace knapweedknot
