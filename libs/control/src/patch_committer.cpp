#include "control/patch_committer.h"

#include <ctime>
#include <utility>

#include "base/digest.h"
#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr int max_write_attempts = 5;
constexpr duration retry_delay = milliseconds(300);
constexpr duration write_timeout = seconds(10);
constexpr duration in_force_timeout = milliseconds(5000);
constexpr std::size_t max_head_bytes = std::size_t{400} * 1024;
constexpr std::size_t max_patch_bytes = std::size_t{400} * 1024;
constexpr std::size_t max_tail_entries = 64;
constexpr std::size_t chunk_bytes = std::size_t{512} * 1024;

std::string utc_now() {
    constexpr std::size_t text_bytes = 32;
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    char text[text_bytes];
    const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text, size};
}

} // namespace

patch_committer::patch_committer(loop& event_loop, store_client& client,
                                 config_follower& config_source, configuration& config_used,
                                 config_quorum& quorum_used)
    : owner(event_loop), store(client), follower(config_source), config(config_used),
      quorum(quorum_used) {}

void patch_committer::submit(patch_submission submission, handler done) {
    this->queue.push_back({std::move(submission), std::move(done), {}, 0, {}});
    this->start_next_job();
}

void patch_committer::start_next_job() {
    if (this->busy || this->queue.empty()) {
        return;
    }
    this->busy = true;
    // The newest head reveals conflicts early and gives the expected revision of the write.
    this->follower.refresh([this](const result<void>& outcome) {
        if (!outcome) {
            this->reject(outcome.error());
            return;
        }
        this->validate();
    });
}

const history_entry* patch_committer::find_submitted_entry() const {
    for (const history_entry& entry : this->follower.head().tail) {
        if (entry.patch_id == this->queue.front().submission.patch_id) {
            return &entry;
        }
    }
    return nullptr;
}

void patch_committer::validate() {
    const patch_submission& submission = this->queue.front().submission;
    if (const history_entry* entry = this->find_submitted_entry(); entry != nullptr) {
        this->accept(entry->number);
        return;
    }
    if (submission.base != this->config.number()) {
        this->reject({error_kind::configuration_conflict,
                      "written against " + std::to_string(submission.base.value) +
                          ", but the configuration is at " +
                          std::to_string(this->config.number().value)});
        return;
    }
    if (submission.patch.dump().size() > max_patch_bytes) {
        this->reject(
            {error_kind::request_too_large,
             "a patch has at most " + std::to_string(max_patch_bytes) + " bytes; split it"});
        return;
    }
    if (const auto checked = this->config.check(submission.patch); !checked) {
        this->reject(checked.error());
        return;
    }
    if (this->needs_compaction()) {
        this->compact();
    } else {
        this->announce();
    }
}

bool patch_committer::needs_compaction() const {
    const history_head& base = this->follower.head();
    const std::size_t size =
        encode_head(base).size() + this->queue.front().submission.patch.dump().size();
    return !base.tail.empty() && (size > max_head_bytes || base.tail.size() >= max_tail_entries);
}

void patch_committer::announce() {
    this->queue.front().announced_at = boot_clock::now();
    const config_number next{this->config.number().value + 1};
    this->quorum.announce(next, this->queue.front().submission.patch_id,
                          [this, next](const result<void>& outcome) {
                              if (!outcome) {
                                  this->reject(outcome.error());
                                  return;
                              }
                              if (this->config.number().value + 1 != next.value) {
                                  this->resolve_outcome();
                                  return;
                              }
                              this->append_entry();
                          });
}

void patch_committer::append_entry() {
    const history_head& base = this->follower.head();
    const patch_submission& submission = this->queue.front().submission;
    history_entry entry;
    entry.number.value = base.number().value + 1;
    entry.base = submission.base;
    entry.author = submission.author;
    entry.accepted_at = utc_now();
    entry.patch_id = submission.patch_id;
    entry.previous_hash = base.last_hash();
    entry.patch = submission.patch;
    this->queue.front().written = base;
    this->queue.front().written.tail.push_back(std::move(entry));
    this->write_head();
}

/// Writes the whole tail to the archive and the document to chunks, as the snapshot of a new head.
void patch_committer::compact() {
    const history_head& base = this->follower.head();
    const history_archive archive{base.snapshot.archive_key, base.tail};
    history_head compacted;
    compacted.snapshot.number = base.number();
    compacted.snapshot.last_hash = base.last_hash();
    this->write_archive(std::move(compacted), archive);
}

