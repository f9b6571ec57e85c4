#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

/// \file
/// Idempotency keys that identify the instance which stores them.
///
/// An instance issues prefixes "INCARNATION-ISSUED-MAC". The MAC authenticates the incarnation, the
/// issue time and the client account with a secret of that incarnation. A caller builds its own
/// keys "PREFIX.UNIQUE". Only the issuing incarnation runs a request under such a key, and it keeps
/// the key for as long as it accepts the prefix, so the request runs at most once.

namespace knapweedknot {

/// How long after its issue a prefix is accepted and its keys are kept.
inline constexpr duration idempotency_prefix_lifetime = std::chrono::minutes(10);

/// A parsed key. Its views refer to the parsed text.
struct idempotency_key {
    incarnation_id issuer;
    /// Milliseconds of the issuer's clock since its start.
    std::uint64_t issued_ms{0};
    std::string_view mac;
    /// Part chosen by the caller.
    std::string_view unique;
};

/// Parses "PREFIX.UNIQUE"; nothing when \p text has another form. Thread safe.
[[nodiscard]] std::optional<idempotency_key> parse_idempotency_key(std::string_view text) noexcept;

/// Builds a prefix for \p account, issued at \p issued_ms and authenticated with \p secret. Thread
/// safe.
[[nodiscard]] std::string make_idempotency_prefix(std::string_view secret, incarnation_id issuer,
                                                  std::uint64_t issued_ms,
                                                  const account_id& account);

/// Checks the MAC, the account and the age at \p now_ms of a key at its issuer. The error is
/// idempotency_key_invalid or idempotency_key_expired. Thread safe.
[[nodiscard]] result<void> check_idempotency_key(const idempotency_key& key,
                                                 std::string_view secret, const account_id& account,
                                                 std::uint64_t now_ms);

/// State of a key.
enum class idempotency_key_state {
    /// Not seen before; it is now stored as running.
    first,
    running,
    /// Completed; the response may be replayed.
    done,
    /// The request may have run, but there is no response to replay.
    outcome_unknown,
    /// The key was used for a different request.
    reused,
};

/// Keys of one issuer and their states. Not thread safe.
class idempotency_key_table {
public:
    /// Looks up \p key, and stores it as running when it is new.
    /// \param fingerprint hash of the request, equal for all retries of it
    /// \param expires_at when the key is no longer accepted
    [[nodiscard]] idempotency_key_state begin(const std::string& key, std::uint64_t fingerprint,
                                              time_point expires_at);
    /// Marks a running key as completed.
    /// \pre the key is stored
    void finish(const std::string& key);
    /// Marks a running key as one whose request may have run, with no response.
    /// \pre the key is stored
    void mark_outcome_unknown(const std::string& key);
    /// Removes a running key whose request did not run, so that it can be used again.
    void release(const std::string& key);
    /// Removes keys that are no longer accepted, except running ones, and calls \p on_expired for
    /// each.
    void expire(time_point now, const std::function<void(const std::string&)>& on_expired);
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct entry {
        idempotency_key_state state{idempotency_key_state::running};
        std::uint64_t fingerprint{0};
        time_point expires_at;
    };
    std::unordered_map<std::string, entry> entries;
};

} // namespace knapweedknot
