#include "load_generator.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace knapweedknot::harness {

namespace {

constexpr duration refresh_retry = milliseconds(300);
constexpr int status_ok = 200;

} // namespace

load_generator::load_generator(loop& event_loop, load_options options, std::uint64_t seed)
    : owner(event_loop), settings(std::move(options)), random(seed) {}

void load_generator::start() {
    this->stopped = false;
    this->next_send_at = boot_clock::now();
    if (this->settings.use_discovery) {
        this->refresh_addresses();
    } else {
        this->addresses = this->settings.instances;
    }
    this->schedule_next();
}

void load_generator::stop() {
    this->stopped = true;
    this->send_timer = timer();
    this->refresh_timer = timer();
}

http_pool& load_generator::pool_of(const endpoint& address) {
    std::unique_ptr<http_pool>& pool = this->pools[address];
    if (pool == nullptr) {
        pool = std::make_unique<http_pool>(this->owner, address, http_client_limits{});
    }
    return *pool;
}

void load_generator::refresh_addresses() {
    std::uniform_int_distribution<std::size_t> index(0, this->settings.instances.size() - 1);
    const endpoint instance = this->settings.instances[index(this->random)];
    http_request request;
    request.uri = "/v1/addresses";
    request.headers = {{"Host", "fleet"}, {"Authorization", "Bearer " + this->settings.key}};
    this->pool_of(instance).send(request, seconds(1), [this](http_outcome outcome) {
        duration refresh_after = refresh_retry;
        if (outcome && outcome->status == status_ok) {
            const auto body = nlohmann::json::parse(body_text(outcome->body.get()), nullptr, false);
            this->addresses.clear();
            for (const nlohmann::json& item : body.at("addresses")) {
                this->addresses.push_back(*parse_endpoint(item.at("address").get<std::string>()));
            }
            refresh_after = milliseconds(body.at("keep_ms").get<int>());
        }
        if (!this->stopped) {
            this->refresh_timer =
                this->owner.after(refresh_after, [this] { this->refresh_addresses(); });
        }
    });
}

void load_generator::schedule_next() {
    if (this->stopped) {
        return;
    }
    this->next_send_at += from_seconds(
        std::exponential_distribution<double>(this->settings.rate_per_s)(this->random));
    const duration wait =
        std::max<duration>(this->next_send_at - boot_clock::now(), duration::zero());
    this->send_timer = this->owner.after(wait, [this] {
        this->send();
        this->schedule_next();
    });
}

/// The first address that the fleet returned; without addresses, the instances in turn.
endpoint load_generator::next_address() {
    if (this->settings.use_discovery && !this->addresses.empty()) {
        return this->addresses.front();
    }
    return this->settings.instances[this->next_instance++ % this->settings.instances.size()];
}

void load_generator::send() {
    const endpoint address = this->next_address();
    http_request request;
    request.method = this->settings.method;
    request.uri = this->settings.path;
    request.headers = {{"Host", "fleet"}, {"Authorization", "Bearer " + this->settings.key}};
    const time_point sent = boot_clock::now();
    ++this->in_flight;
    this->pool_of(address).send(
        request, this->settings.timeout, [this, sent, address](http_outcome outcome) {
            --this->in_flight;
            request_record record{sent, boot_clock::now() - sent, 0, ""};
            if (outcome) {
                record.status = outcome->status;
                const std::string* kind = find_header(outcome->headers, "Knapweedknot-Error");
                record.error = kind == nullptr ? "" : *kind;
            } else {
                record.error = "no_answer: " + outcome.error().problem.detail;
                // The instance may be down: use the other addresses until the next refresh.
                std::erase(this->addresses, address);
            }
            this->completed.push_back(std::move(record));
        });
}

double quantile(std::vector<double> values, double p) {
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::min<double>(
        std::ceil(p * static_cast<double>(values.size())), static_cast<double>(values.size())));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank == 0 ? 0 : rank - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace knapweedknot::harness
