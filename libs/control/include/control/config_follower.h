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
/// Keeps the configuration of an instance at the newest accepted number it can learn of, from the
/// store's head record or from other instances. It never adopts a smaller number.

namespace knapweedknot {

/// Names of the product's values in the store.
inline constexpr const char* head_key = "knapweedknot/head";
inline constexpr const char* seats_key = "knapweedknot/seats";

/// Follows the head record. Not thread safe.
class config_follower {
public:
    using done_handler = std::function<void(result<void>)>;

    config_follower(loop& owner, store_client& store, configuration& config, duration watch_wait);

    /// Starts to watch the head record.
    void start();
    /// Reads the head record now.
    void refresh(done_handler done);
    /// Takes a head record from any source. \p document is the text of the whole document at the
    /// head's number, or empty when it is to be read from the store if needed.
    void adopt(const history_head& head, const std::string& document, const done_handler& done);
    /// Like adopt, for a head that was just written to the store as \p revision.
    void adopt_written(const history_head& head, std::uint64_t revision);

    /// Replaces the adopted head by one with the same number whose tail was archived.
    void adopt_compacted(const history_head& compacted);

    /// Newest adopted head.
    [[nodiscard]] const history_head& head() const noexcept { return this->current; }
    /// Revision of the newest head record read from or written to the store.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->stored_revision; }
    /// A moment at which no newer number had been accepted: before the last read of the head
    /// record that this instance has followed. Nothing before the first.
    [[nodiscard]] std::optional<time_point> last_read() const noexcept {
        return this->last_read_started;
    }
    /// Called after each adopted number.
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
