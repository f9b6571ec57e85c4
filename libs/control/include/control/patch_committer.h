#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/config_follower.h"
#include "control/config_quorum.h"
#include "event/loop.h"
#include "platform/store_client.h"

/// \file
/// Commits operators' patches: announces each one to the fleet, appends it to the head record by
/// compare-and-swap, and determines the outcome of a write whose answer was lost.

namespace knapweedknot {

/// A patch submitted by an operator.
struct patch_submission {
    /// Configuration number that the patch is based on.
    config_number base;
    std::string author;
    /// RFC 7396 merge patch.
    nlohmann::json patch;
    /// Idempotency key chosen by the submitter: a patch submitted twice is accepted once.
    std::string patch_id;
};

/// An accepted patch.
struct accepted_patch {
    config_number number;
    /// Whether every connected instance has adopted it. Instances that have not serve no route that
    /// requires an API key.
    bool in_force{false};
};

/// Commits queued patches one at a time. Not thread safe.
class patch_committer {
public:
    using handler = std::function<void(result<accepted_patch>)>;

    patch_committer(loop& owner, store_client& store, config_follower& follower,
                    configuration& config, config_quorum& quorum);

    /// Queues \p submission. Errors: configuration_conflict when another patch was accepted first,
    /// request_too_large, invalid_value with the paths of the invalid values, peer_unreachable or
    /// store_unavailable when nothing was written, outcome_unknown when the outcome of the write
    /// could not be determined.
    void submit(patch_submission submission, handler done);

private:
    struct job {
        patch_submission submission;
        handler done;
        history_head written;
        int attempts{0};
        time_point announced_at;
    };

    void start_next_job();
    void validate();
    void announce();
    void append_entry();
    void compact();
    void write_chunk(history_head compacted, std::size_t offset, const std::string& document);
    void write_archive(history_head compacted, const history_archive& archive);
    void write_head();
    void handle_swap(const result<write_result>& outcome);
    void resolve_outcome();
    void accept(config_number number);
    [[nodiscard]] bool needs_compaction() const;
    void handle_compaction_error(const error& problem);
    void reject(error problem);
    [[nodiscard]] const history_entry* find_submitted_entry() const;

    loop& owner;
    store_client& store;
    config_follower& follower;
    configuration& config;
    config_quorum& quorum;
    std::deque<job> queue;
    bool busy{false};
    timer retry_timer;
};

} // namespace knapweedknot
