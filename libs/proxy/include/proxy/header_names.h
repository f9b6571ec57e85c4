#pragma once

#include <string>

/// \file
/// Names of the headers that the proxy reads and writes. They belong to the deployment, so the
/// adapter of the deployment supplies them.

namespace knapweedknot {

/// Header names of one deployment.
struct header_names {
    /// Caller to target and back: id of one try of a caller.
    std::string request_id;
    /// Caller to instance and instance to target: milliseconds that are left.
    std::string time_left_ms;
    /// Caller to instance: the key. Never sent on.
    std::string api_key;
    /// Instance to target: client account of the request.
    std::string account;
    /// Instance to target: the only target that may run the request.
    std::string intended_target;
    /// Target to instance: the request was not run.
    std::string not_executed;
    /// Target to caller: digest of the answer. An answer without it is not the target's own.
    std::string signature;
    /// Instance to caller: seconds after which to come again.
    std::string retry_after;
};

} // namespace knapweedknot
