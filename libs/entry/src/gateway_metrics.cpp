#include "entry/gateway_metrics.h"

#include <sstream>

namespace knapweedknot {

namespace {

constexpr unsigned latency_buckets = 60;
constexpr double min_latency_ms = 0.01;
constexpr double max_latency_ms = 100'000;
constexpr double ms_per_second = 1000;

} // namespace

gateway_metrics::gateway_metrics()
    : total_ms(boost::histogram::make_histogram(
          latency_axis(latency_buckets, min_latency_ms, max_latency_ms))),
      added_ms(boost::histogram::make_histogram(
          latency_axis(latency_buckets, min_latency_ms, max_latency_ms))) {}

void gateway_metrics::record_request(std::string_view outcome, duration total, duration upstream) {
    const auto found = this->requests.find(outcome);
    if (found == this->requests.end()) {
        this->requests.emplace(outcome, 1);
    } else {
        ++found->second;
    }
    const double total_value = to_seconds(total) * ms_per_second;
    const double added_value = to_seconds(total - upstream) * ms_per_second;
    this->total_ms(total_value);
    this->added_ms(added_value);
    this->total_sum_ms += total_value;
    this->added_sum_ms += added_value;
}

std::string gateway_metrics::to_text() const {
    std::ostringstream text;
    text << "# TYPE knapweedknot_requests_total counter\n";
    for (const auto& [outcome, count] : this->requests) {
        text << "knapweedknot_requests_total{outcome=\"" << outcome << "\"} " << count << '\n';
    }
    for (const auto& [name, value] : this->gauges) {
        const std::string family = name.substr(0, name.find('{'));
        text << "# TYPE knapweedknot_" << family << " gauge\n";
        text << "knapweedknot_" << name << ' ' << value << '\n';
    }
    std::string all = text.str();
    write_histogram(all, "knapweedknot_request_duration_ms", this->total_ms, this->total_sum_ms);
    write_histogram(all, "knapweedknot_added_duration_ms", this->added_ms, this->added_sum_ms);
    return all;
}

void gateway_metrics::write_histogram(std::string& text, const std::string& name,
                                      const latency_histogram& values, double sum) {
    std::ostringstream lines;
    lines << "# TYPE " << name << " histogram\n";
    double cumulative = values.at(-1);
    for (auto&& bin : boost::histogram::indexed(values)) {
        cumulative += *bin;
        lines << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
    }
    cumulative += values.at(static_cast<int>(latency_buckets));
    lines << name << "_bucket{le=\"+Inf\"} " << cumulative << '\n';
    lines << name << "_sum " << sum << '\n' << name << "_count " << cumulative << '\n';
    text += lines.str();
}

} // namespace knapweedknot
