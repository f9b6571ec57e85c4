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
constexpr std::size_t page_items = 500;
constexpr std::string_view keep_prefix = "/kv-keep/";
constexpr std::string_view end_prefix = "/kv-lease-end/";

std::uint64_t number_of(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void reply(incoming_request& request, int status, std::string_view text) {
    http_response answer;
    answer.status = status;
    answer.body = make_body(text);
    request.respond(std::move(answer));
}

void reply_json(incoming_request& request, int status, const json& body) {
    reply(request, status, body.dump());
}

json item_of(const std::string& key, const stored_value& value) {
    return {{"key", key},
            {"value", encode_base64(value.data)},
            {"rev", value.revision},
            {"create-rev", value.created},
            {"lease", value.lease}};
}

json event_of(const stored_change& change) {
    if (change.value) {
        return item_of(change.key, *change.value);
    }
    return {{"key", change.key}, {"rev", change.revision}, {"tombstone", true}};
}

/// The transaction that \p body describes; nothing when it is malformed.
std::optional<transaction> parse_transaction(const json& body) {
    if (!body.is_object()) {
        return std::nullopt;
    }
    transaction wanted;
    try {
        for (const json& row : body.value("expected-rev", json::array())) {
            wanted.expected[row.at("key").get<std::string>()] = row.at("rev").get<std::uint64_t>();
        }
        for (const json& row : body.value("puts", json::array())) {
            const auto data = decode_base64(row.at("value").get<std::string>());
            if (!data) {
                return std::nullopt;
            }
            wanted.puts.push_back(
                {row.at("key").get<std::string>(), *data, row.value("lease", std::uint64_t{0})});
        }
        for (const json& key : body.value("remove", json::array())) {
            wanted.removed.push_back(key.get<std::string>());
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return wanted;
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
          if (this->state.expire(boot_clock::now())) {
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
        if (!request->is_finished()) {
            this->handle_platform_call(request);
        }
    }));
}

void platform_service::handle_platform_call(const request_ptr& request) {
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
    } else if (path.starts_with(keep_prefix)) {
        this->handle_keep(request, number_of(path.substr(keep_prefix.size())));
    } else if (path.starts_with(end_prefix)) {
        ++this->counts["write"];
        this->state.end_lease(number_of(path.substr(end_prefix.size())), boot_clock::now());
        this->notify_watches();
        reply_json(*request, 200, json::object());
    } else if (path == "/v1/instances") {
        ++this->counts["list"];
        reply_json(*request, 200, this->visible_instances);
    } else {
        reply(*request, 404, "no such call");
    }
}

void platform_service::handle_get(const request_ptr& request) {
    ++this->counts["read"];
    const std::string key = request->query_value("key");
    const stored_value* present = this->state.find(key);
    if (present == nullptr) {
        reply_json(*request, 404, json{{"store-revision", this->state.revision()}});
        return;
    }
    json body = item_of(key, *present);
    body["store-revision"] = this->state.revision();
    reply_json(*request, 200, body);
}

void platform_service::handle_range(const request_ptr& request) {
    ++this->counts["read"];
    const std::string prefix = request->query_value("prefix");
    const std::string after = request->query_value("after");
    json items = json::array();
    bool has_more = false;
    for (const auto& [key, value] : this->state.all()) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (items.size() == page_items) {
            has_more = true;
            break;
        }
        items.push_back(item_of(key, value));
    }
    reply_json(
        *request, 200,
        json{{"items", items}, {"has-more", has_more}, {"store-revision", this->state.revision()}});
}

bool platform_service::answer_watch(const request_ptr& request, const std::string& prefix,
                                    std::uint64_t after) {
    const auto changes = this->state.changes_after(prefix, after);
    if (!changes) {
        reply(*request, 410, "history is gone");
        return true;
    }
    if (changes->empty()) {
        return false;
    }
    json events = json::array();
    for (const stored_change& change : *changes) {
        events.push_back(event_of(change));
    }
    reply_json(*request, 200, json{{"events", events}, {"store-revision", this->state.revision()}});
    return true;
}

