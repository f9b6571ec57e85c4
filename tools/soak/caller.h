#pragma once

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet.h"
#include "message.h"
#include "stream.h"

/// \file
/// Callers of the soak: they ask where to connect, send requests by their habit, and record what
/// became of each.

namespace knapweedknot::soak {

/// How a caller uses connections.
enum class caller_habit {
    /// Waits for each response, on a kept connection.
    kept,
    /// Sends up to six safe requests before the first is answered.
    pipelined,
    /// Waits for each response, and lets its connection idle nearly as long as it may.
    idling,
    /// One connection for each request.
    fresh,
};

/// What a caller is like.
struct caller_shape {
    caller_habit habit{caller_habit::kept};
    /// Uses open connections also to addresses that are no longer listed.
    bool stays{false};
    stream_options connection;
};

/// Not thread safe.
class caller {
public:
    caller(loop& owner, const fleet& edges, records& seen, std::size_t number, caller_shape shape,
           std::uint64_t seed);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Does what is due; call it often.
    void step();
    /// From now on sends no new request; retries go on.
    void stop() noexcept { this->is_stopping = true; }
    /// True when no request is unanswered or waits for a retry.
    [[nodiscard]] bool is_done() const;

private:
    struct job;
    struct link;
    using job_ptr = std::shared_ptr<job>;
    using link_ptr = std::shared_ptr<link>;

    void resolve(int tries_left);
    void take_addresses(const std::string& text);
    void expire(const link_ptr& checked);
    [[nodiscard]] job_ptr next_job();
    [[nodiscard]] job_ptr draw_job();
    [[nodiscard]] link_ptr open_link();
    [[nodiscard]] link_ptr usable_link();
    void send(const link_ptr& over, const job_ptr& sent);
    void read(const link_ptr& from);
    void take_response(const link_ptr& from, const message& response);
    /// Records the end of all unanswered requests of \p ended, and plans their retries.
    void end_link(const link_ptr& ended, attempt_end how);
    /// Sends \p failed again, where the protocol allows it.
    void retry(const job_ptr& failed, bool has_not_run, duration wait);
    void retire(const link_ptr& used);
    [[nodiscard]] double draw(double least, double most);
    /// Time that a connection may be idle under the policies that may be in force.
    [[nodiscard]] duration usable_idle_time() const;

    loop& owner;
    const fleet& edges;
    records& seen;
    const std::string name;
    const caller_shape shape;
    std::mt19937_64 random;
    std::vector<int> addresses;
    std::set<int> failed_addresses;
    time_point resolve_at;
    bool is_resolving{false};
    std::vector<link_ptr> links;
    std::deque<job_ptr> retries;
    time_point next_send;
    std::size_t sent_count{0};
    bool is_stopping{false};
    /// Answers to questions that outlive the caller are dropped.
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace knapweedknot::soak
