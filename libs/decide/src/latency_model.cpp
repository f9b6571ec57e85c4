#include "decide/latency_model.h"

#include <algorithm>
#include <cmath>

namespace knapweedknot {

namespace {

constexpr double min_ms = 1;
constexpr double max_ms = 120'000;
constexpr int bucket_count = 96;
// The prior counts as much as this many observations.
constexpr double prior_weight = 8;
// Median of the prior as a share of the latency target, and its standard deviation in natural
// logarithms.
constexpr double prior_median_share = 0.25;
constexpr double prior_log_sigma = 0.8;
// Each observation multiplies the weight of the earlier ones by this factor.
constexpr double decay_factor = 0.998;
constexpr double min_survival = 0.0005;

double to_ms(duration value) {
    constexpr double ms_per_s = 1000;
    return std::clamp(to_seconds(value) * ms_per_s, min_ms, max_ms * 0.999);
}

duration from_ms(double value) {
    constexpr double ms_per_s = 1000;
    return from_seconds(value / ms_per_s);
}

} // namespace

latency_model::latency_model(duration latency_target)
    : counts(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                   axis(bucket_count, min_ms, max_ms))) {
    const double log_median = std::log(to_ms(latency_target) * prior_median_share);
    const axis& scale = this->counts.axis();
    double sum = 0;
    for (int i = 0; i < scale.size(); ++i) {
        const double distance = (std::log(scale.bin(i).center()) - log_median) / prior_log_sigma;
        this->counts.at(i) = std::exp(-distance * distance / 2);
        sum += this->counts.at(i);
    }
    this->counts *= prior_weight / sum;
    this->total = prior_weight;
}

void latency_model::record(duration response_time) {
    this->counts *= decay_factor;
    this->counts(to_ms(response_time));
    this->total = this->total * decay_factor + 1;
}

double latency_model::survival(duration age) const {
    const axis& scale = this->counts.axis();
    const double age_ms = to_ms(age);
    const int bucket_index = scale.index(age_ms);
    double longer = 0;
    for (int i = scale.size() - 1; i > bucket_index; --i) {
        longer += this->counts.at(i);
    }
    // Observations within a bucket count as evenly distributed.
    const auto bucket = scale.bin(bucket_index);
    const double elapsed_share = (age_ms - bucket.lower()) / (bucket.upper() - bucket.lower());
    longer += this->counts.at(bucket_index) * (1 - elapsed_share);
    return std::max(min_survival, longer / this->total);
}

duration latency_model::quantile(double probability) const {
    const axis& scale = this->counts.axis();
    double cumulative = 0;
    for (int i = 0; i < scale.size(); ++i) {
        cumulative += this->counts.at(i);
        if (cumulative >= probability * this->total) {
            return from_ms(scale.bin(i).upper());
        }
    }
    return from_ms(max_ms);
}

duration latency_model::mean() const {
    const axis& scale = this->counts.axis();
    double sum = 0;
    for (int i = 0; i < scale.size(); ++i) {
        sum += this->counts.at(i) * scale.bin(i).center();
    }
    return from_ms(sum / this->total);
}

} // namespace knapweedknot
