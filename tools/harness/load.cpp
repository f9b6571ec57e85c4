#include "load.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace knapweedknot::harness {

namespace {

constexpr duration refresh_retry = milliseconds(300);
constexpr int status_ok = 200;

} // namespace

caller::caller(loop& event_loop, caller_options options, std::uint64_t seed)
    : owner(event_loop), given(std::move(options)), random(seed) {}

void caller::start() {
    this->stopped = false;
    this->next_at = boot_clock::now();
    if (this->given.use_addresses) {
        this->refresh_addresses();
    } else {
        this->addresses = this->given.instances;
    }
    this->plan_next();
}

void caller::stop() {
    this->stopped = true;
    this->next = timer();
    this->refresh = timer();
}

http_pool& caller::pool_of(const endpoint& address) {
    std::unique_ptr<http_pool>& pool = this->pools[address];
    if (pool == nullptr) {
        pool = std::make_unique<http_pool>(this->owner, address, http_client_limits{});
    }
    return *pool;
}

void caller::refresh_addresses() {
    std::uniform_int_distribution<std::size_t> any(0, this->given.instances.size() - 1);
    const endpoint asked = this->given.instances[any(this->random)];
    http_request request;
    request.uri = "/v1/addresses";
    request.headers = {{"Host", "fleet"}, {"Authorization", "Bearer " + this->given.key}};
    this->pool_of(asked).send(request, seconds(1), [this](http_outcome outcome) {
        duration again = refresh_retry;
        if (outcome && outcome->status == status_ok) {
            const auto body = nlohmann::json::parse(body_text(outcome->body.get()), nullptr, false);
            this->addresses.clear();
            for (const nlohmann::json& item : body.at("addresses")) {
                this->addresses.push_back(*parse_endpoint(item.at("address").get<std::string>()));
            }
            again = milliseconds(body.at("keep_ms").get<int>());
        }
        if (!this->stopped) {
            this->refresh = this->owner.after(again, [this] { this->refresh_addresses(); });
        }
    });
}

void caller::plan_next() {
    if (this->stopped) {
        return;
    }
    this->next_at +=
        from_seconds(std::exponential_distribution<double>(this->given.rate_per_s)(this->random));
    const duration wait = std::max<duration>(this->next_at - boot_clock::now(), duration::zero());
    this->next = this->owner.after(wait, [this] {
        this->send();
        this->plan_next();
    });
}

/// The first address that the fleet named; with none named, the instances in turn.
endpoint caller::next_address() {
    if (this->given.use_addresses && !this->addresses.empty()) {
        return this->addresses.front();
    }
    return this->given.instances[this->turn++ % this->given.instances.size()];
}

void caller::send() {
    const endpoint address = this->next_address();
    http_request request;
    request.method = this->given.method;
    request.uri = this->given.path;
    request.headers = {{"Host", "fleet"}, {"Authorization", "Bearer " + this->given.key}};
    const time_point sent = boot_clock::now();
    ++this->in_flight;
    this->pool_of(address).send(
        request, this->given.timeout, [this, sent, address](http_outcome outcome) {
            --this->in_flight;
            call_record record{sent, boot_clock::now() - sent, 0, ""};
            if (outcome) {
                record.status = outcome->status;
                const std::string* kind = find_header(outcome->headers, "Knapweedknot-Error");
                record.error = kind == nullptr ? "" : *kind;
            } else {
                record.error = "no_answer: " + outcome.error().problem.detail;
                // The instance may be gone: use the others until the next answer of addresses.
                std::erase(this->addresses, address);
            }
            this->done.push_back(std::move(record));
        });
}

double quantile(std::vector<double> values, double p) {
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::min<double>(
        std::ceil(p * static_cast<double>(values.size())), static_cast<double>(values.size())));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(rank == 0 ? 0 : rank - 1);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

} // namespace knapweedknot::harness
