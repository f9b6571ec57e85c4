#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "event/http_pool.h"

/// \file
/// Client of the platform's key-value service and of its instance list.

namespace knapweedknot {

/// A value and its revision; revision zero means that the key is absent.
struct store_value {
    std::string data;
    std::uint64_t revision{0};
};

/// What became of a compare-and-swap.
struct swap_outcome {
    /// False when another revision was present.
    bool swapped{false};
    /// The new revision when swapped.
    std::uint64_t revision{0};
};

/// A lease of the platform; values tied to it end with it.
struct store_lease {
    std::uint64_t id{0};
};

/// One line of the platform's lagging list.
struct listed_instance {
    endpoint address;
    bool leaving{false};
};

/// Calls the platform. A failed write reports store_unavailable when it was not sent and
/// outcome_unknown when it may have taken effect. Not thread safe.
class store_client {
public:
    template <typename T>
    using handler = std::function<void(result<T>)>;

    store_client(loop& owner, const endpoint& platform);

    void get(const std::string& key, handler<store_value> done);
    /// Waits until the revision of \p key is not \p after, at most \p wait. Nothing when it still
    /// is.
    void watch(const std::string& key, std::uint64_t after, duration wait,
               handler<std::optional<store_value>> done);
    /// Writes \p data if the revision of \p key is \p expected (zero: absent).
    void swap(const std::string& key, const std::string& data, std::uint64_t expected,
              std::optional<store_lease> lease, handler<swap_outcome> done);
    void erase(const std::string& key, std::uint64_t expected, handler<swap_outcome> done);
    void grant_lease(duration ttl, handler<store_lease> done);
    /// The error is not_found when the lease has ended.
    void renew_lease(store_lease lease, duration ttl, handler<store_lease> done);
    void list_instances(handler<std::vector<listed_instance>> done);

    /// Calls sent since the start; a waiting watch counts as one.
    [[nodiscard]] std::uint64_t calls() const noexcept { return this->sent; }

private:
    void send(const http_request& request, duration timeout, http_connection::handler done);
    void change_lease(const std::string& query, duration ttl, handler<store_lease> done);

    http_pool pool;
    std::uint64_t sent{0};
};

} // namespace knapweedknot
