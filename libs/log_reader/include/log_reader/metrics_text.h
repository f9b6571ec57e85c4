#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// Reads metrics back from the text that an instance serves (Prometheus text exposition format).

namespace knapweedknot {

/// One value of a metric.
struct metric_sample {
    /// Value of the only label, unescaped; empty without a label.
    std::string label;
    double value{0};
};

/// Returns the samples of the metric \p name, given without the prefix "knapweedknot_", in their
/// order in \p text. Lines that cannot be read and samples with several labels are skipped. Thread
/// safe.
[[nodiscard]] std::vector<metric_sample> read_metric(std::string_view text, std::string_view name);

} // namespace knapweedknot