void patch_committer::write_archive(history_head compacted, const history_archive& archive) {
    const std::string text = encode_archive(archive);
    compacted.snapshot.archive_key = "knapweedknot/archive/" + sha256_hex(text);
    const std::string key = compacted.snapshot.archive_key;
    this->store.compare_and_swap(
        key, text, 0, std::nullopt, [this, compacted](const result<write_result>& outcome) {
            if (!outcome) {
                this->handle_compaction_error(outcome.error());
                return;
            }
            // Keys are content hashes: on a conflict the same content is stored.
            this->write_chunk(compacted, 0, this->config.document().dump());
        });
}

void patch_committer::write_chunk(history_head compacted, std::size_t offset,
                                  const std::string& document) {
    if (offset >= document.size()) {
        if (compacted.number() == this->config.number()) {
            this->follower.adopt_compacted(compacted);
        }
        this->announce();
        return;
    }
    const std::string chunk = document.substr(offset, chunk_bytes);
    const std::string key = "knapweedknot/document/" + sha256_hex(chunk);
    compacted.snapshot.chunk_keys.push_back(key);
    this->store.compare_and_swap(
        key, chunk, 0, std::nullopt,
        [this, compacted, offset, document](const result<write_result>& outcome) {
            if (!outcome) {
                this->handle_compaction_error(outcome.error());
                return;
            }
            this->write_chunk(compacted, offset + chunk_bytes, document);
        });
}

void patch_committer::handle_compaction_error(const error& problem) {
    this->reject({error_kind::store_unavailable, "nothing was accepted: " + problem.detail});
}

void patch_committer::write_head() {
    job& current = this->queue.front();
    if (boot_clock::now() - current.announced_at > write_timeout) {
        // Other instances may have expired the announcement, so the write must no longer take
        // effect.
        this->reject(
            {current.attempts == 0 ? error_kind::store_unavailable : error_kind::outcome_unknown,
             "writing the patch took too long"});
        return;
    }
    ++current.attempts;
    this->store.compare_and_swap(
        head_key, encode_head(current.written), this->follower.revision(), std::nullopt,
        [this](const result<write_result>& outcome) { this->handle_swap(outcome); });
}

void patch_committer::handle_swap(const result<write_result>& outcome) {
    if (outcome && outcome->applied) {
        const history_head written = this->queue.front().written;
        this->follower.adopt_written(written, outcome->revision);
        this->accept(written.number());
        return;
    }
    if (!outcome && outcome.error().kind == error_kind::store_unavailable &&
        this->queue.front().attempts == 1) {
        this->quorum.withdraw(this->queue.front().written.number(),
                              this->queue.front().submission.patch_id);
        this->reject(
            {error_kind::store_unavailable, "nothing was accepted: " + outcome.error().detail});
        return;
    }
    this->resolve_outcome();
}

void patch_committer::resolve_outcome() {
    this->follower.refresh([this](const result<void>& outcome) {
        job& current = this->queue.front();
        const history_entry* entry = this->find_submitted_entry();
        if (outcome && entry != nullptr) {
            this->accept(entry->number);
            return;
        }
        if (outcome && this->config.number() > current.submission.base) {
            this->reject({error_kind::configuration_conflict,
                          "another patch was accepted first; the configuration is at " +
                              std::to_string(this->config.number().value)});
            return;
        }
        if (current.attempts >= max_write_attempts) {
            this->reject({error_kind::outcome_unknown,
                          "the store does not tell whether the patch was accepted; look at the "
                          "history for patch id " +
                              current.submission.patch_id});
            return;
        }
        // A retry is safe: a write that expects the same revision takes effect at most once.
        this->retry_timer = this->owner.after(retry_delay, [this] {
            if (this->queue.front().written.tail.empty()) {
                this->reject({error_kind::configuration_conflict, "the history has moved on"});
                return;
            }
            this->write_head();
        });
    });
}

void patch_committer::accept(config_number number) {
    job finished = std::move(this->queue.front());
    this->queue.pop_front();
    this->busy = false;
    log_event(log_level::info, "patch_accepted",
              {{"number", std::to_string(number.value)},
               {"author", finished.submission.author},
               {"patch_id", finished.submission.patch_id}});
    this->quorum.broadcast_head();
    this->quorum.await_in_force(number, in_force_timeout,
                                [number, done = std::move(finished.done)](bool everywhere) {
                                    done(accepted_patch{number, everywhere});
                                });
    this->start_next_job();
}

void patch_committer::reject(error problem) {
    const job finished = std::move(this->queue.front());
    this->queue.pop_front();
    this->busy = false;
    log_event(log_level::warning, "patch_refused",
              {{"author", finished.submission.author},
               {"kind", std::string(answer_for(problem.kind).name)},
               {"detail", problem.detail}});
    finished.done(tl::unexpected(std::move(problem)));
    this->start_next_job();
}

} // namespace knapweedknot
