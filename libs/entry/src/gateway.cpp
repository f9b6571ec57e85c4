#include "entry/gateway.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "decide/placement.h"
#include "entry/header_names.h"
#include "entry/responses.h"

namespace knapweedknot {

namespace {

constexpr std::string_view addresses_path = "/v1/addresses";
// Request rate of an account, per second, for which its callers get one address.
constexpr double rate_per_address = 2000;
constexpr std::size_t min_addresses = 2;

http_server_limits caller_limits(const instance_settings& settings) {
    http_server_limits limits;
    limits.max_header_bytes = settings.max_header_bytes;
    limits.max_body_bytes = settings.max_request_bytes;
    return limits;
}

} // namespace

gateway::gateway(loop& event_loop, const instance_settings& own_settings,
                 configuration& current_config, config_quorum& current_quorum,
                 admission_controller& rate_admission, heartbeat_service& peer_heartbeats,
                 instance_list_poller& instance_poller, mesh& peer_mesh)
    : owner(event_loop), settings(own_settings), config(current_config), quorum(current_quorum),
      admission(rate_admission), heartbeats(peer_heartbeats), instance_list(instance_poller),
      network(peer_mesh), executor(event_loop, peer_mesh.self().incarnation),
      collector(event_loop, peer_mesh, executor),
      caller_server(event_loop, caller_limits(own_settings),
                    [this](const auto& request) { this->handle(request); }) {}

result<void> gateway::listen() {
    return this->caller_server.listen(this->settings.callers_address);
}

dispatcher_options gateway::make_dispatcher_options() const {
    dispatcher_options options;
    options.max_instances = this->settings.max_instances;
    options.limits.max_header_bytes = this->settings.max_header_bytes;
    options.limits.max_body_bytes = this->settings.max_answer_bytes;
    options.source_ip = this->settings.callers_address.ip;
    options.is_leaving = [&list = this->instance_list](const endpoint& address) {
        return list.is_leaving(address);
    };
    return options;
}

void gateway::update_services() {
    for (const auto& [id, defined] : this->config.services()) {
        service_ptr& applied = this->applied_services[id];
        if (applied == defined) {
            continue;
        }
        applied = defined;
        std::unique_ptr<service_dispatcher>& dispatcher = this->service_dispatchers[id];
        if (dispatcher == nullptr) {
            dispatcher = std::make_unique<service_dispatcher>(this->owner, defined,
                                                              this->make_dispatcher_options());
        } else {
            dispatcher->update(defined);
        }
    }
    // The dispatcher of a removed service is kept, as it may still have running requests. It gets
    // no new requests.
    std::erase_if(this->applied_services, [this](const auto& item) {
        return this->config.find_service(item.first) == nullptr;
    });
}

void gateway::handle(const std::shared_ptr<incoming_request>& request) {
    auto context = std::make_shared<request_context>();
    context->incoming = request;
    context->arrived_at = boot_clock::now();
    if (request->path() == addresses_path) {
        this->handle_address_request(context);
        return;
    }
    if (const auto prepared = this->prepare(*context); !prepared) {
        this->refuse(*context, prepared.error());
        return;
    }
    const std::string key(request->header(idempotency_key_header));
    if (context->account != nullptr && !key.empty()) {
        this->run_idempotent(context, key);
        return;
    }
    constexpr bool cancel_with_caller = true;
    this->admit_and_dispatch(context, cancel_with_caller,
                             [this, context](result<service_response> outcome) {
                                 this->finish(context, std::move(outcome));
                             });
}

result<void> gateway::prepare(request_context& context) const {
    if (context.incoming->method().empty() || !context.incoming->uri().starts_with('/')) {
        return fail(error_kind::bad_request, "use a served method and an absolute path");
    }
    return read_api_key(context)
        .and_then([&] { return find_route(context, this->config); })
        .and_then([&] { return authenticate(context, this->config); })
        .and_then([&]() -> result<void> {
            if (context.account != nullptr && !this->quorum.is_fresh()) {
                return fail(error_kind::configuration_stale,
                            "this instance cannot tell whether the key still stands");
            }
            return {};
        })
        .and_then([&] { return refuse_exposed_key(context); })
        .and_then([&] { return set_deadline(context); });
}

void gateway::admit_and_dispatch(const context_ptr& context, bool cancel_with_caller,
                                 service_dispatcher::handler done) {
    const account_id account = context->account == nullptr ? account_id{} : context->account->id;
    // Built before the wait for admission, as the caller may disconnect during it.
    auto request = std::make_shared<service_request>(service_request{
        make_target_request(*context), account, context->deadline, context->idempotent});
    if (context->account == nullptr) {
        this->dispatch(context, std::move(*request), cancel_with_caller, std::move(done));
        return;
    }
    const auto is_wanted = [context, cancel_with_caller] {
        return !cancel_with_caller || !context->incoming->is_finished();
    };
    this->admission.admit(context->account, context->deadline, is_wanted,
                          [this, context, request, cancel_with_caller,
                           on_done = std::move(done)](const result<void>& outcome) {
                              if (!outcome) {
                                  on_done(tl::unexpected(outcome.error()));
                              } else {
                                  this->dispatch(context, std::move(*request), cancel_with_caller,
                                                 on_done);
                              }
                          });
}

void gateway::dispatch(const context_ptr& context, service_request&& request,
                       bool cancel_with_caller, service_dispatcher::handler done) {
    service_dispatcher& dispatcher = *this->service_dispatchers.at(context->service->id);
    auto id = std::make_shared<dispatch_id>();
    if (cancel_with_caller) {
        context->incoming->on_caller_disconnect([&dispatcher, id] { dispatcher.cancel(*id); });
    }
    *id = dispatcher.dispatch(std::move(request), std::move(done));
}

void gateway::run_idempotent(const context_ptr& context, const std::string& key) {
    const auto parsed = parse_idempotency_key(key);
    if (!parsed) {
        this->refuse(*context, {error_kind::idempotency_key_invalid,
                                "use a prefix from /v1/addresses, a dot, and a text of your own"});
        return;
    }
    if (!this->executor.is_issuer_of(*parsed)) {
        this->forward_to_issuer(context, parsed->issuer);
        return;
    }
    constexpr bool cancel_with_caller = false;
    this->executor.run(
        key, context->account->id, fingerprint_of(*context),
        [this, context](const service_dispatcher::handler& done) {
            this->admit_and_dispatch(context, cancel_with_caller, done);
        },
        [this, context](result<service_response> outcome) {
            this->finish(context, std::move(outcome));
        });
}

/// Only the issuer knows whether a request with the key has run before.
void gateway::forward_to_issuer(const context_ptr& context, incarnation_id issuer) {
    const auto found = this->heartbeats.peers().find(issuer);
    const bool was_passed_on = !context->incoming->header(passed_on_header).empty();
    if (found == this->heartbeats.peers().end() || !found->second.connected || was_passed_on) {
        this->refuse(*context, {error_kind::outcome_unknown,
                                "the instance that issued the prefix cannot be reached"});
        return;
    }
    const duration left = context->deadline - boot_clock::now();
    http_client_limits limits;
    limits.max_body_bytes = this->settings.max_answer_bytes;
    send_once(
        this->owner, found->second.info.callers_address, make_instance_request(*context, left),
        left, limits, [this, context](http_outcome outcome) {
            if (!outcome) {
                this->refuse(*context, {error_kind::outcome_unknown,
                                        "the instance that issued the prefix did not answer"});
                return;
            }
            const bool is_head = context->incoming->method() == "HEAD";
            context->incoming->respond(make_relayed_response(std::move(*outcome), is_head));
        });
}

void gateway::finish(const context_ptr& context, result<service_response> outcome) {
    incoming_request& incoming = *context->incoming;
    incoming.on_caller_disconnect(nullptr);
    if (!outcome) {
        this->refuse(*context, outcome.error());
        return;
    }
    const duration total = boot_clock::now() - context->arrived_at;
    this->metrics.record_request("answered", total, outcome->response_time);
    http_response answer =
        make_caller_response(std::move(outcome->message), incoming.method() == "HEAD");
    answer.headers.push_back({std::string(instance_header), this->settings.instance.value});
    answer.headers.push_back({std::string(target_header), outcome->target.value});
    incoming.respond(std::move(answer));
}

void gateway::refuse(const request_context& context, const error& problem) {
    const duration total = boot_clock::now() - context.arrived_at;
    this->metrics.record_request(answer_for(problem.kind).name, total, duration::zero());
    if (!context.incoming->is_finished()) {
        send_error_response(*context.incoming, problem, this->settings.instance);
    }
}

std::vector<peer_info> gateway::choose_instances(const client_account& account) const {
    const auto by_rate = static_cast<std::size_t>(std::ceil(account.rate_per_s / rate_per_address));
    std::vector<peer_info> ranked =
        this->heartbeats.ranked_instances(slot_of(account.id, slot_count));
    // The second address is in another failure domain if possible, so that the failure of one
    // domain leaves the caller an address.
    if (ranked.size() > 2) {
        const auto in_other_domain =
            std::find_if(ranked.begin() + 1, ranked.end(), [&ranked](const peer_info& peer) {
                return peer.failure_domain != ranked.front().failure_domain;
            });
        if (in_other_domain != ranked.end()) {
            std::rotate(ranked.begin() + 1, in_other_domain, in_other_domain + 1);
        }
    }
    ranked.resize(std::min(ranked.size(), std::max(min_addresses, by_rate)));
    return ranked;
}

void gateway::handle_address_request(const context_ptr& context) {
    const auto account = read_api_key(*context).and_then(
        [&] { return find_account(context->api_key, this->config); });
    if (!account) {
        this->refuse(*context, account.error());
        return;
    }
    const std::vector<peer_info> chosen = this->choose_instances(**account);
    std::vector<incarnation_id> issuers;
    issuers.reserve(chosen.size());
    for (const peer_info& peer : chosen) {
        issuers.push_back(peer.incarnation);
    }
    this->collector.collect(
        (*account)->id, issuers,
        [this, context, chosen](const prefix_collector::prefixes_by_issuer& prefixes) {
            this->send_addresses(context, chosen, prefixes);
        });
}

void gateway::send_addresses(const context_ptr& context, const std::vector<peer_info>& chosen,
                             const prefix_collector::prefixes_by_issuer& prefixes) {
    nlohmann::json addresses = nlohmann::json::array();
    for (const peer_info& peer : chosen) {
        nlohmann::json item = {{"address", to_string(peer.callers_address)},
                               {"instance", peer.instance.value},
                               {"failure_domain", peer.failure_domain.value}};
        if (const auto prefix = prefixes.find(peer.incarnation); prefix != prefixes.end()) {
            item["idempotency_prefix"] = prefix->second;
        }
        addresses.push_back(std::move(item));
    }
    if (!context->incoming->is_finished()) {
        send_json_response(*context->incoming, 200,
                           {{"addresses", addresses},
                            {"keep_ms", to_milliseconds(this->settings.address_lifetime)}});
    }
}

} // namespace knapweedknot
