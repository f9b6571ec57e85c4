#include "decide/latency_model.h"

#include <algorithm>
#include <cmath>

namespace knapweedknot {

namespace {

constexpr double lowest_ms = 1;
constexpr double highest_ms = 120'000;
constexpr int bucket_count = 96;
// The guess counts as much as this many observations.
constexpr double guess_weight = 8;
// Share of the latency target that answers typically take, and the spread of the guess in natural
// logarithms.
constexpr double typical_share = 0.25;
constexpr double guess_spread = 0.8;
// Each observation leaves this share of the weight of the earlier ones.
constexpr double memory = 0.998;
constexpr double least_survival = 0.0005;

double to_ms(duration value) {
    constexpr double ms_per_s = 1000;
    return std::clamp(to_seconds(value) * ms_per_s, lowest_ms, highest_ms * 0.999);
}

duration from_ms(double value) {
    constexpr double ms_per_s = 1000;
    return from_seconds(value / ms_per_s);
}

} // namespace

latency_model::latency_model(duration latency_target)
    : counts(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                   axis(bucket_count, lowest_ms, highest_ms))) {
    const double centre = std::log(to_ms(latency_target) * typical_share);
    const axis& scale = this->counts.axis();
    double sum = 0;
    for (int i = 0; i < scale.size(); ++i) {
        const double distance = (std::log(scale.bin(i).center()) - centre) / guess_spread;
        this->counts.at(i) = std::exp(-distance * distance / 2);
        sum += this->counts.at(i);
    }
    this->counts *= guess_weight / sum;
    this->total = guess_weight;
}

void latency_model::note(duration taken) {
    this->counts *= memory;
    this->counts(to_ms(taken));
    this->total = this->total * memory + 1;
}

double latency_model::survival(duration age) const {
    const axis& scale = this->counts.axis();
    const double reached_ms = to_ms(age);
    const int place = scale.index(reached_ms);
    double longer = 0;
    for (int i = scale.size() - 1; i > place; --i) {
        longer += this->counts.at(i);
    }
    // Within the bucket the observations count as evenly spread.
    const auto bucket = scale.bin(place);
    const double passed = (reached_ms - bucket.lower()) / (bucket.upper() - bucket.lower());
    longer += this->counts.at(place) * (1 - passed);
    return std::max(least_survival, longer / this->total);
}

duration latency_model::quantile(double part) const {
    const axis& scale = this->counts.axis();
    double reached = 0;
    for (int i = 0; i < scale.size(); ++i) {
        reached += this->counts.at(i);
        if (reached >= part * this->total) {
            return from_ms(scale.bin(i).upper());
        }
    }
    return from_ms(highest_ms);
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
