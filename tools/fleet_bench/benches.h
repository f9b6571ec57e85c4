#pragma once

#include <cstdint>

/// \file
/// The benchmarks. Each prints a table and returns the exit code of the program.

namespace knapweedknot::bench {

/// Second byte of the loopback addresses of benchmarks; tests use other values.
inline constexpr int bench_network = 20;

/// Options of the command line.
struct bench_options {
    std::uint64_t seed{1};
    int instances{44};
    int seconds{60};
    /// Divide account rates by a static split, the baseline.
    bool static_split{false};
    /// Callers send to each instance in turn instead of the addresses that the fleet returns.
    bool ignore_addresses{false};
};

/// Latency added by one instance compared with direct calls, and requests per second on one core.
int measure_requests(const bench_options& options);
/// Cost of requests and of patches by number of accounts and routes.
int measure_configuration(const bench_options& options);
/// Control bytes, processor time, memory and store calls by number of instances.
int measure_control(const bench_options& options);
/// Rate limiting under faults: admissions over the bound, refusals below the rate, service gaps.
int measure_rates(const bench_options& options);

} // namespace knapweedknot::bench
