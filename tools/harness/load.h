#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "event/http_pool.h"
#include "event/loop.h"

/// \file
/// Callers: an open-loop load on a fleet, which asks for addresses as callers do.

namespace knapweedknot::harness {

/// One client account's callers.
struct caller_options {
    std::string name;
    std::string key;
    std::string path{"/"};
    std::string method{"GET"};
    double rate_per_s{10};
    /// Instances to ask for addresses, and to use when use_addresses is false.
    std::vector<endpoint> instances;
    /// Use the addresses that the fleet names; otherwise every instance in turn.
    bool use_addresses{true};
    duration timeout{milliseconds(5000)};
};

/// What became of one request.
struct call_record {
    time_point sent;
    duration latency{duration::zero()};
    /// Zero when there was no answer.
    int status{0};
    /// Error kind named by the instance; empty when it answered.
    std::string error;
};

/// Sends requests at a Poisson rate. Not thread safe.
class caller {
public:
    caller(loop& owner, caller_options options, std::uint64_t seed);

    /// Sends from now on until stop.
    void start();
    void stop();
    [[nodiscard]] const std::vector<call_record>& records() const noexcept { return this->done; }
    [[nodiscard]] std::size_t running() const noexcept { return this->in_flight; }
    [[nodiscard]] const caller_options& options() const noexcept { return this->given; }

private:
    void plan_next();
    void send();
    void refresh_addresses();
    [[nodiscard]] endpoint next_address();
    http_pool& pool_of(const endpoint& address);

    loop& owner;
    caller_options given;
    std::mt19937_64 random;
    std::map<endpoint, std::unique_ptr<http_pool>> pools;
    std::vector<endpoint> addresses;
    std::size_t turn{0};
    std::size_t in_flight{0};
    std::vector<call_record> done;
    time_point next_at;
    timer next;
    timer refresh;
    bool stopped{false};
};

/// The p-quantile (0 to 1) of \p values, in their unit; zero when there are none.
[[nodiscard]] double quantile(std::vector<double> values, double p);

} // namespace knapweedknot::harness
