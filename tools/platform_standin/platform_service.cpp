#include "platform_service.h"

#include <charconv>
#include <utility>
#include <vector>

#include "base/base64.h"

namespace knapweedknot::standin {

namespace {

using nlohmann::json;

constexpr duration expiry_interval = milliseconds(20);
constexpr std::size_t max_value_bytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t max_page_items = 500;
constexpr std::string_view lease_renewal_prefix = "/kv-keep/";
constexpr std::string_view lease_end_prefix = "/kv-lease-end/";

std::uint64_t parse_number(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void send_response(incoming_request& request, int status, std::string_view text) {
    http_response response;
    response.status = status;
    response.body = make_body(text);
    request.respond(std::move(response));
}

void send_json(incoming_request& request, int status, const json& body) {
    send_response(request, status, body.dump());
}

json item_json(const std::string& key, const stored_value& value) {
    return {{"key", key},
            {"value", encode_base64(value.data)},
            {"rev", value.revision},
            {"create-rev", value.create_revision},
            {"lease", value.lease}};
}

json event_json(const stored_change& change) {
    if (change.value) {
        return item_json(change.key, *change.value);
    }
    return {{"key", change.key}, {"rev", change.revision}, {"tombstone", true}};
}

/// Parses a /kv-txn body; nothing when it is malformed.
std::optional<transaction> parse_transaction(const json& body) {
    if (!body.is_object()) {
        return std::nullopt;
    }
    transaction parsed;
    try {
        for (const json& entry : body.value("expected-rev", json::array())) {
            parsed.expected[entry.at("key").get<std::string>()] =
                entry.at("rev").get<std::uint64_t>();
        }
        for (const json& entry : body.value("puts", json::array())) {
            const auto data = decode_base64(entry.at("value").get<std::string>());
            if (!data) {
                return std::nullopt;
            }
            parsed.puts.push_back({entry.at("key").get<std::string>(), *data,
                                   entry.value("lease", std::uint64_t{0})});
        }
        for (const json& key : body.value("remove", json::array())) {
            parsed.removals.push_back(key.get<std::string>());
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return parsed;
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
      expiry_timer(event_loop.every(expiry_interval, [this] {
          if (this->store.expire(boot_clock::now())) {
              this->notify_watches();
          }
      })) {}

result<void> platform_service::listen(const endpoint& address) {
    return this->server.listen(address);
}

std::uint64_t platform_service::call_count() const {
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
        send_response(*request, 503, "outage");
        return;
    }
    if (this->current_faults.outage == "hang") {
        this->leave_unanswered(request);
        return;
    }
    if (this->current_faults.delay == duration::zero()) {
        this->dispatch(request);
        return;
    }
    this->delay_timers.push_back(this->owner.after(this->current_faults.delay, [this, request] {
        if (!request->is_finished()) {
            this->dispatch(request);
        }
    }));
}

void platform_service::dispatch(const request_ptr& request) {
    const std::string_view path = request->path();
    if (path == "/kv-key") {
        this->handle_get(request);
    } else if (path == "/kv-range") {
        this->handle_range(request);
    } else if (path == "/kv-watch") {
        this->handle_watch(request);
    } else if (path == "/kv-txn") {
        this->handle_transaction(request);
    } else if (path == "/kv-lease") {
        this->handle_lease(request);
    } else if (path.starts_with(lease_renewal_prefix)) {
        this->handle_lease_renewal(request, parse_number(path.substr(lease_renewal_prefix.size())));
    } else if (path.starts_with(lease_end_prefix)) {
        ++this->counts["write"];
        this->store.revoke_lease(parse_number(path.substr(lease_end_prefix.size())),
                                 boot_clock::now());
        this->notify_watches();
        send_json(*request, 200, json::object());
    } else if (path == "/v1/instances") {
        ++this->counts["list"];
        send_json(*request, 200, this->visible_instances);
    } else {
        send_response(*request, 404, "no such call");
    }
}

void platform_service::handle_get(const request_ptr& request) {
    ++this->counts["read"];
    const std::string key = request->query_value("key");
    const stored_value* stored = this->store.find(key);
    if (stored == nullptr) {
        send_json(*request, 404, json{{"store-revision", this->store.revision()}});
        return;
    }
    json body = item_json(key, *stored);
    body["store-revision"] = this->store.revision();
    send_json(*request, 200, body);
}

void platform_service::handle_range(const request_ptr& request) {
    ++this->counts["read"];
    const std::string prefix = request->query_value("prefix");
    const std::string after = request->query_value("after");
    json items = json::array();
    bool has_more = false;
    for (const auto& [key, value] : this->store.values_by_key()) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (items.size() == max_page_items) {
            has_more = true;
            break;
        }
        items.push_back(item_json(key, value));
    }
    send_json(
        *request, 200,
        json{{"items", items}, {"has-more", has_more}, {"store-revision", this->store.revision()}});
}

bool platform_service::respond_to_watch(const request_ptr& request, const std::string& prefix,
                                        std::uint64_t after) {
    const auto changes = this->store.changes_after(prefix, after);
    if (!changes) {
        send_response(*request, 410, "history is gone");
        return true;
    }
    if (changes->empty()) {
        return false;
    }
    json events = json::array();
    for (const stored_change& change : *changes) {
        events.push_back(event_json(change));
    }
    send_json(*request, 200, json{{"events", events}, {"store-revision", this->store.revision()}});
    return true;
}

void platform_service::handle_watch(const request_ptr& request) {
    ++this->counts["watch"];
    const std::string prefix = request->query_value("prefix");
    const std::uint64_t after = parse_number(request->query_value("after"));
    if (this->current_faults.lose_watches) {
        this->leave_unanswered(request);
        return;
    }
    if (!this->current_faults.silence_watches && this->respond_to_watch(request, prefix, after)) {
        return;
    }
    this->watches.push_back({request, prefix, after, timer()});
    const auto position = std::prev(this->watches.end());
    const milliseconds wait(parse_number(request->query_value("wait-ms")));
    position->timeout = this->owner.after(wait, [this, position] {
        const request_ptr waiting = position->request;
        this->watches.erase(position);
        send_json(*waiting, 200,
                  json{{"events", json::array()}, {"store-revision", this->store.revision()}});
    });
    request->on_caller_disconnect([this, position] { this->watches.erase(position); });
}

void platform_service::leave_unanswered(const request_ptr& request) {
    // The handler of a waiting watch refers to its entry in the list of watches.
    request->on_caller_disconnect([] {});
    this->unanswered.push_back(request);
}

void platform_service::lose_pending_watches() {
    for (const pending_watch& watch : this->watches) {
        this->leave_unanswered(watch.request);
    }
    this->watches.clear();
}

void platform_service::notify_watches() {
    if (this->current_faults.silence_watches) {
        return;
    }
    if (this->current_faults.lose_watches) {
        this->lose_pending_watches();
        return;
    }
    for (auto position = this->watches.begin(); position != this->watches.end();) {
        const auto changes = this->store.changes_after(position->prefix, position->after);
        if (changes && changes->empty()) {
            ++position;
            continue;
        }
        const pending_watch watch{position->request, position->prefix, position->after, timer()};
        position = this->watches.erase(position);
        if (this->current_faults.outage == "none") {
            this->respond_to_watch(watch.request, watch.prefix, watch.after);
        } else {
            this->leave_unanswered(watch.request);
        }
    }
}

void platform_service::handle_transaction(const request_ptr& request) {
    ++this->counts["write"];
    const auto parsed = parse_transaction(json::parse(body_text(request->body()), nullptr, false));
    if (!parsed) {
        send_response(*request, 400, "the transaction cannot be read");
        return;
    }
    const auto problem = this->store.apply(*parsed, boot_clock::now());
    if (!problem) {
        this->notify_watches();
    }
    std::uniform_real_distribution<double> fraction(0, 1);
    if (fraction(this->random) < this->current_faults.lose_answers) {
        // Dropping the last reference closes the connection without a response.
        return;
    }
    if (!problem) {
        send_json(*request, 200, json{{"rev", this->store.revision()}});
    } else if (*problem == transaction_error::lease_unknown) {
        send_response(*request, 404, "no such lease");
    } else {
        json items = json::array();
        for (const auto& [key, revision] : parsed->expected) {
            if (const stored_value* stored = this->store.find(key); stored != nullptr) {
                items.push_back(item_json(key, *stored));
            }
        }
        send_json(*request, 412, json{{"items", items}});
    }
}

void platform_service::handle_lease(const request_ptr& request) {
    ++this->counts["write"];
    const json body = json::parse(body_text(request->body()), nullptr, false);
    const milliseconds ttl(body.is_object() ? body.value("ttl-ms", 0) : 0);
    const std::uint64_t lease = this->store.grant_lease(ttl, boot_clock::now());
    send_json(*request, 200, json{{"lease", lease}, {"ttl-ms", ttl.count()}});
}

void platform_service::handle_lease_renewal(const request_ptr& request, std::uint64_t lease) {
    ++this->counts["read"];
    const auto ttl = this->store.renew_lease(lease, boot_clock::now());
    if (!ttl) {
        send_response(*request, 404, "the lease has ended");
        return;
    }
    send_json(*request, 200, json{{"ttl-ms", to_milliseconds(*ttl)}});
}

void platform_service::handle_admin(const request_ptr& request) {
    if (request->path() == "/v1/admin/counts") {
        json totals = this->counts;
        totals["total"] = this->call_count();
        totals["waiting_watches"] = this->watches.size();
        send_json(*request, 200, totals);
        return;
    }
    const json body = json::parse(body_text(request->body()), nullptr, false);
    if (request->path() == "/v1/admin/faults" && body.is_object()) {
        this->current_faults.outage = body.value("outage", "none");
        this->current_faults.delay = milliseconds(body.value("slow_ms", 0));
        this->current_faults.lose_answers = body.value("lose_answers", 0.0);
        this->current_faults.lose_watches = body.value("lose_watches", false);
        if (body.value("drop_history", false)) {
            this->store.drop_history();
        }
        if (this->current_faults.outage == "none" && !this->current_faults.lose_watches) {
            this->unanswered.clear();
        }
        send_response(*request, 200, "");
    } else if (request->path() == "/v1/admin/instances" && body.is_array()) {
        this->delay_timers.push_back(
            this->owner.after(this->list_lag, [this, body] { this->visible_instances = body; }));
        send_response(*request, 200, "");
    } else {
        send_response(*request, 400, "no such call, or the body is not JSON of the right kind");
    }
}

} // namespace knapweedknot::standin
