#include "entry/operator_service.h"

#include <charconv>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "base/settings_reader.h"
#include "decide/placement.h"
#include "entry/responses.h"

namespace knapweedknot {

namespace {

constexpr std::size_t patch_id_bytes = 12;
constexpr int status_ok = 200;

result<std::uint64_t> parse_number(const std::string& text, std::string_view name) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    if (const auto [stop, code] = std::from_chars(text.data(), end, value);
        text.empty() || code != std::errc{} || stop != end) {
        return fail(error_kind::bad_request, std::string(name) + " must be a whole number");
    }
    return value;
}

/// Reads the patch in the request's body as a merge patch on \p document.
result<nlohmann::json> read_patch(const incoming_request& request, const nlohmann::json& document) {
    const std::string_view type = request.header("Content-Type");
    auto body = parse_json_with_comments(body_text(request.body()));
    if (!body) {
        return body;
    }
    if (type.starts_with("application/json-patch+json")) {
        return to_merge_patch(document, *body);
    }
    if (type.starts_with("application/merge-patch+json")) {
        return body;
    }
    return fail(error_kind::bad_request,
                "Content-Type must be application/merge-patch+json or application/json-patch+json");
}

nlohmann::json to_array(const std::vector<history_entry>& entries, std::uint64_t after) {
    nlohmann::json list = nlohmann::json::array();
    for (const history_entry& entry : entries) {
        if (entry.number.value > after) {
            nlohmann::json item = to_json(entry);
            item["hash"] = hash_of(entry);
            list.push_back(std::move(item));
        }
    }
    return list;
}

} // namespace

operator_service::operator_service(loop& owner, const operator_service_dependencies& common,
                                   std::function<void()> drain)
    : shared(common), start_drain(std::move(drain)),
      server(owner, http_server_limits{}, [this](const auto& request) { this->handle(request); }) {}

result<void> operator_service::listen() {
    return this->server.listen(this->shared.settings.operators_address);
}

result<std::string> operator_service::authenticate(const incoming_request& request) const {
    constexpr std::string_view bearer = "Bearer ";
    const std::string_view presented = request.header("Authorization");
    if (!presented.starts_with(bearer)) {
        return fail(error_kind::key_missing, "use Authorization: Bearer TOKEN");
    }
    const std::string hash = sha256_hex(presented.substr(bearer.size()));
    for (const auto& [name, expected] : this->shared.settings.operators) {
        if (equal_constant_time(hash, expected)) {
            return name;
        }
    }
    return fail(error_kind::key_unknown, "no operator has this token");
}

void operator_service::handle(const request_ptr& request) {
    if (request->path() == "/metrics") {
        this->answer_metrics(request);
        return;
    }
    const auto author = this->authenticate(*request);
    if (!author) {
        send_error_response(*request, author.error(), this->shared.settings.instance);
        return;
    }
    this->handle_authenticated(request, *author);
}

void operator_service::handle_authenticated(const request_ptr& request, const std::string& author) {
    const std::string_view path = request->path();
    const std::string_view method = request->method();
    if (path == "/v1/configuration" && method == "GET") {
        send_json_response(*request, status_ok,
                           {{"number", this->shared.config.number().value},
                            {"document", this->shared.config.document()}});
    } else if (path == "/v1/configuration" && method == "PATCH") {
        this->handle_patch(request, author);
    } else if (path == "/v1/history" && method == "GET") {
        this->handle_history(request);
    } else if (path == "/v1/status" && method == "GET") {
        this->answer_status(request);
    } else if (path == "/v1/drain" && method == "POST") {
        log_event(log_level::info, "drain_requested", {{"author", author}});
        send_json_response(*request, status_ok, {{"draining", true}});
        this->start_drain();
    } else {
        send_error_response(*request, {error_kind::not_found, "no such call"},
                            this->shared.settings.instance);
    }
}

