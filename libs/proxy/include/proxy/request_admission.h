#pragma once

#include <cstdint>
#include <random>

#include "decide/admission_queue.h"
#include "decide/latency_model.h"
#include "fleet/report_exchange.h"
#include "proxy/pending_request.h"
#include "proxy/target_pool.h"

/// \file
/// The queue of one balancer, with what it needs to know of requests, targets and instances.

namespace knapweedknot {

/// Decides which requests wait for a free target, by decide/admission_queue.h. Not thread safe.
class request_admission {
public:
    /// \p targets and \p reports must outlive this object.
    request_admission(const target_pool& targets, const report_exchange& reports);

    /// Whether a request that no target is free for should wait.
    /// \param model response times of the request's route
    /// \param pause time for which no target accepts requests
    [[nodiscard]] bool may_wait(const pending_request& pending, const latency_model& model,
                                duration pause, time_point now);
    /// \pre the request is not in the queue
    void push(const pending_request& pending, const latency_model& model, time_point now);
    /// Time after which a caller that is refused now finds room for its request.
    /// \param pause time for which no target accepts requests
    [[nodiscard]] duration retry_after(const pending_request& pending, duration pause,
                                       time_point now);
    /// Prolongs a retry delay, so that callers that are refused together do not return together.
    [[nodiscard]] duration spread(duration delay);

    [[nodiscard]] admission_queue& queue() noexcept { return this->waiting; }
    [[nodiscard]] const admission_queue& queue() const noexcept { return this->waiting; }

private:
    [[nodiscard]] double jitter();

    const target_pool& targets;
    const report_exchange& reports;
    admission_queue waiting;
    std::minstd_rand random;
};

} // namespace knapweedknot
