#include "proxy/edge_metrics.h"

#include <sstream>
#include <vector>

namespace knapweedknot {

namespace {

const std::vector<double>& bucket_edges_s() {
    static const std::vector<double> edges{0,   0.001, 0.005, 0.02, 0.05, 0.1, 0.2,
                                           0.4, 0.8,   1.5,   3,    6,    12,  30};
    return edges;
}

} // namespace

duration_histogram::duration_histogram()
    : buckets(boost::histogram::make_histogram(axis(bucket_edges_s()))) {}

void duration_histogram::record(duration value) {
    this->buckets(to_seconds(value));
    this->sum_s += to_seconds(value);
    ++this->count;
}

void duration_histogram::write(std::string& text, const std::string& name) const {
    const axis& edges = this->buckets.axis();
    double cumulative = 0;
    for (int i = 0; i < edges.size(); ++i) {
        cumulative += this->buckets.at(i);
        std::ostringstream edge;
        edge << edges.bin(i).upper();
        write_metric(text, name + "_bucket", "le=\"" + edge.str() + '"', cumulative);
    }
    write_metric(text, name + "_bucket", "le=\"+Inf\"", static_cast<double>(this->count));
    write_metric(text, name + "_sum", "", this->sum_s);
    write_metric(text, name + "_count", "", static_cast<double>(this->count));
}

void write_metric(std::string& text, const std::string& name, const std::string& label,
                  double value) {
    std::ostringstream line;
    line << "knapweedknot_" << name;
    if (!label.empty()) {
        line << '{' << label << '}';
    }
    line << ' ' << value << '\n';
    text += line.str();
}

void write_target_connection_ends(std::string& text, const target_connection_end_counts& counts) {
    for (const target_connection_end end : target_connection_ends) {
        write_metric(text, "target_connections_ended_total",
                     "reason=\"" + std::string(to_string(end)) + '"',
                     static_cast<double>(counts.of(end)));
    }
}

std::string to_text(const edge_metrics& metrics) {
    std::string text;
    for (const auto& [outcome, count] : metrics.requests) {
        write_metric(text, "requests_total", "outcome=\"" + outcome + '"',
                     static_cast<double>(count));
    }
    write_metric(text, "callers_gone_total", "", static_cast<double>(metrics.caller_gone));
    write_metric(text, "address_answers_total", "", static_cast<double>(metrics.address_answers));
    return text;
}

std::string histograms_to_text(const edge_metrics& metrics) {
    std::string text;
    metrics.total_time.write(text, "request_seconds");
    metrics.response_time.write(text, "target_seconds");
    metrics.queue_time.write(text, "waiting_seconds");
    return text;
}

} // namespace knapweedknot