void operator_service::handle_patch(const request_ptr& request, const std::string& author) {
    const auto base = parse_number(request->query_value("base"), "base");
    const auto patch = base.and_then([&](std::uint64_t /*unused*/) {
        return read_patch(*request, this->shared.config.document());
    });
    if (!patch) {
        send_error_response(*request, patch.error(), this->shared.settings.instance);
        return;
    }
    patch_submission submission;
    submission.base.value = *base;
    submission.author = author;
    submission.patch = *patch;
    submission.patch_id = request->query_value("patch_id");
    if (submission.patch_id.empty()) {
        submission.patch_id = random_hex(patch_id_bytes);
    }
    this->shared.committer.submit(
        std::move(submission), [this, request, base = config_number{*base}](const auto& outcome) {
            this->answer_patch(request, base, outcome);
        });
}

void operator_service::answer_patch(const request_ptr& request, config_number base,
                                    const result<accepted_patch>& outcome) {
    if (request->is_finished()) {
        return;
    }
    if (outcome) {
        send_json_response(
            *request, status_ok,
            {{"number", outcome->number.value}, {"in_force_everywhere", outcome->in_force}});
        return;
    }
    if (outcome.error().kind != error_kind::configuration_conflict) {
        send_error_response(*request, outcome.error(), this->shared.settings.instance);
        return;
    }
    send_json_response(*request, answer_for(error_kind::configuration_conflict).http_status,
                       {{"error", "configuration_conflict"},
                        {"detail", outcome.error().detail},
                        {"number", this->shared.config.number().value},
                        {"changes_since", this->changes_since(base)}});
}

nlohmann::json operator_service::changes_since(config_number base) const {
    return to_array(this->shared.follower.head().tail, base.value);
}

void operator_service::handle_history(const request_ptr& request) {
    const std::string text = request->query_value("after");
    const auto after = parse_number(text.empty() ? "0" : text, "after");
    if (!after) {
        send_error_response(*request, after.error(), this->shared.settings.instance);
        return;
    }
    const history_head& head = this->shared.follower.head();
    const bool needs_archive = *after < head.snapshot.number.value;
    this->collect_history(request, *after, needs_archive ? head.snapshot.archive_key : "",
                          head.tail);
}

void operator_service::collect_history(const request_ptr& request, std::uint64_t after,
                                       const std::string& archive_key,
                                       std::vector<history_entry> newer) {
    if (archive_key.empty()) {
        const std::string problem =
            newer.empty() ? "" : find_chain_problem(newer, newer.front().previous_hash);
        send_json_response(*request, status_ok,
                           {{"entries", to_array(newer, after)}, {"chain_problem", problem}});
        return;
    }
    this->shared.store.get(archive_key, [this, request, after,
                                         collected = std::move(newer)](const auto& value) {
        const auto archive =
            value.and_then([](const store_value& found) { return decode_archive(found.data); });
        if (request->is_finished()) {
            return;
        }
        if (!archive) {
            send_error_response(*request,
                                {error_kind::store_unavailable,
                                 "a part of the history cannot be read: " + archive.error().detail},
                                this->shared.settings.instance);
            return;
        }
        std::vector<history_entry> all = archive->entries;
        const bool is_complete = all.empty() || all.front().number.value <= after + 1;
        all.insert(all.end(), collected.begin(), collected.end());
        this->collect_history(request, after, is_complete ? "" : archive->previous_key,
                              std::move(all));
    });
}

nlohmann::json operator_service::describe_instances() const {
    nlohmann::json list = nlohmann::json::array();
    const peer_info& self = this->shared.network.self();
    const time_point now = boot_clock::now();
    list.push_back({{"instance", self.instance.value},
                    {"failure_domain", self.failure_domain.value},
                    {"callers_address", to_string(self.callers_address)},
                    {"number", this->shared.config.number().value},
                    {"held_seats", this->shared.heartbeats.own_voting_seats(now)},
                    {"lent_seats", this->shared.heartbeats.own_leasable_seats(now)},
                    {"connected", true},
                    {"self", true}});
    for (const auto& [incarnation, peer] : this->shared.heartbeats.peers()) {
        list.push_back({{"instance", peer.info.instance.value},
                        {"failure_domain", peer.info.failure_domain.value},
                        {"callers_address", to_string(peer.info.callers_address)},
                        {"number", peer.number.value},
                        {"held_seats", peer.held_seats},
                        {"lent_seats", peer.leased_seats},
                        {"connected", peer.connected},
                        {"leaving", peer.leaving},
                        {"heard_ms_ago", to_milliseconds(now - peer.last_heard)}});
    }
    return list;
}

