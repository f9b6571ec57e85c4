#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "event/http_client.h"
#include "event/loop.h"
#include "proxy/header_names.h"
#include "proxy/pending_request.h"

/// \file
/// Sends requests to targets, on kept or new connections.

namespace knapweedknot {

/// Parameters of attempts.
struct attempt_options {
    http_client_limits limits;
    /// Connections that were idle for longer are not reused.
    duration idle_limit{milliseconds(9000)};
    /// The same for requests that are not idempotent, which cannot be retried when the target has
    /// closed the connection.
    duration idle_limit_non_idempotent{milliseconds(8000)};
};

/// Called at the end of an attempt, with the attempt that has ended.
using attempt_handler =
    std::function<void(const pending_request_ptr&, request_attempt&, http_outcome)>;

/// Starts attempts. Not thread safe.
class attempt_sender {
public:
    /// The references must outlive this object, which must outlive its attempts.
    attempt_sender(loop& owner, const header_names& names, const attempt_options& options,
                   attempt_handler on_end)
        : owner(owner), names(names), options(options), on_end(std::move(on_end)) {}

    /// Sends \p pending to \p target, and counts it as tried there.
    /// \param model response times of the request's route; it must outlive the attempt
    void send(const pending_request_ptr& pending, const target_ptr& target,
              const latency_model& model);
    [[nodiscard]] std::uint64_t new_connections() const noexcept {
        return this->new_connection_count;
    }

private:
    void connect(const pending_request& pending, request_attempt& current);
    void write_request(const pending_request_ptr& pending, request_attempt& current);

    loop& owner;
    const header_names& names;
    const attempt_options& options;
    attempt_handler on_end;
    std::uint64_t new_connection_count{0};
};

} // namespace knapweedknot
