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
/// Idempotency keys that name the instance which remembers them.
///
/// An instance issues prefixes "INCARNATION-ISSUED-CODE"; the code authenticates the issue time and
/// the client account with a secret of that incarnation. A caller makes keys "PREFIX.UNIQUE" of its
/// own. Only the issuing incarnation runs a request under such a key, and it remembers the key for
/// as long as it accepts the prefix, so the request runs once at most.

namespace knapweedknot {

/// How long a prefix is accepted after its issue, and its keys are remembered.
inline constexpr duration idempotency_prefix_life = std::chrono::minutes(10);

/// A parsed key. Views into the presented text.
struct idempotency_key {
    incarnation_id issuer;
    /// Milliseconds of the issuer's clock since its start.
    std::uint64_t issued_ms{0};
    std::string_view code;
    std::string_view unique;
};

/// Parses "PREFIX.UNIQUE"; nothing when it has another form. Thread safe.
[[nodiscard]] std::optional<idempotency_key> parse_idempotency_key(std::string_view text) noexcept;

/// Text of a prefix for \p account, issued at \p issued_ms under \p secret. Thread safe.
[[nodiscard]] std::string make_idempotency_prefix(std::string_view secret, incarnation_id issuer,
                                                  std::uint64_t issued_ms,
                                                  const account_id& account);

/// Checks a key at its issuer: the code, the account, and the age at \p now_ms. The error is
/// idempotency_key_invalid or idempotency_key_expired. Thread safe.
[[nodiscard]] result<void> check_idempotency_key(const idempotency_key& key,
                                                 std::string_view secret, const account_id& account,
                                                 std::uint64_t now_ms);

/// Where a remembered key stands.
enum class key_state {
    /// Not seen before; it is now remembered as running.
    first,
    running,
    /// Answered; the answer may be given again.
    done,
    /// It may have run, and there is no answer to give.
    unknown,
    /// The key was used for another request.
    reused,
};

/// Remembers keys of one issuer. Time is passed in. Not thread safe.
class key_table {
public:
    /// Looks \p key up, and remembers it as running when it is new.
    /// \param fingerprint hash of the request, the same for every repeat
    /// \param forget_at when the key can no longer be accepted
    [[nodiscard]] key_state begin(const std::string& key, std::uint64_t fingerprint,
                                  time_point forget_at);
    /// Notes that a running key was answered.
    void finish(const std::string& key);
    /// Notes that a running key may have run without an answer.
    void lose(const std::string& key);
    /// Forgets a running key whose request did not run.
    void release(const std::string& key);
    /// Forgets keys that can no longer be accepted; \p forgotten is called for each.
    void expire(time_point now, const std::function<void(const std::string&)>& forgotten);
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct entry {
        key_state state{key_state::running};
        std::uint64_t fingerprint{0};
        time_point forget_at;
    };
    std::unordered_map<std::string, entry> entries;
};

} // namespace knapweedknot
