#pragma once

#include <array>
#include <cstdint>
#include <string_view>

/// \file
/// What was decided for want of memory or descriptors, for logs and metrics.

namespace knapweedknot {

/// A decision on a connection.
enum class pressure_decision : std::uint8_t {
    /// No more of a request or a response is read for now.
    paused,
    /// Reading goes on.
    resumed,
    /// A request was rejected before it ran.
    rejected,
    /// A connection was closed whose caller takes no responses.
    closed_slow_reader,
    /// An idle connection was closed.
    closed_idle,
    /// A new connection was refused.
    refused_connection,
};

inline constexpr std::array pressure_decisions{
    pressure_decision::paused,      pressure_decision::resumed,
    pressure_decision::rejected,    pressure_decision::closed_slow_reader,
    pressure_decision::closed_idle, pressure_decision::refused_connection,
};

/// Stable name for logs and metrics, the identifier of the enumerator.
[[nodiscard]] std::string_view to_string(pressure_decision decision) noexcept;

/// Numbers of decisions. Not thread safe.
class pressure_counts {
public:
    void record(pressure_decision decision) noexcept {
        ++this->counts.at(static_cast<std::size_t>(decision));
    }
    [[nodiscard]] std::uint64_t of(pressure_decision decision) const noexcept {
        return this->counts.at(static_cast<std::size_t>(decision));
    }

private:
    std::array<std::uint64_t, pressure_decisions.size()> counts{};
};

} // namespace knapweedknot
