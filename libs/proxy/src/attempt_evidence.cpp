#include "proxy/attempt_evidence.h"

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr int status_ok_first = 200;
constexpr int status_ok_last = 299;
constexpr int status_misdirected = 421;
constexpr int first_server_error = 500;

bool is_success(int status) {
    return status >= status_ok_first && status <= status_ok_last;
}

/// Whether the target ended the connection while it may have run the request, as in a crash.
bool is_end_by_target(target_connection_end end) {
    return end == target_connection_end::closed_without_answer ||
           end == target_connection_end::reset_without_answer ||
           end == target_connection_end::closed_within_answer ||
           end == target_connection_end::reset_within_answer;
}

void log_failure(const pending_request& pending, const ended_attempt& ended,
                 const http_failure& failure, time_point now) {
    const bool is_unsent = failure.progress == send_progress::not_sent;
    log_event(log_level::info, "attempt_failed",
              {{"id", pending.request.id},
               {"target", ended.target->id().value},
               {"problem", std::string(answer_for(failure.problem.kind).name)},
               {"detail", failure.problem.detail},
               {"sent", is_unsent ? "no" : "yes"},
               {"reused", ended.reused ? "yes" : "no"},
               {"idle_ms", std::to_string(to_milliseconds(ended.idle_before))},
               {"age_ms", std::to_string(to_milliseconds(now - ended.started))}});
}

} // namespace

response_kind classify_response(const http_response& answer, const header_names& names) {
    if (answer.status == status_misdirected) {
        return response_kind::misdirected;
    }
    if (find_header(answer.headers, names.not_executed) != nullptr) {
        return response_kind::not_executed;
    }
    const bool is_signed = find_header(answer.headers, names.signature) != nullptr;
    if (is_success(answer.status) && !is_signed) {
        return response_kind::unsigned_success;
    }
    return answer.status >= first_server_error ? response_kind::server_error
                                               : response_kind::usable;
}

void attempt_evidence::record_response(const pending_request& pending, const target_ptr& target,
                                       duration response_time, const http_response& answer,
                                       time_point now) {
    const response_kind kind = classify_response(answer, this->names);
    // A misdirected request was answered by another target.
    if (kind != response_kind::misdirected) {
        this->targets.apply_announcement(*target, read_announcement(answer, this->names), now);
    }
    switch (kind) {
    case response_kind::misdirected:
        this->record_misdirected(pending, *target);
        break;
    case response_kind::not_executed:
        if (now >= target->announced.paused_until) {
            this->record_suspicion(*target, error_response_suspicion, now);
        }
        break;
    case response_kind::unsigned_success:
        this->record_suspicion(*target, exchange_failure_suspicion, now);
        break;
    case response_kind::server_error:
        this->retries.clear_crashes(pending.request.fingerprint, now);
        this->record_suspicion(*target, error_response_suspicion, now);
        break;
    case response_kind::usable:
        this->retries.clear_crashes(pending.request.fingerprint, now);
        this->targets.record_success(*target, now - response_time, now);
        break;
    }
}

void attempt_evidence::record_misdirected(const pending_request& pending, pooled_target& target) {
    target.misdirected = true;
    target.idle.clear();
    log_event(log_level::warning, "target_misdirected",
              {{"id", pending.request.id}, {"target", target.id().value}});
}

void attempt_evidence::record_suspicion(pooled_target& target, double suspicion, time_point now) {
    this->targets.record_failure(target, suspicion, now);
    this->targets.check_target(target, now);
}

void attempt_evidence::record_crash(const request_attempt& ended, const http_failure& failure,
                                    time_point now) {
    if (is_end_by_target(failure.end) && ended.target->accepts_requests(now)) {
        this->targets.record_crash(*ended.target, now);
    }
}

void attempt_evidence::record_failure(const pending_request& pending, const ended_attempt& ended,
                                      const http_failure& failure, time_point now) {
    this->record_end(pending, ended, failure, now);
    // The other idle connections to this target may be broken too.
    ended.target->idle.clear();
    log_failure(pending, ended, failure, now);
    const bool is_unsent = failure.progress == send_progress::not_sent;
    if (!is_unsent) {
        this->targets.record_failure(*ended.target, exchange_failure_suspicion, now);
    } else if (!ended.reused) {
        this->targets.record_failure(*ended.target, connect_failure_suspicion, now);
    }
    this->targets.check_target(*ended.target, now);
}

/// Records the end of a connection as evidence of a crash. Ends of kept connections count as well,
/// unless the target may have closed them as idle.
void attempt_evidence::record_end(const pending_request& pending, const ended_attempt& ended,
                                  const http_failure& failure, time_point now) {
    const bool in_service = ended.target->accepts_requests(now);
    if (failure.progress == send_progress::not_sent) {
        if (in_service && !ended.reused) {
            this->retries.record_unreachable(ended.target->id(), now);
        }
        return;
    }
    if (failure.problem.kind != error_kind::deadline_exceeded) {
        this->retries.record_end(pending.request.fingerprint, ended.target->id(),
                                 {in_service, ended.idle_before, now - ended.started}, now);
    }
}

} // namespace knapweedknot
