#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Why and how the connections of callers end, for logs and metrics.

namespace knapweedknot {

/// Why a connection ends: the first event after which no further request of it is handled.
enum class connection_end_reason : std::uint8_t {
    /// The caller closed the connection, or its sending side.
    caller_closed,
    /// The connection was reset or failed.
    connection_failed,
    /// No request was received within the idle timeout.
    idle,
    /// The caller took no byte of its responses for too long.
    write_stalled,
    /// A response closed the connection, as the request, the response or the server demanded.
    final_response,
    /// The connection was idle when the server stopped.
    server_stopping,
    /// The caller took no byte of its responses while the memory was needed for others.
    memory_exhausted,
    /// The handler released a request without a response.
    request_dropped,
    /// The server was destroyed.
    server_destroyed,
};

/// How a connection ended, after its reason.
enum class connection_end_manner : std::uint8_t {
    /// The caller closed it.
    closed_by_caller,
    /// It was reset or failed.
    failed,
    /// The server closed it without waiting for the caller.
    closed_by_server,
    /// The server closed it after it had waited for the caller in vain.
    timed_out,
};

inline constexpr std::array connection_end_reasons{
    connection_end_reason::caller_closed,
    connection_end_reason::connection_failed,
    connection_end_reason::idle,
    connection_end_reason::write_stalled,
    connection_end_reason::final_response,
    connection_end_reason::server_stopping,
    connection_end_reason::memory_exhausted,
    connection_end_reason::request_dropped,
    connection_end_reason::server_destroyed,
};
inline constexpr std::array connection_end_manners{
    connection_end_manner::closed_by_caller,
    connection_end_manner::failed,
    connection_end_manner::closed_by_server,
    connection_end_manner::timed_out,
};

/// Stable name for logs and metrics, the identifier of the enumerator.
[[nodiscard]] std::string_view to_string(connection_end_reason reason) noexcept;
[[nodiscard]] std::string_view to_string(connection_end_manner manner) noexcept;

/// The state of a caller connection at its end.
struct connection_end {
    connection_end_reason reason{};
    connection_end_manner manner{};
    /// Ids of requests that were read and have no response, in their order.
    std::vector<std::string> unanswered;
    /// Ids of requests whose response the caller's host has not acknowledged in full.
    std::vector<std::string> undelivered;
    /// Bytes of responses that were not handed to the kernel.
    std::size_t unsent_bytes{0};
    /// Bytes of responses that the kernel holds and the caller's host has not acknowledged.
    std::size_t unacknowledged_bytes{0};
    /// Received bytes that nobody has read.
    std::size_t unread_bytes{0};
};

/// Numbers of ended connections by reason and manner. Not thread safe.
class connection_end_counts {
public:
    void record(const connection_end& end) noexcept { ++this->count(end.reason, end.manner); }
    [[nodiscard]] std::uint64_t of(connection_end_reason reason,
                                   connection_end_manner manner) const noexcept {
        return this->counts.at(index_of(reason, manner));
    }

private:
    [[nodiscard]] static std::size_t index_of(connection_end_reason reason,
                                              connection_end_manner manner) noexcept {
        return static_cast<std::size_t>(reason) * connection_end_manners.size() +
               static_cast<std::size_t>(manner);
    }
    std::uint64_t& count(connection_end_reason reason, connection_end_manner manner) noexcept {
        return this->counts.at(index_of(reason, manner));
    }

    std::array<std::uint64_t, connection_end_reasons.size() * connection_end_manners.size()>
        counts{};
};

} // namespace knapweedknot
