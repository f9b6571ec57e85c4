#include "standin_target.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/settings_reader.h"

namespace knapweedknot::standin {

namespace {

constexpr std::string_view outcome_header = "Knapweedknot-Outcome";

void reply(incoming_request& request, int status, const std::string& text, bool not_run = false) {
    http_response answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    if (not_run) {
        answer.headers.push_back({std::string(outcome_header), "not_run"});
    }
    if (request.method() == "HEAD") {
        answer.headers.push_back({"Content-Length", std::to_string(text.size())});
    } else {
        answer.body = make_body(text);
    }
    request.respond(std::move(answer));
}

/// When the caller stops waiting; far away without a deadline header.
time_point deadline_of(const incoming_request& request) {
    const std::string_view text = request.header("Knapweedknot-Deadline-Ms");
    long long left_ms = 0;
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), left_ms);
    return text.empty() || code != std::errc{} ? time_point::max()
                                               : boot_clock::now() + milliseconds(left_ms);
}

/// Announces a longer body than it sends, then closes.
void reply_truncated(incoming_request& request) {
    http_response answer;
    answer.status = 200;
    answer.headers.push_back({"Content-Length", "1000"});
    answer.headers.push_back({"Connection", "close"});
    answer.body = make_body("cut");
    request.respond(std::move(answer));
}

nlohmann::json describe(const incoming_request& request) {
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
    const auto whole = [&reader](std::string_view name, int fallback, std::string_view unit) {
        return static_cast<int>(reader.integer(name, fallback, 0, 1'000'000, unit));
    };
    changed.slots = whole("slots", changed.slots, "requests");
    changed.connections = whole("connections", changed.connections, "connections");
    changed.cold_start_ms = whole("cold_start_ms", changed.cold_start_ms, "ms");
    changed.restart_ms = whole("restart_ms", changed.restart_ms, "ms");
    changed.crash_marker = reader.text("crash_marker", changed.crash_marker);
    changed.health = reader.text("health", changed.health);
    reader.reject_unknown_fields();
    if (!problems.empty()) {
        return fail(error_kind::invalid_value, join_problems(problems));
    }
    behaviour = changed;
    return {};
}

standin_target::standin_target(loop& event_loop, std::string name, const endpoint& listen_address,
                               target_behaviour behaviour, execution_log log_sink,
                               std::uint64_t seed)
    : owner(event_loop), target_name(std::move(name)), address(listen_address),
      current(std::move(behaviour)), log(std::move(log_sink)), random(seed) {}

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
        running->end = timer();
        this->note("crashed", *running);
    }
    this->executing.clear();
    this->waiting.clear();
    this->hanging.clear();
    this->server.reset();
    this->restart = this->owner.after(milliseconds(this->current.restart_ms), [this] {
        if (const auto started_again = this->start(); !started_again) {
            this->log({{"step", "restart_failed"}, {"target", this->target_name}});
        }
    });
}

void standin_target::handle(const request_ptr& request) {
    this->connection_peak = std::max(this->connection_peak, this->server->open_connections());
    if (request->path() == "/health" || request->path() == "/load") {
        this->handle_health(request);
        return;
    }
    const bool over_connections =
        this->server->open_connections() > static_cast<std::size_t>(this->current.connections);
    if (this->current.mode == "shed" || this->current.mode == "leaving" || over_connections) {
        this->log({{"step", "shed"}, {"target", this->target_name}, {"uri", request->uri()}});
        reply(*request, 503, R"({"error": "shed"})", true);
        return;
    }
    this->waiting.push_back({request, deadline_of(*request)});
    this->run_next();
}

void standin_target::handle_health(const request_ptr& request) {
    if (request->path() == "/load") {
        reply(*request, 200, nlohmann::json{{"running", this->executing.size()}}.dump());
        return;
    }
    const bool truth = this->current.mode == "ok";
    const bool healthy = this->current.health == "ok" || (this->current.health == "truth" && truth);
    reply(*request, healthy ? 200 : 503, healthy ? "{}" : R"({"error": "sick"})");
}

void standin_target::run_next() {
    while (!this->waiting.empty() &&
           this->executing.size() < static_cast<std::size_t>(this->current.slots)) {
        const waiting_request next = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (next.request->is_finished()) {
            continue;
        }
        if (next.deadline <= boot_clock::now()) {
            reply(*next.request, 503, R"({"error": "deadline passed"})", true);
            continue;
        }
        this->run(next.request);
    }
}

void standin_target::run(const request_ptr& request) {
    auto running = std::make_shared<execution>();
    running->request = request;
    running->number = ++this->started;
    this->executing.push_back(running);
    this->note("started", *running);
    const std::string& marker = this->current.crash_marker;
    if (!marker.empty() && request->uri().find(marker) != std::string::npos) {
        // The crash destroys the server, which must not happen inside its own callback.
        this->owner.post([this] { this->crash(); });
        return;
    }
    request->on_caller_disconnect([this, running] {
        this->note("cancelled", *running);
        running->end = timer();
        std::erase(this->executing, running);
        this->run_next();
    });
    if (this->current.mode == "hang") {
        return;
    }
    running->end =
        this->owner.after(this->next_latency(), [this, running] { this->finish(running); });
}

void standin_target::finish(const std::shared_ptr<execution>& running) {
    // The timer's callback holds the execution; without it the request is dropped when unanswered.
    running->end = timer();
    std::erase(this->executing, running);
    running->request->on_caller_disconnect(nullptr);
    this->note("finished", *running);
    incoming_request& request = *running->request;
    if (this->current.mode == "error") {
        reply(request, 500, R"({"error": "failed"})");
    } else if (this->current.mode == "truncate") {
        reply_truncated(request);
    } else if (this->current.mode != "reset") {
        nlohmann::json body = describe(request);
        body["target"] = this->target_name;
        body["execution"] = running->number;
        reply(request, 200, body.dump() + '\n');
    }
    // In mode "reset" the request is dropped unanswered, which closes its connection.
    this->run_next();
}

void standin_target::note(std::string_view step, const execution& running) {
    const auto now = boot_clock::now().time_since_epoch();
    this->log({{"step", step},
               {"target", this->target_name},
               {"execution", running.number},
               {"at_ms", std::chrono::duration<double, std::milli>(now).count()},
               {"account", running.request->header("Knapweedknot-Account")},
               {"idempotency_key", running.request->header("Idempotency-Key")},
               {"uri", running.request->uri()}});
}

duration standin_target::next_latency() {
    double latency = this->current.latency_ms;
    if (this->current.exponential && latency > 0) {
        latency = std::exponential_distribution<double>(1 / latency)(this->random);
    }
    const bool cold =
        boot_clock::now() - this->started_at < milliseconds(this->current.cold_start_ms);
    const bool slow =
        std::uniform_real_distribution<double>(0, 1)(this->random) < this->current.slow_share;
    if (cold || slow) {
        latency *= this->current.slow_factor;
    }
    constexpr double ms_per_second = 1000;
    return from_seconds(latency / ms_per_second);
}

} // namespace knapweedknot::standin
