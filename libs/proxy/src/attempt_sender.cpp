#include "proxy/attempt_sender.h"

#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

// The connection's own time-out comes after the deadline of the request, which says more.
constexpr duration timeout_margin = milliseconds(40);

std::string format_ms(duration value) {
    return std::to_string(to_milliseconds(value));
}

} // namespace

void attempt_sender::send(const pending_request_ptr& pending, const target_ptr& target,
                          const latency_model& model) {
    const time_point now = boot_clock::now();
    request_attempt& current = pending->attempts.emplace_back();
    current.target = target;
    current.started = now;
    current.model = &model;
    current.counted_bytes = counted_body_bytes(*pending);
    this->connect(*pending, current);
    target->running.push_back(&current);
    pending->tried_targets.insert(target->id());
    pending->last_target = target->id();
    pending->first_sent = pending->first_sent.value_or(now);
    ++pending->send_count;
    this->write_request(pending, current);
}

void attempt_sender::connect(const pending_request& pending, request_attempt& current) {
    current.connection = target_pool::take_connection(
        *current.target, pending.request.route->idempotent
                             ? this->options.idle_limit
                             : this->options.idle_limit_non_idempotent);
    current.reused = current.connection != nullptr;
    if (current.reused) {
        current.idle_before = current.connection->idle_time();
        return;
    }
    const registered_target& where = current.target->known.registration;
    current.connection = std::make_unique<http_connection>(
        this->owner, endpoint{where.ip, where.port}, this->options.limits);
    ++this->new_connection_count;
}

void attempt_sender::write_request(const pending_request_ptr& pending, request_attempt& current) {
    http_request message;
    message.method = pending->request.message.method;
    message.uri = pending->request.message.uri;
    message.headers = pending->request.message.headers;
    message.body = copy_body(pending->request.message.body.get());
    const duration left = pending->request.deadline - current.started;
    message.headers.push_back({this->names.time_left_ms, format_ms(left)});
    message.headers.push_back({this->names.intended_target, current.target->id().value});
    log_event(log_level::debug, "request_sent",
              {{"id", pending->request.id},
               {"target", current.target->id().value},
               {"attempt", std::to_string(pending->send_count)},
               {"reused", current.reused ? "yes" : "no"},
               {"left_ms", format_ms(left)}});
    // The list of attempts keeps this address valid until the attempt has ended.
    current.connection->send(std::move(message), left + timeout_margin,
                             [this, pending, sent = &current](http_outcome outcome) {
                                 this->on_end(pending, *sent, std::move(outcome));
                             });
}

} // namespace knapweedknot
