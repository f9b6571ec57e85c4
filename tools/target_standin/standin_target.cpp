#include "standin_target.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/settings_reader.h"

namespace knapweedknot::standin {

namespace {

constexpr std::string_view outcome_header = "Knapweedknot-Outcome";

/// Time at which the caller stops waiting; time_point::max() without a valid deadline header.
time_point read_deadline(const incoming_request& request) {
    const std::string_view text = request.header("Knapweedknot-Deadline-Ms");
    long long left_ms = 0;
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), left_ms);
    return text.empty() || code != std::errc{} ? time_point::max()
                                               : boot_clock::now() + milliseconds(left_ms);
}

/// Sends a shorter body than its Content-Length, then closes the connection.
void send_truncated_response(incoming_request& request) {
    http_response response;
    response.status = 200;
    response.headers.push_back({"Content-Length", "1000"});
    response.headers.push_back({"Connection", "close"});
    response.body = make_body("cut");
    request.respond(std::move(response));
}

nlohmann::json request_json(const incoming_request& request) {
    nlohmann::json headers = nlohmann::json::object();
    for (const auto& [name, value] : request.headers()) {
        headers[name] = value;
    }
    return {{"method", request.method()},
            {"uri", request.uri()},
            {"headers", headers},
            {"body_bytes", body_size(request.body())}};
}

} // namespace

result<void> update_behaviour(target_behaviour& behaviour, const nlohmann::json& source) {
    std::vector<std::string> problems;
    settings_reader reader(source, "", problems);
    target_behaviour changed = behaviour;
    changed.mode = reader.text("mode", changed.mode);
    changed.latency_ms = reader.number("latency_ms", changed.latency_ms, 0, 1e6, "ms");
    changed.exponential = reader.flag("exponential", changed.exponential);
    changed.slow_share = reader.number("slow_share", changed.slow_share, 0, 1, "of requests");
    changed.slow_factor = reader.number("slow_factor", changed.slow_factor, 1, 1e6, "times");
    const auto read_integer = [&reader](std::string_view name, int fallback,
                                        std::string_view unit) {
        return static_cast<int>(reader.integer(name, fallback, 0, 1'000'000, unit));
    };
    changed.slots = read_integer("slots", changed.slots, "requests");
    changed.connections = read_integer("connections", changed.connections, "connections");
    changed.cold_start_ms = read_integer("cold_start_ms", changed.cold_start_ms, "ms");
    changed.restart_ms = read_integer("restart_ms", changed.restart_ms, "ms");
    changed.crash_marker = reader.text("crash_marker", changed.crash_marker);
    changed.announce_leaving = reader.flag("announce_leaving", changed.announce_leaving);
    changed.retry_after_s = reader.number("retry_after_s", changed.retry_after_s, 0, 1e6, "s");
    changed.health = reader.text("health", changed.health);
    reader.reject_unknown_fields();
    if (!problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(problems));
    }
    behaviour = changed;
    return {};
}

standin_target::standin_target(loop& event_loop, std::string name, const endpoint& listen_address,
                               target_behaviour behaviour, execution_log log_callback,
                               std::uint64_t seed)
    : owner(event_loop), target_name(std::move(name)), address(listen_address),
      current_behaviour(std::move(behaviour)), log(std::move(log_callback)), random(seed) {}

void standin_target::send_response(incoming_request& request, int status, const std::string& text,
                                   http_headers further) {
    http_response response;
    response.status = status;
    response.headers = std::move(further);
    response.headers.push_back({"Content-Type", "application/json"});
    if (this->current_behaviour.announce_leaving) {
        response.headers.push_back({"Server-Leaving", "1"});
    }
    if (request.method() == "HEAD") {
        response.headers.push_back({"Content-Length", std::to_string(text.size())});
    } else {
        response.body = make_body(text);
    }
    request.respond(std::move(response));
}

void standin_target::refuse(incoming_request& request, const std::string& text) {
    http_headers further{{std::string(outcome_header), "not_run"}};
    if (const double retry_after_s = this->current_behaviour.retry_after_s; retry_after_s > 0) {
        further.push_back({"Retry-After", nlohmann::json(retry_after_s).dump()});
    }
    this->send_response(request, 503, text, std::move(further));
}

result<void> standin_target::start() {
    http_server_limits limits;
    limits.max_body_bytes = std::size_t{64} * 1024 * 1024;
    limits.idle_timeout = seconds(600);
    this->server = std::make_unique<http_server>(this->owner, limits,
                                                 [this](auto request) { this->handle(request); });
    this->started_at = boot_clock::now();
    return this->server->listen(this->address);
}

void standin_target::crash() {
    for (const auto& running : this->executing) {
        running->finish_timer = timer();
        this->log_step("crashed", *running);
    }
    this->executing.clear();
    this->queue.clear();
    this->hanging.clear();
    this->server.reset();
    this->restart_timer =
        this->owner.after(milliseconds(this->current_behaviour.restart_ms), [this] {
            if (const auto started_again = this->start(); !started_again) {
                this->log({{"step", "restart_failed"}, {"target", this->target_name}});
            }
        });
}

