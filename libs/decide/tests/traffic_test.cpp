#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <vector>

#include "decide/instance_choice.h"
#include "decide/shared_bucket.h"
#include "decide/weighted_round_robin.h"

using namespace knapweedknot;

namespace {

const time_point start{std::chrono::hours(1)};

instance_candidate candidate(const std::string& name, const std::string& domain, double rate = 0,
                             bool ready = true, duration uptime = seconds(60)) {
    instance_candidate made;
    made.instance.value = name;
    made.failure_domain.value = domain;
    made.ready = ready;
    made.uptime = uptime;
    made.request_rate = rate;
    return made;
}

/// Two strong instances and twenty weak ones; the first receives \p rate requests per second.
std::vector<instance_candidate> unequal_domain(double rate) {
    std::vector<instance_candidate> all;
    for (int i = 0; i < 22; ++i) {
        instance_candidate& added = all.emplace_back(candidate("i" + std::to_string(i), "a"));
        added.capacity = i % 11 == 0 ? 125 : 50;
    }
    all.front().request_rate = rate;
    return all;
}

/// Maximum number of \p times in any window of \p length.
std::size_t busiest_window(const std::vector<time_point>& times, duration length) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= length) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Times of admitted requests at several instances that report to each other with a delay.
std::vector<time_point> admit_on_instances(std::size_t instances, const rate_limit& limit,
                                           double requests_per_s, unsigned seed) {
    struct report {
        time_point arrives;
        std::size_t from;
    };
    const shared_bucket_times times;
    std::vector<shared_bucket> buckets(instances, make_shared_bucket(limit, start));
    std::deque<report> reports;
    std::vector<time_point> admitted;
    std::minstd_rand random(seed);
    std::uniform_int_distribution<std::size_t> draw(0, instances - 1);
    const auto step = from_seconds(1 / requests_per_s);
    for (time_point now = start; now < start + seconds(30); now += step) {
        while (!reports.empty() && reports.front().arrives <= now) {
            for (std::size_t i = 0; i < instances; ++i) {
                if (i != reports.front().from) {
                    subtract_peer_tokens(buckets[i], 1, times, now);
                }
            }
            reports.pop_front();
        }
        const std::size_t chosen = draw(random);
        advance(buckets[chosen], limit, 1, now);
        if (take_token(buckets[chosen], times)) {
            admitted.push_back(now);
            reports.push_back({now + times.report_delay, chosen});
        }
    }
    return admitted;
}

} // namespace

// Guards against an account that is admitted above its rate because it sends to several instances
// at once.
BOOST_AUTO_TEST_CASE(instances_admit_the_rate_of_a_shared_bucket_together) {
    const rate_limit limit{30, 30};
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const auto admitted = admit_on_instances(6, limit, 240, seed);
        constexpr double window_s = 5;
        const double bound = limit.rate_per_s * window_s + limit.burst;
        // Required for any 5 s: at most 10 % plus 20 requests above rate and burst.
        BOOST_TEST(busiest_window(admitted, from_seconds(window_s)) <= bound * 1.1 + 20);
        BOOST_TEST(admitted.size() >= 30 * limit.rate_per_s * 0.95);
    }
}

BOOST_AUTO_TEST_CASE(an_account_within_its_rate_is_never_refused) {
    const auto admitted = admit_on_instances(6, {30, 30}, 20, 3);
    BOOST_TEST(admitted.size() == 600U);
}

// Guards against an account being refused after a network partition between instances. Each
// instance grants its share of the rate during the partition, so tokens that the others took then
// must not count as debt afterwards.
BOOST_AUTO_TEST_CASE(shares_taken_during_a_partition_leave_no_debt) {
    const rate_limit limit{30, 30};
    const shared_bucket_times times;
    constexpr int instances = 3;
    std::vector<shared_bucket> buckets(instances, make_shared_bucket(limit, start));
    std::vector<double> admitted(instances, 0);
    for (shared_bucket& bucket : buckets) {
        bucket.tokens = 0;
    }
    time_point now = start;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(10);
        for (std::size_t i = 0; i < instances; ++i) {
            advance(buckets[i], limit, 1.0 / instances, now);
            admitted[i] += take_token(buckets[i], times) ? 1 : 0;
        }
    }
    const double together = admitted[0] + admitted[1] + admitted[2];
    BOOST_TEST(together <= 6 * limit.rate_per_s);
    BOOST_TEST(together >= 6 * limit.rate_per_s * 0.95);
    const double before = buckets[0].tokens;
    subtract_late_peer_tokens(buckets[0], admitted[1], times, now);
    subtract_late_peer_tokens(buckets[0], admitted[2], times, now);
    BOOST_TEST(buckets[0].tokens > before - 1);
    // No share was set aside for an instance whose reports kept arriving, so its tokens count.
    subtract_peer_tokens(buckets[0], 5, times, now);
    BOOST_TEST(buckets[0].tokens <= before - 5);
}

// Guards against a wait for a token that assumes the whole refill rate: during a partition, an
// instance gets only its own share of the refill.
BOOST_AUTO_TEST_CASE(a_wait_for_a_token_is_based_on_the_own_share_of_the_refill) {
    const shared_bucket_times times;
    shared_bucket bucket = make_shared_bucket({20, 20}, start);
    bucket.tokens = 0;
    advance(bucket, {20, 20}, 0.25, start);
    BOOST_TEST((time_to_token(bucket, times) == milliseconds(200)));
    BOOST_TEST(!reserve_token(bucket, times, milliseconds(150)).has_value());
    BOOST_TEST(reserve_token(bucket, times, milliseconds(200)).has_value());
}

