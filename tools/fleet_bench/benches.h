#pragma once

#include <cstdint>

/// \file
/// The measurements of the bench. Each prints a table and returns an exit code.

namespace knapweedknot::bench {

/// Second byte of the addresses that benches use, apart from those of tests.
inline constexpr int bench_network = 20;

/// What the command line sets.
struct bench_options {
    std::uint64_t seed{1};
    int instances{44};
    int seconds{60};
    /// Share account rates by a fixed split, the baseline.
    bool static_split{false};
    /// Callers use every instance in turn and not the addresses that the fleet names.
    bool ignore_addresses{false};
};

/// Latency added by one instance beside direct calls, and requests per second on one core.
int measure_requests(const bench_options& options);
/// Cost of look-ups and of patches by number of accounts and routes.
int measure_configuration(const bench_options& options);
/// Control bytes, processor time, memory and store calls by number of instances.
int measure_control(const bench_options& options);
/// Rates under faults: admissions over the bound, refusals inside the rate, time without service.
int measure_rates(const bench_options& options);

} // namespace knapweedknot::bench