void platform_service::handle_watch(const request_ptr& request) {
    ++this->counts["watch"];
    const std::string prefix = request->query_value("prefix");
    const std::uint64_t after = number_of(request->query_value("after"));
    if (this->answer_watch(request, prefix, after)) {
        return;
    }
    this->watches.push_back({request, prefix, after, timer()});
    const auto place = std::prev(this->watches.end());
    const milliseconds wait(number_of(request->query_value("wait-ms")));
    place->limit = this->owner.after(wait, [this, place] {
        const request_ptr waiting = place->request;
        this->watches.erase(place);
        reply_json(*waiting, 200,
                   json{{"events", json::array()}, {"store-revision", this->state.revision()}});
    });
    request->on_caller_disconnect([this, place] { this->watches.erase(place); });
}

void platform_service::notify_watches() {
    for (auto place = this->watches.begin(); place != this->watches.end();) {
        const auto changes = this->state.changes_after(place->prefix, place->after);
        if (changes && changes->empty()) {
            ++place;
            continue;
        }
        const waiting_watch watch{place->request, place->prefix, place->after, timer()};
        place = this->watches.erase(place);
        if (this->current_faults.outage == "none") {
            this->answer_watch(watch.request, watch.prefix, watch.after);
        } else {
            this->hanging.push_back(watch.request);
        }
    }
}

void platform_service::handle_transaction(const request_ptr& request) {
    ++this->counts["write"];
    const auto wanted = parse_transaction(json::parse(body_text(request->body()), nullptr, false));
    if (!wanted) {
        reply(*request, 400, "the transaction cannot be read");
        return;
    }
    const auto refusal = this->state.apply(*wanted, boot_clock::now());
    if (!refusal) {
        this->notify_watches();
    }
    std::uniform_real_distribution<double> share(0, 1);
    if (share(this->random) < this->current_faults.lose_answers) {
        // Dropping the last reference closes the connection without an answer.
        return;
    }
    if (!refusal) {
        reply_json(*request, 200, json{{"rev", this->state.revision()}});
    } else if (*refusal == transaction_refusal::lease_unknown) {
        reply(*request, 404, "no such lease");
    } else {
        json items = json::array();
        for (const auto& [key, revision] : wanted->expected) {
            if (const stored_value* present = this->state.find(key); present != nullptr) {
                items.push_back(item_of(key, *present));
            }
        }
        reply_json(*request, 412, json{{"items", items}});
    }
}

void platform_service::handle_lease(const request_ptr& request) {
    ++this->counts["write"];
    const json body = json::parse(body_text(request->body()), nullptr, false);
    const milliseconds ttl(body.is_object() ? body.value("ttl-ms", 0) : 0);
    const std::uint64_t lease = this->state.grant_lease(ttl, boot_clock::now());
    reply_json(*request, 200, json{{"lease", lease}, {"ttl-ms", ttl.count()}});
}

void platform_service::handle_keep(const request_ptr& request, std::uint64_t lease) {
    ++this->counts["read"];
    const auto ttl = this->state.renew_lease(lease, boot_clock::now());
    if (!ttl) {
        reply(*request, 404, "the lease has ended");
        return;
    }
    reply_json(*request, 200, json{{"ttl-ms", to_milliseconds(*ttl)}});
}

void platform_service::handle_admin(const request_ptr& request) {
    if (request->path() == "/v1/admin/counts") {
        json counted = this->counts;
        counted["total"] = this->calls();
        counted["waiting_watches"] = this->watches.size();
        reply_json(*request, 200, counted);
        return;
    }
    const json body = json::parse(body_text(request->body()), nullptr, false);
    if (request->path() == "/v1/admin/faults" && body.is_object()) {
        this->current_faults.outage = body.value("outage", "none");
        this->current_faults.delay = milliseconds(body.value("slow_ms", 0));
        this->current_faults.lose_answers = body.value("lose_answers", 0.0);
        if (body.value("drop_history", false)) {
            this->state.drop_history();
        }
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
