#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

#include "relay_fixture.h"

using namespace knapweedknot;
using namespace knapweedknot::relay_fixture;

namespace {

/// An instance that reads the store, and others that ask it. All have settled.
struct relayed_fixture : store_fixture {
    std::unique_ptr<relaying_instance> root;
    std::vector<std::unique_ptr<relaying_instance>> leaves;

    explicit relayed_fixture(std::size_t leaf_count = 1)
        : root(std::make_unique<relaying_instance>(this->events, 1)) {
        this->write("op/config", policy_text("00000002", "/a/"));
        this->write("servers/i-1", target_text("127.0.0.1:9000", "ready"));
        this->write("servers/i-2", target_text("127.0.0.1:9001", "ready"));
        this->root->start();
        for (std::size_t number = 0; number < leaf_count; ++number) {
            this->leaves.push_back(std::make_unique<relaying_instance>(this->events, 2 + number));
            this->leaves.back()->relays = {incarnation_id{1}};
            this->leaves.back()->network.add_address(describe(1).peers_address, true);
            this->leaves.back()->start();
        }
        this->run_for(settling_time);
    }
    relaying_instance& leaf() { return *this->leaves.front(); }
    std::uint64_t leaf_calls() {
        std::uint64_t sum = 0;
        for (const auto& one : this->leaves) {
            sum += one->store.calls();
        }
        return sum;
    }
};

} // namespace

// Guards against store calls that grow with the fleet: each instance watched and read the store on
// its own.
BOOST_AUTO_TEST_CASE(only_the_relay_calls_the_store) {
    relayed_fixture fleet(3);
    const std::uint64_t before = fleet.leaf_calls();
    fleet.write("op/config", policy_text("00000007", "/b/"));
    fleet.write("servers/i-1", target_text("127.0.0.1:9000", "draining"));
    fleet.remove("servers/i-1");
    fleet.write("servers/i-3", target_text("127.0.0.1:9002", "ready"));
    for (const auto& leaf : fleet.leaves) {
        BOOST_TEST(fleet.run_until([&] { return leaf->policy_number() == 7; }));
        BOOST_TEST(fleet.run_until([&] {
            const auto& targets = leaf->directory.targets_of(service);
            return targets.contains(target_id{"i-3"}) && !targets.contains(target_id{"i-1"});
        }));
        BOOST_TEST(leaf->policy.is_fresh(boot_clock::now()));
    }
    BOOST_TEST(fleet.leaf_calls() == before);
}

// Guards against a withdrawn key that outlives its bound (CONFIG): a relayed confirmation must not
// be younger than the read of the store behind it.
BOOST_AUTO_TEST_CASE(a_relayed_confirmation_ages_with_the_read_behind_it) {
    relayed_fixture fleet;
    fleet.set_faults({{"outage", "hang"}});
    const time_point end = boot_clock::now() + seconds(2);
    while (boot_clock::now() < end) {
        fleet.run_for(milliseconds(20));
        const time_point now = boot_clock::now();
        BOOST_REQUIRE((*fleet.leaf().policy.confirmation_age(now) >=
                       *fleet.root->policy.confirmation_age(now)));
        BOOST_REQUIRE(
            (*fleet.leaf().directory.confirmed_at() <= *fleet.root->directory.confirmed_at()));
    }
    BOOST_TEST(!fleet.leaf().policy.is_fresh(boot_clock::now()));
}

// Guards against a fleet that stands still without its relay: the store is read instead.
BOOST_AUTO_TEST_CASE(a_lost_relay_is_replaced_by_the_store) {
    relayed_fixture fleet;
    fleet.root.reset();
    fleet.write("op/config", policy_text("00000007", "/b/"));
    fleet.write("servers/i-3", target_text("127.0.0.1:9002", "ready"));
    constexpr duration policy_bound = seconds(2);
    const auto is_up_to_date = [&] {
        return fleet.leaf().policy_number() == 7 && fleet.leaf().target_count() == 3;
    };
    BOOST_TEST(fleet.run_until(is_up_to_date, policy_bound));
}

// Guards against a domain whose instances all turn to the store: the instance that they ask has
// lost its own relay, reads the store instead and has to answer them from that.
BOOST_AUTO_TEST_CASE(a_domain_relay_without_the_root_answers_from_its_own_reads) {
    relayed_fixture fleet(2);
    relaying_instance& domain_relay = *fleet.leaves.front();
    relaying_instance& other = *fleet.leaves.back();
    domain_relay.is_domain_relay = true;
    other.relays = {domain_relay.network.self().incarnation};
    other.network.add_address(domain_relay.network.self().peers_address, true);
    fleet.run_for(settling_time);
    const std::uint64_t before = other.store.calls();
    fleet.root.reset();
    fleet.run_for(seconds(3));
    fleet.write("op/config", policy_text("00000007", "/b/"));
    fleet.write("servers/i-3", target_text("127.0.0.1:9002", "ready"));
    const auto is_up_to_date = [&] {
        return other.policy_number() == 7 && other.target_count() == 3;
    };
    BOOST_TEST(fleet.run_until(is_up_to_date, drain_bound));
    BOOST_TEST(other.store.calls() == before);
}

