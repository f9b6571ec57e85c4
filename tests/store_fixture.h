#pragma once

#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "event/http_client.h"
#include "platform/store_client.h"
#include "platform/store_documents.h"
#include "platform_service.h"
#include "run_loop.h"

/// \file
/// A store stand-in inside the test process, and the documents that operators and targets write.

namespace knapweedknot {

inline const endpoint store_address{"127.0.0.1", 18975};
inline constexpr duration wait_limit = seconds(5);

/// An in-process store stand-in with two clients: `client` belongs to the code under test, `writer`
/// acts as the operator and the targets.
struct store_fixture {
    loop events;
    standin::platform_service service{events, duration::zero(), 1};
    store_client writer;
    store_client client;

    explicit store_fixture(const endpoint& address = store_address)
        : writer(this->events, address), client(this->events, address) {
        BOOST_REQUIRE(this->service.listen(address).has_value());
    }

    template <typename Condition>
    bool run_until(Condition condition, duration limit = wait_limit) {
        return harness::run_until(this->events, condition, limit);
    }
    void run_for(duration time) { harness::run_for(this->events, time); }
    void write(const std::string& key, const std::string& data) {
        bool written = false;
        this->writer.put(key, data, [&](const auto& outcome) { written = outcome.has_value(); });
        BOOST_REQUIRE(this->run_until([&] { return written; }));
    }
    void remove(const std::string& key) {
        std::optional<std::uint64_t> revision;
        this->writer.get(key, [&](const auto& value) { revision = value->revision; });
        BOOST_REQUIRE(this->run_until([&] { return revision.has_value(); }));
        bool done = false;
        this->writer.erase(key, *revision,
                           [&](const auto& outcome) { done = outcome.has_value(); });
        BOOST_REQUIRE(this->run_until([&] { return done; }));
    }
    void set_faults(const nlohmann::json& faults) {
        http_request request;
        request.method = "PUT";
        request.uri = "/v1/admin/faults";
        request.body = make_body(faults.dump());
        bool done = false;
        send_once(this->events, store_address, request, seconds(1), {},
                  [&](const auto& outcome) { done = outcome.has_value(); });
        BOOST_REQUIRE(this->run_until([&] { return done; }));
    }
};

inline std::string policy_text(const std::string& version, const std::string& prefix) {
    return R"({"version":")" + version + R"(","resources":[
        {"resource-kind":"routes","metadata":{"name":"r"},"spec":{"hostname":"h.example","prefix":")" +
           prefix + R"(","kind":"safe","timeout-ms":1000,"target-latency-ms":500,"priority":1,
           "service":"s","max-attempts":2}}]})";
}

inline std::string target_text(const std::string& address, const std::string& state) {
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","version":"v1","slots":4,"state":")" + state +
           R"(","warmup-left-ms":0,"sequence":1,"born":1700000000000})";
}

} // namespace knapweedknot
