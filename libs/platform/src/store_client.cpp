#include "platform/store_client.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace knapweedknot {

namespace {

constexpr duration call_timeout = milliseconds(1500);
constexpr duration watch_grace = milliseconds(2000);
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

std::uint64_t revision_of(const http_answer& answer) {
    std::uint64_t revision = 0;
    if (const std::string* text = find_header(answer.headers, "X-Revision"); text != nullptr) {
        std::from_chars(text->data(), text->data() + text->size(), revision);
    }
    return revision;
}

tl::unexpected<error> unavailable(const http_outcome& outcome) {
    const std::string detail = outcome ? "the store answered " + std::to_string(outcome->status)
                                       : outcome.error().problem.detail;
    return fail(error_kind::store_unavailable, detail);
}

/// Failure of a write, which may have taken effect unless it was never sent or was refused.
tl::unexpected<error> write_failure(const http_outcome& outcome) {
    if (!outcome && outcome.error().progress == send_progress::may_be_sent) {
        return fail(error_kind::outcome_unknown, outcome.error().problem.detail);
    }
    return unavailable(outcome);
}

result<swap_outcome> to_swap_outcome(const http_outcome& outcome) {
    if (outcome && outcome->status == status_ok) {
        return swap_outcome{true, revision_of(*outcome)};
    }
    if (outcome && outcome->status == status_conflict) {
        return swap_outcome{};
    }
    return write_failure(outcome);
}

result<store_value> to_value(http_outcome& outcome) {
    if (outcome && outcome->status == status_ok) {
        return store_value{body_text(outcome->body.get()), revision_of(*outcome)};
    }
    if (outcome && outcome->status == status_not_found) {
        return store_value{};
    }
    return unavailable(outcome);
}

result<std::vector<listed_instance>> to_list(http_outcome& outcome) {
    if (!outcome || outcome->status != status_ok) {
        return unavailable(outcome);
    }
    std::vector<listed_instance> list;
    const nlohmann::json items =
        nlohmann::json::parse(body_text(outcome->body.get()), nullptr, false);
    for (const nlohmann::json& item : items) {
        const auto address = parse_endpoint(item.value("address", ""));
        if (address) {
            list.push_back({*address, item.value("state", "live") == "leaving"});
        }
    }
    return list;
}

std::string key_uri(const std::string& key) {
    return "/v1/kv/" + key;
}

} // namespace

store_client::store_client(loop& owner, const endpoint& platform)
    : pool(owner, platform, http_client_limits{}) {}

void store_client::send(const http_request& request, duration timeout,
                        http_connection::handler done) {
    ++this->sent;
    this->pool.send(request, timeout, std::move(done));
}

void store_client::get(const std::string& key, handler<store_value> done) {
    http_request request;
    request.uri = key_uri(key);
    this->send(request, call_timeout,
               [reply = std::move(done)](http_outcome outcome) { reply(to_value(outcome)); });
}

void store_client::watch(const std::string& key, std::uint64_t after, duration wait,
                         handler<std::optional<store_value>> done) {
    http_request request;
    request.uri = key_uri(key) + "?after=" + std::to_string(after) +
                  "&wait_ms=" + std::to_string(to_milliseconds(wait));
    this->send(request, wait + watch_grace, [reply = std::move(done)](http_outcome outcome) {
        if (outcome && outcome->status == status_not_modified) {
            reply(std::optional<store_value>());
            return;
        }
        auto value = to_value(outcome);
        if (!value) {
            reply(tl::unexpected(value.error()));
            return;
        }
        reply(std::optional(std::move(*value)));
    });
}

void store_client::swap(const std::string& key, const std::string& data, std::uint64_t expected,
                        std::optional<store_lease> lease, handler<swap_outcome> done) {
    http_request request;
    request.method = "PUT";
    request.uri = key_uri(key) + "?expect=" + std::to_string(expected);
    if (lease) {
        request.uri += "&lease=" + std::to_string(lease->id);
    }
    request.body = make_body(data);
    this->send(request, call_timeout, [reply = std::move(done)](const http_outcome& outcome) {
        reply(to_swap_outcome(outcome));
    });
}

void store_client::erase(const std::string& key, std::uint64_t expected,
                         handler<swap_outcome> done) {
    http_request request;
    request.method = "DELETE";
    request.uri = key_uri(key) + "?expect=" + std::to_string(expected);
    this->send(request, call_timeout, [reply = std::move(done)](const http_outcome& outcome) {
        reply(to_swap_outcome(outcome));
    });
}

void store_client::grant_lease(duration ttl, handler<store_lease> done) {
    this->change_lease("", ttl, std::move(done));
}

void store_client::renew_lease(store_lease lease, duration ttl, handler<store_lease> done) {
    this->change_lease("&renew=" + std::to_string(lease.id), ttl, std::move(done));
}

void store_client::change_lease(const std::string& query, duration ttl, handler<store_lease> done) {
    http_request request;
    request.method = "POST";
    request.uri = "/v1/leases?ttl_ms=" + std::to_string(to_milliseconds(ttl)) + query;
    this->send(request, call_timeout, [reply = std::move(done)](const http_outcome& outcome) {
        if (outcome && outcome->status == status_not_found) {
            reply(fail(error_kind::not_found, "the lease has ended"));
            return;
        }
        if (!outcome || outcome->status != status_ok) {
            reply(write_failure(outcome));
            return;
        }
        const nlohmann::json body =
            nlohmann::json::parse(body_text(outcome->body.get()), nullptr, false);
        reply(store_lease{body.value("lease", std::uint64_t{0})});
    });
}

void store_client::list_instances(handler<std::vector<listed_instance>> done) {
    http_request request;
    request.uri = "/v1/instances";
    this->send(request, call_timeout,
               [reply = std::move(done)](http_outcome outcome) { reply(to_list(outcome)); });
}

} // namespace knapweedknot
