#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/store_relay.h"
#include "store_fixture.h"

/// \file
/// Instances that read the store through each other, for tests.

namespace knapweedknot::relay_fixture {

inline constexpr std::uint16_t first_port = 18850;
inline constexpr duration drain_bound = seconds(2);
// Longer than an instance looks for a relay after its start.
inline constexpr duration settling_time = milliseconds(1600);
inline const service_id service{"s"};

inline peer_info describe(std::uint64_t number, const std::string& failure_domain = "domain") {
    peer_info info;
    info.instance.value = "n" + std::to_string(number);
    info.incarnation.value = number;
    info.failure_domain.value = failure_domain;
    info.peers_address = {"127.0.0.1", static_cast<std::uint16_t>(first_port + number)};
    info.peers_listen = info.peers_address;
    return info;
}

inline policy_follower_options follower_options() {
    policy_follower_options options;
    options.confirmation_lifetime = milliseconds(1500);
    return options;
}

inline target_directory_options directory_options() {
    target_directory_options options;
    options.vanished_grace = drain_bound * 3 / 4;
    options.batch_window = milliseconds(50);
    options.first_watch_delay = settling_time;
    return options;
}

inline store_relay_options relay_options() {
    store_relay_options options;
    options.serving_interval = milliseconds(100);
    options.idle_interval = milliseconds(150);
    options.max_policy_age = milliseconds(200);
    options.max_targets_age = milliseconds(200);
    options.max_unconfirmed_policy = milliseconds(600);
    options.max_unconfirmed_targets = milliseconds(600);
    return options;
}

/// What one instance knows of the store, with its mesh.
struct relaying_instance {
    store_client store;
    mesh network;
    policy_follower policy;
    target_directory directory;
    store_relay relay;
    /// Incarnations that this instance asks.
    std::vector<incarnation_id> relays;
    bool is_domain_relay{false};

    relaying_instance(loop& events, std::uint64_t number,
                      const std::string& failure_domain = "domain",
                      const store_relay_options& options = relay_options())
        : store(events, store_address),
          network(events, describe(number, failure_domain),
                  {[this](const peer_info& from, const wire::messageT& message) {
                       this->receive(from, message);
                   },
                   [](const auto&, const auto&) {}, [](const peer_info&) {},
                   [this](const peer_info& peer) { this->relay.peer_lost(peer.incarnation); }}),
          policy(events, this->store, std::string(platform::policy_key), &platform::decode_policy,
                 follower_options()),
          directory(events, this->store, std::string(platform::targets_prefix),
                    &platform::decode_target, directory_options()),
          relay({events, this->network, this->policy, this->directory}, options) {
        BOOST_REQUIRE(this->network.listen().has_value());
        this->relay.choose = [this] { return relay_choice{this->relays, this->is_domain_relay}; };
        this->relay.is_serving = [] { return true; };
    }

    void start() {
        this->relay.start();
        this->policy.start();
        this->directory.start();
    }
    void receive(const peer_info& from, const wire::messageT& message) {
        if (const auto* request = message.body.Asstore_request(); request != nullptr) {
            this->relay.handle(from, *request);
        } else if (const auto* reply = message.body.Asstore_reply(); reply != nullptr) {
            this->relay.handle(from, *reply);
        }
    }
    [[nodiscard]] std::uint64_t policy_number() const {
        return this->policy.current() == nullptr ? 0 : this->policy.current()->number().value;
    }
    [[nodiscard]] std::size_t target_count() const {
        return this->directory.targets_of(service).size();
    }
};

} // namespace knapweedknot::relay_fixture