// Guards against a debt that takes longer to pay back after the rate of an account is lowered while
// the account exceeds it.
BOOST_AUTO_TEST_CASE(a_debt_is_paid_back_as_fast_under_a_lower_rate) {
    shared_bucket bucket = make_shared_bucket({30, 30}, start);
    const shared_bucket_times times;
    subtract_peer_tokens(bucket, 90, times, start);
    BOOST_TEST(bucket.tokens == -60);
    advance(bucket, {3, 3}, 1, start);
    BOOST_TEST(bucket.tokens == -6);
    advance(bucket, {3, 3}, 1, start + seconds(3));
    BOOST_TEST(take_token(bucket, times));
}

BOOST_AUTO_TEST_CASE(a_reserved_token_is_not_taken_again) {
    shared_bucket bucket = make_shared_bucket({10, 2}, start);
    const shared_bucket_times times;
    BOOST_TEST(take_token(bucket, times));
    BOOST_TEST(take_token(bucket, times));
    BOOST_TEST(!take_token(bucket, times));
    const auto first = reserve_token(bucket, times, milliseconds(250));
    const auto second = reserve_token(bucket, times, milliseconds(250));
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((*first == milliseconds(100)));
    BOOST_TEST((*second == milliseconds(200)));
    BOOST_TEST(!reserve_token(bucket, times, milliseconds(250)).has_value());
    advance(bucket, {10, 2}, 1, start + milliseconds(200));
    BOOST_TEST(!take_token(bucket, times));
    advance(bucket, {10, 2}, 1, start + milliseconds(300));
    BOOST_TEST(take_token(bucket, times));
}

BOOST_AUTO_TEST_CASE(round_robin_keeps_its_weights_after_every_request) {
    weighted_round_robin state = make_weighted_round_robin({90, 10});
    std::vector<int> counts(2, 0);
    for (int i = 1; i <= 1000; ++i) {
        ++counts[pick_next(state)];
        BOOST_TEST(std::abs(counts[1] - i * 0.1) < 1.0);
    }
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_few_instances_of_their_own_failure_domain) {
    const std::vector<instance_candidate> all{candidate("a1", "a"), candidate("a2", "a"),
                                              candidate("b1", "b"), candidate("b2", "b", 0, false)};
    const auto for_a = choose_instances(all, failure_domain_id{"a"}, {});
    BOOST_REQUIRE(for_a.size() == 1U);
    BOOST_TEST(for_a.front().failure_domain.value == "a");
    const auto again = choose_instances(all, failure_domain_id{"a"}, {});
    BOOST_TEST(again.front().instance.value == for_a.front().instance.value);
    BOOST_TEST(choose_instances(all, failure_domain_id{"c"}, {}).size() == 1U);
    BOOST_TEST(
        choose_instances({candidate("b2", "b", 0, false)}, failure_domain_id{"b"}, {}).empty());
}

BOOST_AUTO_TEST_CASE(more_traffic_selects_more_instances) {
    const std::vector<instance_candidate> all{candidate("a1", "a", 80), candidate("a2", "a", 60),
                                              candidate("a3", "a"), candidate("a4", "a"),
                                              candidate("b1", "b", 500)};
    BOOST_TEST(choose_instances(all, failure_domain_id{"a"}, {}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_process_that_has_just_started_is_ranked_last) {
    const std::vector<instance_candidate> all{candidate("a1", "a", 0, true, milliseconds(100)),
                                              candidate("a2", "a"),
                                              candidate("a3", "a", 0, true, milliseconds(100))};
    BOOST_TEST(choose_instances(all, failure_domain_id{"a"}, {}).front().instance.value == "a2");
}

// Guards against requests that queue on slow links while fast ones are idle, as happened when
// instances were ranked by hash alone.
BOOST_AUTO_TEST_CASE(strong_instances_are_selected_before_weak_ones) {
    for (const double rate : {0.0, 120.0, 480.0}) {
        const auto selected = choose_instances(unequal_domain(rate), failure_domain_id{"a"}, {});
        BOOST_TEST(!selected.empty());
        BOOST_TEST(std::all_of(selected.begin(), selected.end(),
                               [](const auto& item) { return item.capacity == 125; }));
    }
    // Callers spread requests evenly, so the smallest capacity determines the number of instances.
    BOOST_TEST(choose_instances(unequal_domain(600), failure_domain_id{"a"}, {}).size() == 12U);
    BOOST_TEST(choose_instances(unequal_domain(9000), failure_domain_id{"a"}, {}).size() == 22U);
}

BOOST_AUTO_TEST_CASE(the_capacity_of_a_machine_is_bound_by_its_processor_and_its_link) {
    constexpr double narrow = 1.25e6;
    constexpr double wide = 25e6;
    BOOST_TEST(capacity_of(0.5, wide) == 125);
    BOOST_TEST(capacity_of(4, narrow) > 100);
    BOOST_TEST(capacity_of(4, narrow) < 110);
    BOOST_TEST(capacity_of(0.1, narrow) == 50);
}