nlohmann::json operator_service::describe_services() const {
    nlohmann::json services = nlohmann::json::object();
    for (const auto& [id, dispatcher] : this->shared.caller_gateway.dispatchers()) {
        nlohmann::json targets = nlohmann::json::object();
        for (const target_view& target : dispatcher->target_views()) {
            targets[target.id.value] = {
                {"in_flight", target.in_flight},   {"ejected", target.ejected},
                {"leaving", target.leaving},       {"reason", target.reason},
                {"latency_ms", target.latency_ms}, {"requests", target.requests},
                {"failures", target.failures}};
        }
        services[id.value] = {{"queued", dispatcher->queued()}, {"targets", targets}};
    }
    return services;
}

nlohmann::json operator_service::describe_accounts() const {
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto& [id, counts] : this->shared.admission.counts()) {
        const slot_id slot = slot_of(id, slot_count);
        accounts[id.value] = {{"admitted_here", counts.from_local_bucket},
                              {"admitted_by_grant", counts.by_grant},
                              {"refused_over_rate", counts.refused},
                              {"refused_without_broker", counts.timed_out},
                              {"slot", slot.value},
                              {"brokered_here", this->shared.heartbeats.is_broker_of(slot)}};
    }
    return accounts;
}

nlohmann::json operator_service::describe_seats() const {
    const seat_record& record = this->shared.seats.record();
    nlohmann::json slots = nlohmann::json::object();
    for (std::uint32_t i = 0; i < slot_count; ++i) {
        if (const int seats = this->shared.heartbeats.slot(slot_id{i}).leased_seats; seats > 0) {
            slots[std::to_string(i)] = seats;
        }
    }
    return {{"total", record.total_seats},
            {"free", free_seats(record)},
            {"on_loan_here_by_slot", slots}};
}

void operator_service::answer_status(const request_ptr& request) {
    send_json_response(*request, status_ok,
                       {{"instance", this->shared.settings.instance.value},
                        {"number", this->shared.config.number().value},
                        {"fresh", this->shared.quorum.is_fresh()},
                        {"instances", this->describe_instances()},
                        {"seats", this->describe_seats()},
                        {"services", this->describe_services()},
                        {"accounts", this->describe_accounts()},
                        {"store_calls", this->shared.store.calls()},
                        {"peer_bytes_sent", this->shared.network.traffic().sent},
                        {"peer_datagrams_sent", this->shared.network.datagrams_sent()}});
}

void operator_service::answer_metrics(const request_ptr& request) {
    gateway_metrics& metrics = this->shared.caller_gateway.request_metrics();
    metrics.set_gauge("configuration_number",
                      static_cast<double>(this->shared.config.number().value));
    metrics.set_gauge("configuration_fresh", this->shared.quorum.is_fresh() ? 1 : 0);
    metrics.set_gauge("seats_held", this->shared.heartbeats.own_voting_seats(boot_clock::now()));
    metrics.set_gauge("store_calls", static_cast<double>(this->shared.store.calls()));
    metrics.set_gauge("peer_bytes_sent", static_cast<double>(this->shared.network.traffic().sent));
    metrics.set_gauge("requests_running",
                      static_cast<double>(this->shared.caller_gateway.server().running_requests()));
    for (const auto& [id, dispatcher] : this->shared.caller_gateway.dispatchers()) {
        double ejected = 0;
        for (const target_view& target : dispatcher->target_views()) {
            ejected += target.ejected ? 1 : 0;
        }
        const std::string label = "{service=\"" + id.value + "\"}";
        metrics.set_gauge("targets_ejected" + label, ejected);
        metrics.set_gauge("requests_queued" + label, static_cast<double>(dispatcher->queued()));
    }
    send_text_response(*request, status_ok, metrics.to_text(), "text/plain; version=0.0.4");
}

} // namespace knapweedknot
