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
/// Open-loop load on a fleet. The generator fetches instance addresses from the fleet as callers
/// do.

namespace knapweedknot::harness {

/// Load of one client account.
struct load_options {
    std::string name;
    std::string key;
    std::string path{"/"};
    std::string method{"GET"};
    double rate_per_s{10};
    /// Instances that are asked for addresses, or that receive the requests in turn when
    /// use_discovery is false.
    std::vector<endpoint> instances;
    /// True: send to the addresses that the fleet returns. False: send to each instance in turn.
    bool use_discovery{true};
    duration timeout{milliseconds(5000)};
};

/// Outcome of one request.
struct request_record {
    time_point sent;
    duration latency{duration::zero()};
    /// HTTP status; zero when there was no response.
    int status{0};
    /// Value of Knapweedknot-Error, or the client's error when there was no response; else empty.
    std::string error;
};

/// Sends requests as a Poisson process. Not thread safe.
class load_generator {
public:
    load_generator(loop& owner, load_options options, std::uint64_t seed);

    /// Sends requests until stop(). Responses to requests in flight are still recorded after
    /// stop().
    void start();
    void stop();
    [[nodiscard]] const std::vector<request_record>& records() const noexcept {
        return this->completed;
    }
    [[nodiscard]] std::size_t in_flight_count() const noexcept { return this->in_flight; }
    [[nodiscard]] const load_options& options() const noexcept { return this->settings; }

private:
    void schedule_next();
    void send();
    void refresh_addresses();
    [[nodiscard]] endpoint next_address();
    http_pool& pool_of(const endpoint& address);

    loop& owner;
    load_options settings;
    std::mt19937_64 random;
    std::map<endpoint, std::unique_ptr<http_pool>> pools;
    std::vector<endpoint> addresses;
    std::size_t next_instance{0};
    std::size_t in_flight{0};
    std::vector<request_record> completed;
    time_point next_send_at;
    timer send_timer;
    timer refresh_timer;
    bool stopped{false};
};

/// The p-quantile (0 to 1) of \p values, in their unit; zero when there are none.
[[nodiscard]] double quantile(std::vector<double> values, double p);

} // namespace knapweedknot::harness
