#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

#include "decide/latency_model.h"
#include "decide/target_rotation.h"

using namespace knapweedknot;

namespace {

const time_point start{std::chrono::hours(1)};
const rotation_policy policy;

/// Targets of one service at one instance.
struct service_fixture {
    std::vector<target_evidence> evidence;
    std::vector<target_candidate> candidates;
    std::minstd_rand random{7};

    explicit service_fixture(std::size_t count) : evidence(count), candidates(count) {
        for (std::size_t i = 0; i < count; ++i) {
            this->evidence[i].last_success = start;
            this->evidence[i].last_used = start;
            this->candidates[i].evidence = &this->evidence[i];
            this->candidates[i].slots = 6;
        }
    }
    std::optional<std::size_t> choose(loss if_lost, time_point now = start) {
        return choose_target(this->candidates, policy, if_lost, this->random, now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_silent_target_is_avoided_before_it_is_taken_out) {
    service_fixture service(4);
    service.candidates[0].standing = {1, 2.5, 0};
    BOOST_TEST(risk_of(service.candidates[0], start) > risk_of(service.candidates[1], start));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(*service.choose(loss::final) != 0U);
    }
    BOOST_TEST(!judge(service.evidence[0], service.candidates[0].standing, policy, start));
}

BOOST_AUTO_TEST_CASE(ages_of_what_runs_take_a_target_out_without_any_answer) {
    latency_model model(milliseconds(2000));
    for (int i = 0; i < 200; ++i) {
        model.note(milliseconds(300 + i % 200));
    }
    target_evidence target;
    const auto silence_after = [&](duration age) { return -std::log(model.survival(age)); };
    const target_standing usual{3, 3 * silence_after(milliseconds(350)), 0};
    BOOST_TEST(!judge(target, usual, policy, start));
    const target_standing silent{2, 2 * silence_after(milliseconds(1200)), 0};
    BOOST_TEST(judge(target, silent, policy, start));
    BOOST_TEST((target.out_until == start + policy.time_out));
    BOOST_TEST(target.on_trial);
}

BOOST_AUTO_TEST_CASE(a_time_out_grows_with_repeats_and_is_forgotten_after_good_conduct) {
    target_evidence target;
    const target_standing failing{0, 0, 10};
    BOOST_TEST(judge(target, failing, policy, start));
    BOOST_TEST(!judge(target, failing, policy, start + milliseconds(100)));
    const time_point again = target.out_until;
    BOOST_TEST(judge(target, failing, policy, again));
    BOOST_TEST((target.out_until - again == policy.longest_time_out));
    const time_point much_later = target.last_out + policy.good_conduct + seconds(1);
    BOOST_TEST(judge(target, failing, policy, much_later));
    BOOST_TEST((target.out_until - much_later == policy.time_out));
}

BOOST_AUTO_TEST_CASE(the_floor_brings_back_the_least_doubtful) {
    service_fixture service(10);
    for (std::size_t i = 0; i < 6; ++i) {
        service.evidence[i].out_until = start + seconds(1);
        service.candidates[i].standing.failures = static_cast<double>(10 - i);
    }
    const auto rotation = in_rotation(service.candidates, policy, start);
    BOOST_TEST(rotation.size() == 7U);
    const std::set<std::size_t> in(rotation.begin(), rotation.end());
    BOOST_TEST(in.contains(5));
    BOOST_TEST(!in.contains(0));
    service.candidates[9].registered = false;
    BOOST_TEST(in_rotation(service.candidates, policy, start).size() == 7U);
}

BOOST_AUTO_TEST_CASE(a_target_on_trial_gets_one_request_at_a_time) {
    service_fixture service(1);
    service.evidence[0].on_trial = true;
    BOOST_TEST(service.choose(loss::repeatable).has_value());
    service.candidates[0].standing.running = 1;
    BOOST_TEST(!service.choose(loss::repeatable).has_value());
    note_success(service.evidence[0], policy, start);
    BOOST_TEST(service.choose(loss::repeatable).has_value());
}

// Pattern: little traffic, and preferences for some targets. Every target has to be used within
// two seconds all the same, or the service would in effect run below its floor.
BOOST_AUTO_TEST_CASE(little_traffic_reaches_every_target) {
    service_fixture service(6);
    service.candidates[0].nearby = true;
    service.candidates[0].connected = true;
    service.candidates[1].connected = true;
    time_point now = start;
    std::set<std::size_t> used;
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) {
        now += milliseconds(100);
        const std::size_t chosen = *service.choose(loss::repeatable, now);
        service.evidence[chosen].last_used = now;
        service.evidence[chosen].last_success = now;
        used.insert(chosen);
    }
    BOOST_TEST(used.size() == 6U);
}

// Pattern: a target that was silent for a while has recovered, and the others have room for all the
// traffic. It has to be tried soon all the same: it counts for the floor.
BOOST_AUTO_TEST_CASE(a_target_whose_time_out_has_ended_is_tried_although_others_have_room) {
    service_fixture service(4);
    const time_point now = start + policy.time_out;
    for (std::size_t i = 1; i < 4; ++i) {
        service.evidence[i].last_used = now;
        service.evidence[i].last_success = now;
        service.candidates[i].connected = true;
    }
    service.evidence[0].on_trial = true;
    service.evidence[0].out_until = now;
    BOOST_TEST(*service.choose(loss::final, now) == 0U);
    BOOST_TEST(*service.choose(loss::repeatable, now) == 0U);
}

BOOST_AUTO_TEST_CASE(the_latency_model_learns_and_never_excludes_an_answer) {
    latency_model model(milliseconds(4000));
    for (int i = 0; i < 500; ++i) {
        model.note(milliseconds(100));
    }
    BOOST_TEST((model.quantile(0.5) < milliseconds(130)));
    BOOST_TEST(model.survival(milliseconds(10)) > 0.95);
    BOOST_TEST(model.survival(milliseconds(400)) < 0.05);
    BOOST_TEST(model.survival(seconds(100)) > 0);
}
