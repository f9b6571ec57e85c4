#include "decide/idempotency.h"

#include <charconv>

#include "base/digest.h"

namespace knapweedknot {

namespace {

constexpr std::size_t mac_bytes = 12;
constexpr std::size_t max_key_bytes = 256;
constexpr int hexadecimal = 16;

bool parse_hex(std::string_view text, std::uint64_t& value) noexcept {
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, hexadecimal);
    return !text.empty() && error == std::errc{} && stop == end;
}

std::string hex_of(std::uint64_t value) {
    constexpr std::size_t digits = 16;
    std::string text(digits, '\0');
    const auto [end, code] =
        std::to_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    text.resize(static_cast<std::size_t>(end - text.data()));
    return text;
}

std::string prefix_mac(std::string_view secret, incarnation_id issuer, std::uint64_t issued_ms,
                       const account_id& account) {
    std::string text = hex_of(issuer.value);
    text.append("-").append(hex_of(issued_ms)).append("-").append(account.value);
    return to_hex(hmac_sha256(secret, text).substr(0, mac_bytes));
}

} // namespace

std::optional<idempotency_key> parse_idempotency_key(std::string_view text) noexcept {
    const std::size_t first = text.find('-');
    const std::size_t second = first == text.npos ? first : text.find('-', first + 1);
    const std::size_t dot = second == text.npos ? second : text.find('.', second + 1);
    if (dot == text.npos || dot + 1 == text.size() || text.size() > max_key_bytes) {
        return std::nullopt;
    }
    idempotency_key key;
    if (!parse_hex(text.substr(0, first), key.issuer.value) ||
        !parse_hex(text.substr(first + 1, second - first - 1), key.issued_ms)) {
        return std::nullopt;
    }
    key.mac = text.substr(second + 1, dot - second - 1);
    key.unique = text.substr(dot + 1);
    return key;
}

std::string make_idempotency_prefix(std::string_view secret, incarnation_id issuer,
                                    std::uint64_t issued_ms, const account_id& account) {
    std::string prefix = hex_of(issuer.value);
    prefix.append("-").append(hex_of(issued_ms)).append("-");
    return prefix + prefix_mac(secret, issuer, issued_ms, account);
}

result<void> check_idempotency_key(const idempotency_key& key, std::string_view secret,
                                   const account_id& account, std::uint64_t now_ms) {
    if (!equal_constant_time(key.mac, prefix_mac(secret, key.issuer, key.issued_ms, account)) ||
        key.issued_ms > now_ms) {
        return fail(error_kind::idempotency_key_invalid,
                    "the prefix was not issued to this account; ask /v1/addresses for one");
    }
    if (milliseconds(now_ms - key.issued_ms) >= idempotency_prefix_lifetime) {
        return fail(error_kind::idempotency_key_expired,
                    "the prefix is too old to tell whether the request ran before");
    }
    return {};
}

idempotency_key_state idempotency_key_table::begin(const std::string& key,
                                                   std::uint64_t fingerprint,
                                                   time_point expires_at) {
    const auto [position, is_new] = this->entries.try_emplace(key);
    entry& found = position->second;
    if (is_new) {
        found.fingerprint = fingerprint;
        found.expires_at = expires_at;
        return idempotency_key_state::first;
    }
    return found.fingerprint == fingerprint ? found.state : idempotency_key_state::reused;
}

void idempotency_key_table::finish(const std::string& key) {
    this->entries.at(key).state = idempotency_key_state::done;
}

void idempotency_key_table::mark_outcome_unknown(const std::string& key) {
    this->entries.at(key).state = idempotency_key_state::outcome_unknown;
}

void idempotency_key_table::release(const std::string& key) {
    this->entries.erase(key);
}

void idempotency_key_table::expire(time_point now,
                                   const std::function<void(const std::string&)>& on_expired) {
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        // A running key is kept until its request ends, even after it expires.
        if (position->second.expires_at <= now &&
            position->second.state != idempotency_key_state::running) {
            on_expired(position->first);
            position = this->entries.erase(position);
        } else {
            ++position;
        }
    }
}

} // namespace knapweedknot
