#pragma once

#include <string>

/// \file
/// Names of the HTTP headers that the proxy reads and writes. They differ between platforms, so the
/// platform adapter supplies them.

namespace knapweedknot {

/// Header names of one platform.
struct header_names {
    /// Caller to target and back: id of one attempt by the caller.
    std::string request_id;
    /// Caller to instance and instance to target: milliseconds left until the deadline.
    std::string time_left_ms;
    /// Caller to instance: the API key. Never forwarded.
    std::string api_key;
    /// Instance to target: client account of the request.
    std::string account;
    /// Instance to target: id of the only target that may run the request.
    std::string intended_target;
    /// Target to instance: the request was not run.
    std::string not_executed;
    /// Target to caller: digest of the response. A response without it did not come from the
    /// target itself.
    std::string signature;
    /// Instance to caller, and target to instance with a 503 response: seconds to wait before the
    /// next request.
    std::string retry_after;
    /// Target to instance: "1" in all responses of a target that is leaving.
    std::string target_leaving;
    /// Target to instance: milliseconds left of the target's warm-up.
    std::string warm_up_left_ms;
};

} // namespace knapweedknot
