#include "platform_service.h"

#include <charconv>
#include <utility>

namespace knapweedknot::standin {

namespace {

constexpr duration expiry_interval = milliseconds(20);
constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
constexpr std::string_view key_prefix = "/v1/kv/";

std::uint64_t number_of(const std::string& text, std::uint64_t fallback = 0) {
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void reply(incoming_request& request, int status, std::string_view text,
           std::uint64_t revision = 0) {
    http_answer answer;
    answer.status = status;
    if (revision != 0) {
        answer.headers.push_back({"X-Revision", std::to_string(revision)});
    }
    answer.body = make_body(text);
    request.answer(std::move(answer));
}

http_server_limits server_limits() {
    http_server_limits limits;
    limits.max_body_bytes = max_value_bytes;
    limits.idle_timeout = seconds(600);
    return limits;
}

} // namespace

platform_service::platform_service(loop& event_loop, duration lag, std::uint64_t seed)
    : owner(event_loop), list_lag(lag), random(seed),
      server(event_loop, server_limits(), [this](auto request) { this->handle(request); }),
      expiry(event_loop.every(expiry_interval, [this] {
          if (this->state.expire(boot_clock::now()) > 0) {
              this->notify_watches();
          }
      })) {}

result<void> platform_service::listen(const endpoint& address) {
    return this->server.listen(address);
}

std::uint64_t platform_service::calls() const {
    std::uint64_t total = 0;
    for (const auto& [kind, count] : this->counts) {
        total += count;
    }
    return total;
}

void platform_service::handle(const request_ptr& request) {
    if (request->path().starts_with("/v1/admin/")) {
        this->handle_admin(request);
        return;
    }
    if (this->current_faults.outage == "refuse") {
        reply(*request, 503, "outage");
        return;
    }
    if (this->current_faults.outage == "hang") {
        this->hanging.push_back(request);
        return;
    }
    if (this->current_faults.delay == duration::zero()) {
        this->handle_platform_call(request);
        return;
    }
    this->delayed.push_back(this->owner.after(this->current_faults.delay, [this, request] {
        if (!request->is_caller_gone()) {
            this->handle_platform_call(request);
        }
    }));
}

void platform_service::handle_platform_call(const request_ptr& request) {
    const std::string path(request->path());
    if (path.starts_with(key_prefix)) {
        this->handle_key(request, path.substr(key_prefix.size()));
    } else if (path == "/v1/leases" && request->method() == "POST") {
        this->handle_lease(request);
    } else if (path == "/v1/instances" && request->method() == "GET") {
        ++this->counts["list"];
        reply(*request, 200, this->visible_instances.dump());
    } else {
        reply(*request, 404, "no such call");
    }
}

void platform_service::handle_key(const request_ptr& request, const std::string& key) {
    if (request->method() == "GET") {
        if (request->query_value("wait_ms").empty()) {
            ++this->counts["read"];
            this->answer_value(request, key);
        } else {
            this->handle_watch(request, key);
        }
    } else if (request->method() == "PUT") {
        this->handle_put(request, key);
    } else if (request->method() == "DELETE") {
        ++this->counts["write"];
        const bool erased = this->state.erase(key, number_of(request->query_value("expect")));
        this->notify_watches();
        this->finish_write(request, erased ? 200 : 409, 0);
    } else {
        reply(*request, 405, "method not allowed");
    }
}

void platform_service::handle_put(const request_ptr& request, const std::string& key) {
    ++this->counts["write"];
    const auto written =
        this->state.put(key, body_text(request->body()), number_of(request->query_value("expect")),
                        number_of(request->query_value("lease")));
    if (written) {
        this->notify_watches();
    }
    this->finish_write(request, written ? 200 : 409, written.value_or(0));
}

void platform_service::finish_write(const request_ptr& request, int status,
                                    std::uint64_t revision) {
    std::uniform_real_distribution<double> share(0, 1);
    if (share(this->random) < this->current_faults.lose_answers) {
        // Dropping the last reference closes the connection without an answer.
        return;
    }
    reply(*request, status, "", revision);
}

void platform_service::handle_watch(const request_ptr& request, const std::string& key) {
    ++this->counts["watch"];
    const std::uint64_t after = number_of(request->query_value("after"));
    const stored_value* present = this->state.find(key);
    if ((present == nullptr ? 0 : present->revision) != after) {
        this->answer_value(request, key);
        return;
    }
    this->watches.push_back({request, key, after, timer()});
    const auto place = std::prev(this->watches.end());
    const milliseconds wait(number_of(request->query_value("wait_ms")));
    place->limit = this->owner.after(wait, [this, place] {
        const request_ptr waiting = place->request;
        this->watches.erase(place);
        reply(*waiting, 304, "");
    });
    request->on_caller_gone([this, place] { this->watches.erase(place); });
}

void platform_service::notify_watches() {
    for (auto place = this->watches.begin(); place != this->watches.end();) {
        const stored_value* present = this->state.find(place->key);
        if ((present == nullptr ? 0 : present->revision) == place->after) {
            ++place;
            continue;
        }
        const request_ptr request = place->request;
        const std::string key = place->key;
        place = this->watches.erase(place);
        if (this->current_faults.outage == "none") {
            this->answer_value(request, key);
        } else {
            this->hanging.push_back(request);
        }
    }
}

void platform_service::answer_value(const request_ptr& request, const std::string& key) {
    if (const stored_value* present = this->state.find(key); present != nullptr) {
        reply(*request, 200, present->data, present->revision);
    } else {
        reply(*request, 404, "absent");
    }
}

void platform_service::handle_lease(const request_ptr& request) {
    ++this->counts["write"];
    const milliseconds ttl(number_of(request->query_value("ttl_ms")));
    const time_point now = boot_clock::now();
    std::uint64_t lease = number_of(request->query_value("renew"));
    if (lease == 0) {
        lease = this->state.grant_lease(ttl, now);
    } else if (!this->state.renew_lease(lease, ttl, now)) {
        reply(*request, 404, "lease has ended");
        return;
    }
    reply(*request, 200, nlohmann::json{{"lease", lease}}.dump());
}

void platform_service::handle_admin(const request_ptr& request) {
    if (request->path() == "/v1/admin/counts") {
        nlohmann::json counted = this->counts;
        counted["total"] = this->calls();
        counted["waiting_watches"] = this->watches.size();
        reply(*request, 200, counted.dump());
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(body_text(request->body()), nullptr, false);
    if (request->path() == "/v1/admin/faults" && body.is_object()) {
        this->current_faults.outage = body.value("outage", "none");
        this->current_faults.delay = milliseconds(body.value("slow_ms", 0));
        this->current_faults.lose_answers = body.value("lose_answers", 0.0);
        if (this->current_faults.outage == "none") {
            this->hanging.clear();
        }
        reply(*request, 200, "");
    } else if (request->path() == "/v1/admin/instances" && body.is_array()) {
        this->delayed.push_back(
            this->owner.after(this->list_lag, [this, body] { this->visible_instances = body; }));
        reply(*request, 200, "");
    } else {
        reply(*request, 400, "no such call, or the body is not JSON of the right kind");
    }
}

} // namespace knapweedknot::standin