void standin_target::handle(const request_ptr& request) {
    this->max_open_connections =
        std::max(this->max_open_connections, this->server->open_connections());
    if (request->path() == "/health" || request->path() == "/load") {
        this->handle_status_request(request);
        return;
    }
    const bool exceeds_connection_limit =
        this->server->open_connections() >
        static_cast<std::size_t>(this->current_behaviour.connections);
    if (this->current_behaviour.mode == "shed" || this->current_behaviour.mode == "leaving" ||
        exceeds_connection_limit) {
        this->log({{"step", "shed"}, {"target", this->target_name}, {"uri", request->uri()}});
        this->refuse(*request, R"({"error": "shed"})");
        return;
    }
    this->queue.push_back({request, read_deadline(*request)});
    this->execute_queued();
}

void standin_target::handle_status_request(const request_ptr& request) {
    if (request->path() == "/load") {
        this->send_response(*request, 200,
                            nlohmann::json{{"running", this->executing.size()}}.dump());
        return;
    }
    const bool is_ok = this->current_behaviour.mode == "ok";
    const bool is_healthy = this->current_behaviour.health == "ok" ||
                            (this->current_behaviour.health == "truth" && is_ok);
    this->send_response(*request, is_healthy ? 200 : 503,
                        is_healthy ? "{}" : R"({"error": "sick"})");
}

void standin_target::execute_queued() {
    while (!this->queue.empty() &&
           this->executing.size() < static_cast<std::size_t>(this->current_behaviour.slots)) {
        const queued_request next = std::move(this->queue.front());
        this->queue.pop_front();
        if (next.request->is_finished()) {
            continue;
        }
        if (next.deadline <= boot_clock::now()) {
            this->refuse(*next.request, R"({"error": "deadline passed"})");
            continue;
        }
        this->execute(next.request);
    }
}

void standin_target::execute(const request_ptr& request) {
    auto running = std::make_shared<execution>();
    running->request = request;
    running->number = ++this->execution_count;
    this->executing.push_back(running);
    this->log_step("started", *running);
    const std::string& marker = this->current_behaviour.crash_marker;
    if (!marker.empty() && request->uri().find(marker) != std::string::npos) {
        // crash() destroys the server, which must not happen within a callback of that server.
        this->owner.post([this] { this->crash(); });
        return;
    }
    request->on_caller_disconnect([this, running] {
        this->log_step("cancelled", *running);
        running->finish_timer = timer();
        std::erase(this->executing, running);
        this->execute_queued();
    });
    if (this->current_behaviour.mode == "hang") {
        return;
    }
    running->finish_timer =
        this->owner.after(this->draw_latency(), [this, running] { this->finish(running); });
}

void standin_target::finish(const std::shared_ptr<execution>& running) {
    // The timer's callback holds a reference to the execution. It is released here so that a
    // request without a response is dropped.
    running->finish_timer = timer();
    std::erase(this->executing, running);
    running->request->on_caller_disconnect(nullptr);
    this->log_step("finished", *running);
    incoming_request& request = *running->request;
    if (this->current_behaviour.mode == "error") {
        this->send_response(request, 500, R"({"error": "failed"})");
    } else if (this->current_behaviour.mode == "truncate") {
        send_truncated_response(request);
    } else if (this->current_behaviour.mode != "reset") {
        nlohmann::json body = request_json(request);
        body["target"] = this->target_name;
        body["execution"] = running->number;
        this->send_response(request, 200, body.dump() + '\n');
    }
    // In mode "reset" the request is dropped without a response, which closes its connection.
    this->execute_queued();
}

void standin_target::log_step(std::string_view step, const execution& running) {
    const auto now = boot_clock::now().time_since_epoch();
    this->log({{"step", step},
               {"target", this->target_name},
               {"execution", running.number},
               {"at_ms", std::chrono::duration<double, std::milli>(now).count()},
               {"account", running.request->header("Knapweedknot-Account")},
               {"idempotency_key", running.request->header("Idempotency-Key")},
               {"uri", running.request->uri()}});
}

duration standin_target::draw_latency() {
    double latency = this->current_behaviour.latency_ms;
    if (this->current_behaviour.exponential && latency > 0) {
        latency = std::exponential_distribution<double>(1 / latency)(this->random);
    }
    const bool is_cold =
        boot_clock::now() - this->started_at < milliseconds(this->current_behaviour.cold_start_ms);
    const bool is_slow = std::uniform_real_distribution<double>(0, 1)(this->random) <
                         this->current_behaviour.slow_share;
    if (is_cold || is_slow) {
        latency *= this->current_behaviour.slow_factor;
    }
    constexpr double ms_per_second = 1000;
    return from_seconds(latency / ms_per_second);
}

} // namespace knapweedknot::standin
