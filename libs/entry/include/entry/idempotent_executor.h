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
/// Requests under idempotency keys that this instance issued: each runs once at most, and repeats
/// get the first answer.

namespace knapweedknot {

/// Remembers keys and answers. Not thread safe.
class idempotent_executor {
public:
    using handler = std::function<void(result<service_response>)>;
    /// Starts the request; called for the first use of a key only.
    using starter = std::function<void(handler)>;

    idempotent_executor(loop& owner, incarnation_id issuer);

    /// A prefix for \p account.
    [[nodiscard]] std::string issue_prefix(const account_id& account) const;
    /// True for a key that this instance issued.
    [[nodiscard]] bool is_issuer_of(const idempotency_key& key) const noexcept {
        return key.issuer == this->issuer;
    }
    /// Runs \p start if the key is new, and calls \p done once with the outcome of its one run. The
    /// error is also outcome_unknown, idempotency_key_invalid, _expired or _reused.
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
