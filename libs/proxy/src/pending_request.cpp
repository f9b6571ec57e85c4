#include "proxy/pending_request.h"

#include "decide/target_memory.h"

namespace knapweedknot {

bool may_retry(const pending_request& pending, time_point now) {
    return pending.request.route->idempotent &&
           pending.send_count < pending.request.route->max_attempts &&
           pending.request.deadline - now > min_time_left;
}

attempt_kind kind_of_next_attempt(const pending_request& pending) {
    const bool is_retryable = pending.request.route->idempotent &&
                              pending.send_count + 1 < pending.request.route->max_attempts;
    return is_retryable ? attempt_kind::retryable : attempt_kind::final;
}

std::uint64_t counted_body_bytes(const pending_request& pending) {
    return counted_bytes(body_size(pending.request.message.body.get()));
}

void remove_attempt(pending_request& pending, request_attempt& ended) {
    std::erase(ended.target->running, &ended);
    pending.attempts.remove_if([&ended](const request_attempt& item) { return &item == &ended; });
}

void cancel_attempts(pending_request& pending) {
    for (request_attempt& current : pending.attempts) {
        std::erase(current.target->running, &current);
        current.connection->cancel();
    }
    pending.attempts.clear();
}

proxy_failure make_failure(const pending_request& pending, const error& problem,
                           std::optional<duration> retry_after, time_point now) {
    const duration queue_time = pending.first_sent.value_or(now) - pending.request.arrived_at;
    proxy_failure failure{
        problem,   execution::not_run, retry_after, pending.send_count, pending.last_target,
        queue_time};
    if (pending.may_have_run) {
        failure.outcome = execution::may_have_run;
        failure.retry_after.reset();
        if (answer_for(problem.kind).outcome == execution::not_run) {
            failure.problem.kind = error_kind::target_failed;
        }
    }
    return failure;
}

} // namespace knapweedknot
