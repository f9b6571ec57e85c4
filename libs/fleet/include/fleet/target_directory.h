#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/traffic_policy.h"
#include "event/loop.h"
#include "platform/store_client.h"

/// \file
/// Follows the targets' registrations in the store.

namespace knapweedknot {

/// A registered target as this instance uses it.
struct known_target {
    registered_target registration;
    /// Distinguishes runs of targets under one id and address.
    std::uint64_t run{0};
    /// When its registration vanished without a report that it was leaving. The store may have
    /// lost a registration that comes back at once.
    std::optional<time_point> vanished;
    /// When it was first seen.
    time_point seen;
};

/// Times of the directory.
struct target_directory_options {
    /// How long a target whose registration vanished may still get work when others lack.
    duration vanished_grace{milliseconds(1500)};
    /// Changes are gathered for this long, so that many of them cost one call.
    duration gather_time{milliseconds(200)};
    /// Longest wait of one watch.
    duration watch_wait{milliseconds(5000)};
};

/// Decodes the registration under an id.
using target_decoder =
    std::function<result<registered_target>(std::string_view id, std::string_view data)>;

/// Keeps the targets by service. Not thread safe.
class target_directory {
public:
    target_directory(loop& owner, store_client& store, std::string prefix, target_decoder decode,
                     const target_directory_options& options);

    /// Begins to read and watch.
    void start();
    /// Takes other times. A watch under way that would wait for longer is replaced.
    void set_options(const target_directory_options& changed);
    /// Targets of \p service by id; empty when it has none.
    [[nodiscard]] const std::map<target_id, known_target>&
    targets_of(const service_id& service) const;
    /// True after the first complete reading.
    [[nodiscard]] bool is_loaded() const noexcept { return this->loaded; }
    /// Revision of the store up to which registrations are known.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->known_revision; }

    /// Time since the store last told all changes so far; nothing before the first reading.
    [[nodiscard]] std::optional<duration> age(time_point now) const noexcept;

    /// Called for a service whose targets changed.
    std::function<void(const service_id&)> on_changed;

private:
    void read_all();
    void read_page(const std::string& after, const std::shared_ptr<std::vector<store_item>>& items,
                   std::optional<std::uint64_t> first_revision);
    void replace_all(const std::vector<store_item>& items);
    void watch();
    void again(duration delay, void (target_directory::*step)());
    void apply(const store_item& item);
    void add(registered_target&& registration);
    void vanish(const target_id& id);
    void forget(const service_id& service, const target_id& id);
    void drop_vanished();
    void changed(const service_id& service);

    loop& owner;
    store_client& store;
    std::string prefix;
    target_decoder decode;
    target_directory_options options;
    std::map<service_id, std::map<target_id, known_target>> by_service;
    std::map<target_id, service_id> service_by_id;
    std::uint64_t known_revision{0};
    std::uint64_t last_run{0};
    /// Number of the newest watch; the answers of earlier ones are not used.
    std::uint64_t last_watch{0};
    /// Longest wait of the watch under way; nothing while there is none.
    std::optional<duration> waiting;
    bool loaded{false};
    std::optional<time_point> heard;
    timer next;
    timer sweep;
};

} // namespace knapweedknot
