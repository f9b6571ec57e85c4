#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "decide/idempotency.h"
#include "entry/service_dispatcher.h"
#include "event/loop.h"

/// \file
/// Requests with idempotency keys whose prefix this instance issued: each runs at most once, and
/// its retries get the same response.

namespace knapweedknot {

/// Issues prefixes, and records keys and responses until the prefix expires. Not thread safe.
class idempotent_executor {
public:
    using handler = std::function<void(result<service_response>)>;
    /// Starts the request, and calls the handler once with its outcome.
    using starter = std::function<void(handler)>;

    idempotent_executor(loop& owner, incarnation_id issuer);

    /// Issues a prefix of idempotency keys for \p account.
    [[nodiscard]] std::string issue_prefix(const account_id& account) const;
    /// True when this instance issued the prefix of \p key.
    [[nodiscard]] bool is_issuer_of(const idempotency_key& key) const noexcept {
        return key.issuer == this->issuer;
    }
    /// Calls \p start if the key \p presented is new, and calls \p done once with the outcome of
    /// the only run. In addition to the errors of that run, the error can be outcome_unknown,
    /// idempotency_key_invalid, idempotency_key_expired or idempotency_key_reused.
    /// \param fingerprint hash of the request, the same for every retry
    void run(const std::string& presented, const account_id& account, std::uint64_t fingerprint,
             const starter& start, handler done);

private:
    struct outcome_record {
        std::unique_ptr<service_response> response;
        std::vector<handler> waiting_handlers;
    };

    [[nodiscard]] std::uint64_t now_ms() const;
    void record_outcome(const std::string& key, result<service_response> outcome);

    incarnation_id issuer;
    std::string secret;
    time_point started;
    idempotency_key_table table;
    std::unordered_map<std::string, outcome_record> outcomes;
    std::size_t cached_bytes{0};
    timer expiry_timer;
};

} // namespace knapweedknot