// Guards against a change that is not in force in time (CONFIG, DRAIN): the store turns the relay
// away without a sign and serves the others.
BOOST_AUTO_TEST_CASE(a_relay_that_the_store_turns_away_is_not_relied_on) {
    relayed_fixture fleet;
    fleet.root->policy.set_relay([](const auto&) {}); // Its reads are never answered.
    fleet.run_for(milliseconds(300));
    fleet.write("op/config", policy_text("00000007", "/b/"));
    fleet.write("servers/i-1", target_text("127.0.0.1:9000", "draining"));
    const auto is_up_to_date = [&] {
        return fleet.leaf().policy_number() == 7 &&
               fleet.leaf().directory.targets_of(service).at(target_id{"i-1"}).registration.state ==
                   target_state::draining;
    };
    BOOST_TEST(fleet.run_until(is_up_to_date, drain_bound));
}

// Guards against instances that wait for each other after an outage (CONFIG): each takes the other
// for the better relay, so neither is asked to read the store.
BOOST_AUTO_TEST_CASE(instances_that_ask_each_other_read_the_store_after_an_outage) {
    relayed_fixture fleet;
    fleet.root->relays = {fleet.leaf().network.self().incarnation};
    fleet.run_for(milliseconds(300));
    fleet.service.faults().outage = "hang";
    fleet.run_for(seconds(2));
    fleet.service.faults().outage = "none";
    fleet.run_for(seconds(1));
    fleet.write("op/config", policy_text("00000007", "/b/"));
    fleet.write("servers/i-1", target_text("127.0.0.1:9000", "draining"));
    const auto is_up_to_date = [](const relaying_instance& instance) {
        return instance.policy_number() == 7 &&
               instance.directory.targets_of(service).at(target_id{"i-1"}).registration.state ==
                   target_state::draining;
    };
    BOOST_TEST(fleet.run_until(
        [&] { return is_up_to_date(*fleet.root) && is_up_to_date(fleet.leaf()); }, drain_bound));
}

// Guards against requests to a target that is leaving (DRAIN): watches of the store deliver nothing
// for a while, and say nothing of it. The relay must go by reads.
BOOST_AUTO_TEST_CASE(a_relay_whose_watch_delivers_nothing_learns_of_changes) {
    relayed_fixture fleet;
    fleet.service.faults().lose_watches = true;
    fleet.write("servers/i-1", target_text("127.0.0.1:9000", "draining"));
    const auto is_draining = [&] {
        return fleet.leaf().directory.targets_of(service).at(target_id{"i-1"}).registration.state ==
               target_state::draining;
    };
    BOOST_TEST(fleet.run_until(is_draining, drain_bound));
}

// Guards against requests to a target that was removed longer ago than the drain bound (DRAIN): the
// grace period of an instance that hears of a removal from a relay counts from the removal.
BOOST_AUTO_TEST_CASE(a_relayed_removal_keeps_the_drain_bound) {
    relayed_fixture fleet;
    fleet.remove("servers/i-1");
    BOOST_TEST(fleet.run_until([&] { return fleet.leaf().target_count() == 1; }, drain_bound));
}

// Guards against a target that has left and is used again: a relay that lags, or that has just
// started, still lists it.
BOOST_AUTO_TEST_CASE(an_older_reply_does_not_bring_a_target_back) {
    relayed_fixture fleet;
    fleet.root.reset();
    target_directory& directory = fleet.leaf().directory;
    const time_point now = boot_clock::now();
    const std::string text = target_text("127.0.0.1:9000", "ready");
    const std::uint64_t known = directory.known_revision();
    const registration_change present{{"servers/i-1", {text, known}, known}, now};
    const registration_change removed{{"servers/i-1", {}, known + 2}, now - drain_bound};
    const auto is_known = [&] { return directory.targets_of(service).contains(target_id{"i-1"}); };
    directory.apply_relayed({known + 2, now, false, {removed}});
    BOOST_REQUIRE(fleet.run_until([&] { return !is_known(); }));
    directory.apply_relayed({known + 1, now, true, {present}});
    BOOST_TEST(!is_known());
    directory.apply_relayed({known + 3, now, false, {present}});
    BOOST_TEST(!is_known());
}

// Guards against a policy that is confirmed although its newer document is missing.
BOOST_AUTO_TEST_CASE(a_reply_without_the_newer_document_confirms_nothing) {
    relayed_fixture fleet;
    fleet.root->relay.handle(describe(9), wire::store_replyT{}); // Unasked: ignored.
    fleet.set_faults({{"outage", "refuse"}});
    const time_point since = boot_clock::now();
    wire::store_replyT reply;
    reply.answered = true;
    reply.policy_revision = 1'000'000;
    for (reply.id = 1; reply.id < 1000; ++reply.id) {
        fleet.leaf().relay.handle(describe(1), reply);
    }
    BOOST_TEST(
        (*fleet.leaf().policy.confirmation_age(boot_clock::now()) >= boot_clock::now() - since));
}
