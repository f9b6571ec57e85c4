#include "control/config_follower.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration retry_delay = milliseconds(500);

} // namespace

config_follower::config_follower(loop& event_loop, store_client& client, configuration& config_used,
                                 duration wait)
    : owner(event_loop), store(client), config(config_used), watch_wait(wait) {}

void config_follower::start() {
    this->refresh([this](const result<void>& /*unused*/) { this->watch(); });
}

void config_follower::refresh(done_handler done) {
    const time_point requested_at = boot_clock::now();
    this->store.get(
        head_key, [this, requested_at, reply = std::move(done)](const result<store_value>& value) {
            if (!value) {
                reply(tl::unexpected(value.error()));
                return;
            }
            this->receive(*value, [this, requested_at, reply](const result<void>& outcome) {
                if (outcome) {
                    this->last_read_started = requested_at;
                }
                reply(outcome);
            });
        });
}

void config_follower::watch() {
    this->store.watch(head_key, this->stored_revision, this->watch_wait,
                      [this](const result<std::optional<store_value>>& value) {
                          const auto again = [this](const result<void>& outcome) {
                              if (outcome) {
                                  this->watch();
                              } else {
                                  this->retry_timer =
                                      this->owner.after(retry_delay, [this] { this->watch(); });
                              }
                          };
                          if (!value) {
                              again(tl::unexpected(value.error()));
                          } else if (value->has_value()) {
                              this->receive(**value, again);
                          } else {
                              again({});
                          }
                      });
}

void config_follower::receive(const store_value& value, const done_handler& done) {
    if (value.revision == 0) {
        // There is no record before the first patch.
        done({});
        return;
    }
    const auto head = decode_head(value.data);
    if (!head) {
        log_event(log_level::error, "head_record_malformed", {{"detail", head.error().detail}});
        done(tl::unexpected(head.error()));
        return;
    }
    const std::uint64_t revision = value.revision;
    this->adopt(*head, "", [this, revision, head, done](const result<void>& outcome) {
        if (outcome) {
            this->keep_full_head(*head, revision);
        }
        done(outcome);
    });
}

void config_follower::adopt(const history_head& head, const std::string& document,
                            const done_handler& done) {
    if (head.number() <= this->config.number()) {
        done({});
        return;
    }
    if (head.snapshot.number <= this->config.number()) {
        done(this->apply_tail(head));
        return;
    }
    if (document.empty()) {
        this->load_snapshot(head, 0, "", done);
        return;
    }
    done(this->load_document(head, document));
}

void config_follower::adopt_written(const history_head& head, std::uint64_t revision) {
    this->adopt(head, "", [](const result<void>& /*unused*/) {});
    this->keep_full_head(head, revision);
}

/// Keeps the store's head record, which has the whole tail. Peers send only the entries that this
/// instance lacks.
void config_follower::keep_full_head(const history_head& head, std::uint64_t revision) {
    this->stored_revision = std::max(this->stored_revision, revision);
    if (head.number() == this->config.number()) {
        this->current = head;
    }
}

void config_follower::adopt_compacted(const history_head& compacted) {
    assert(compacted.number() == this->current.number());
    this->current = compacted;
}

void config_follower::load_snapshot(const history_head& head, std::size_t next_chunk,
                                    std::string text, const done_handler& done) {
    if (next_chunk == head.snapshot.chunk_keys.size()) {
        done(this->load_from_snapshot(head, text));
        return;
    }
    this->store.get(head.snapshot.chunk_keys[next_chunk], [this, head, next_chunk,
                                                           assembled = std::move(text),
                                                           done](const result<store_value>& chunk) {
        if (!chunk) {
            done(tl::unexpected(chunk.error()));
        } else if (chunk->revision == 0) {
            // A newer snapshot has replaced this one.
            done(fail(error_kind::not_found, "a part of the document is gone"));
        } else {
            this->load_snapshot(head, next_chunk + 1, assembled + chunk->data, done);
        }
    });
}

result<void> config_follower::load_from_snapshot(const history_head& head,
                                                 const std::string& text) {
    if (head.snapshot.number < this->config.number()) {
        return this->apply_tail(head);
    }
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (auto loaded = this->config.load(head.snapshot.number, document); !loaded) {
        log_event(log_level::error, "snapshot_refused", {{"detail", loaded.error().detail}});
        return loaded;
    }
    this->current = history_head{head.snapshot, {}};
    return this->apply_tail(head);
}

result<void> config_follower::load_document(const history_head& head, const std::string& text) {
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (auto loaded = this->config.load(head.number(), document); !loaded) {
        log_event(log_level::error, "document_refused", {{"detail", loaded.error().detail}});
        return loaded;
    }
    this->current = head;
    this->report_adopted();
    return {};
}

result<void> config_follower::apply_tail(const history_head& head) {
    std::string last_hash = this->current.last_hash();
    for (const history_entry& entry : head.tail) {
        if (entry.number <= this->config.number()) {
            continue;
        }
        if (entry.previous_hash != last_hash) {
            log_event(log_level::error, "history_forked",
                      {{"number", std::to_string(entry.number.value)}});
            return fail(error_kind::invalid_value, "the history does not continue ours");
        }
        if (auto applied = this->config.apply(entry.number, entry.patch); !applied) {
            log_event(log_level::error, "entry_refused",
                      {{"number", std::to_string(entry.number.value)},
                       {"detail", applied.error().detail}});
            return applied;
        }
        last_hash = hash_of(entry);
        this->current.tail.push_back(entry);
    }
    this->report_adopted();
    return {};
}

void config_follower::report_adopted() {
    log_event(log_level::info, "configuration_adopted",
              {{"number", std::to_string(this->config.number().value)}});
    if (this->on_adopted) {
        this->on_adopted();
    }
}

} // namespace knapweedknot
