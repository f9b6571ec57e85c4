#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "log_reader/log_line.h"

/// \file
/// Explains the outcome of one request from the logs of all instances.

namespace knapweedknot {

/// The events of a request, the events related to it, and the cause of its outcome.
struct request_explanation {
    /// Events of the request, and events of its targets and instances that can explain the
    /// outcome, sorted by time.
    std::vector<log_line> lines;
    /// The cause in one or two sentences, or a statement that the logs do not show it.
    std::string cause;
};

/// Collects the events of the request \p id and the related events from \p log, which may be in any
/// order. `lines` is empty if no instance logged the request. Thread safe.
[[nodiscard]] request_explanation explain_request(const std::vector<log_line>& log,
                                                  std::string_view id);

} // namespace knapweedknot
