#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// \file
/// Finds the requests that crash the targets that run them.
///
/// When a target crashes, every request on it ends without an answer, the innocent ones too. A
/// request is held responsible for crashes of several targets, unless another request that ended
/// with it has ended with more crashes. A request that is answered is no suspect any more.
/// Requests are identified by a fingerprint. Functions change at most their first argument. Not
/// thread safe.

namespace knapweedknot {

/// Times by which ends of connections are judged.
struct crash_policy {
    /// A request is no suspect any more this long after the latest crash that it ended with.
    duration window{seconds(20)};
    /// Requests that end at one target within this time end with the same crash.
    duration same_crash{milliseconds(500)};
    /// Targets may close connections that were idle for this long.
    duration shortest_idle_timeout{milliseconds(1000)};
    /// A request that ends sooner after it was sent may have met a connection that the target had
    /// already closed.
    duration round_trip{milliseconds(50)};
};

/// How a connection ended on which a request was sent and not answered.
struct exchange_end {
    /// Whether the target was registered and had not announced that it leaves.
    bool target_in_service{true};
    /// Time for which the connection was idle before the request; zero for a new connection.
    duration idle_before{duration::zero()};
    /// Time from the send to the end.
    duration since_sent{duration::zero()};
};

/// Why a connection ended, as far as one end shows.
enum class end_cause {
    /// The target stopped while it could have been running the request.
    crash,
    /// The target has crashed, or it has closed a connection that was idle.
    crash_or_idle_close,
    /// The target was leaving.
    planned_stop,
};

[[nodiscard]] end_cause find_cause(const exchange_end& end, const crash_policy& policy) noexcept;

/// Requests that ended at one target at the same moment.
struct target_crash {
    target_id target;
    time_point at;
    /// False while the requests may have met connections that the target had closed as idle.
    bool confirmed{false};
    /// Fingerprints of the requests, without repetition.
    std::vector<std::uint64_t> suspects;
};

/// The crashes that one instance has seen, and the requests that may have caused them.
struct crash_log {
    std::vector<target_crash> crashes;
    /// Time of the latest crash, by fingerprint.
    std::unordered_map<std::uint64_t, time_point> latest;
};

/// Number of crashes by fingerprint.
using crash_counts = std::unordered_map<std::uint64_t, std::uint32_t>;

/// Records that the request \p fingerprint ended at \p target by \p cause.
void record_end(crash_log& log, std::uint64_t fingerprint, const target_id& target, end_cause cause,
                const crash_policy& policy, time_point now);

/// Records that \p target accepts no connections although it is in service. Confirms a crash that
/// was seen a moment ago.
void record_unreachable(crash_log& log, const target_id& target, const crash_policy& policy,
                        time_point now);

/// Records that a target has answered the request \p fingerprint.
void acquit(crash_log& log, std::uint64_t fingerprint);

/// Records that another instance has seen a crash with the request \p fingerprint: if it is a
/// suspect here, it stays one from then on for the window.
void renew_suspect(crash_log& log, std::uint64_t fingerprint, const crash_policy& policy,
                   time_point now);

/// Removes the suspects whose latest crash is too long ago.
void forget_old_crashes(crash_log& log, const crash_policy& policy, time_point now);

/// Number of confirmed crashes that the request \p fingerprint ended with.
[[nodiscard]] std::uint32_t count_crashes(const crash_log& log, std::uint64_t fingerprint,
                                          const crash_policy& policy, time_point now);

/// Number of confirmed crashes for which \p fingerprint is held responsible: none of the requests
/// that ended with it has ended with more crashes.
/// \param elsewhere crashes that other instances have seen
[[nodiscard]] std::uint32_t count_attributed_crashes(const crash_log& log,
                                                     std::uint64_t fingerprint,
                                                     const crash_counts& elsewhere,
                                                     const crash_policy& policy, time_point now);

} // namespace knapweedknot
