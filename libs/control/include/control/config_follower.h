#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "config/history.h"
#include "event/loop.h"
#include "platform/store_client.h"

/// \file
/// Keeps the configuration of an instance at the newest accepted number that it learns from the
/// store's head record or from other instances. The adopted number never decreases.

namespace knapweedknot {

/// Keys of the fleet's records in the store.
inline constexpr const char* head_key = "knapweedknot/head";
inline constexpr const char* seats_key = "knapweedknot/seats";

/// Watches the head record and applies it to the configuration. Not thread safe.
class config_follower {
public:
    using done_handler = std::function<void(result<void>)>;

    config_follower(loop& owner, store_client& store, configuration& config, duration watch_wait);

    /// Reads the head record, then watches it.
    void start();
    /// Reads the head record now.
    void refresh(done_handler done);
    /// Adopts a head record from any source if it is newer.
    /// \param document JSON text of the whole document at the head's number; when empty, the
    ///     snapshot is read from the store if it is needed
    void adopt(const history_head& head, const std::string& document, const done_handler& done);
    /// Adopts a head record that this instance has just written to the store as \p revision.
    void adopt_written(const history_head& head, std::uint64_t revision);

    /// Replaces the adopted head by its compacted form, whose tail was archived.
    /// \pre both have the same number
    void adopt_compacted(const history_head& compacted);

    /// Newest adopted head record.
    [[nodiscard]] const history_head& head() const noexcept { return this->current; }
    /// Store revision of the newest head record read or written by this instance.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->stored_revision; }
    /// When the last successful read of the head record was requested: no number newer than the one
    /// then adopted had been accepted by that time. Empty before the first read.
    [[nodiscard]] std::optional<time_point> last_read() const noexcept {
        return this->last_read_started;
    }
    /// Called after each adoption of a number.
    std::function<void()> on_adopted;

private:
    void watch();
    void receive(const store_value& value, const done_handler& done);
    void load_snapshot(const history_head& head, std::size_t next_chunk, std::string text,
                       const done_handler& done);
    [[nodiscard]] result<void> load_from_snapshot(const history_head& head,
                                                  const std::string& text);
    void report_adopted();
    void keep_full_head(const history_head& head, std::uint64_t revision);
    [[nodiscard]] result<void> load_document(const history_head& head, const std::string& text);
    [[nodiscard]] result<void> apply_tail(const history_head& head);

    loop& owner;
    store_client& store;
    configuration& config;
    duration watch_wait;
    history_head current;
    std::uint64_t stored_revision{0};
    std::optional<time_point> last_read_started;
    timer retry_timer;
};

} // namespace knapweedknot
