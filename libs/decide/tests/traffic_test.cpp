#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <vector>

#include "decide/instance_choice.h"
#include "decide/shared_bucket.h"
#include "decide/weighted_split.h"

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

/// Two strong instances and twenty weak ones, with \p rate requests per second at the first.
std::vector<instance_candidate> unequal_domain(double rate) {
    std::vector<instance_candidate> all;
    for (int i = 0; i < 22; ++i) {
        instance_candidate& added = all.emplace_back(candidate("i" + std::to_string(i), "a"));
        added.capacity = i % 11 == 0 ? 125 : 50;
    }
    all.front().request_rate = rate;
    return all;
}

/// Greatest number of \p times in any window of \p length.
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

/// Admissions of several instances that hear of each other after a delay.
std::vector<time_point> admit_on_copies(std::size_t copies, const rate_limit& limit,
                                        double requests_per_s, unsigned seed) {
    struct report {
        time_point arrives;
        std::size_t from;
    };
    const shared_bucket_times times;
    std::vector<shared_bucket> buckets(copies, make_shared_bucket(limit, start));
    std::deque<report> reports;
    std::vector<time_point> admitted;
    std::minstd_rand random(seed);
    std::uniform_int_distribution<std::size_t> draw(0, copies - 1);
    const auto step = from_seconds(1 / requests_per_s);
    for (time_point now = start; now < start + seconds(30); now += step) {
        while (!reports.empty() && reports.front().arrives <= now) {
            for (std::size_t i = 0; i < copies; ++i) {
                if (i != reports.front().from) {
                    note_peer_tokens(buckets[i], 1, times, now);
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

// Pattern: one account sends many times its rate to several instances at once.
BOOST_AUTO_TEST_CASE(copies_of_a_bucket_admit_the_rate_together) {
    const rate_limit limit{30, 30};
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const auto admitted = admit_on_copies(6, limit, 240, seed);
        constexpr double window_s = 5;
        const double bound = limit.rate_per_s * window_s + limit.burst;
        // The users' rule for any 5 s: a tenth and 20 requests over rate and burst.
        BOOST_TEST(busiest_window(admitted, from_seconds(window_s)) <= bound * 1.1 + 20);
        BOOST_TEST(admitted.size() >= 30 * limit.rate_per_s * 0.95);
    }
}

BOOST_AUTO_TEST_CASE(an_account_within_its_rate_is_never_refused_by_copies) {
    const auto admitted = admit_on_copies(6, {30, 30}, 20, 3);
    BOOST_TEST(admitted.size() == 600U);
}

// Pattern: serving instances are cut off from each other for a while, and an account presses on all
// of them. Each takes its share meanwhile; what the others took in theirs is no debt afterwards.
BOOST_AUTO_TEST_CASE(shares_taken_during_a_partition_leave_no_debt) {
    const rate_limit limit{30, 30};
    const shared_bucket_times times;
    constexpr int copies = 3;
    std::vector<shared_bucket> buckets(copies, make_shared_bucket(limit, start));
    std::vector<double> admitted(copies, 0);
    for (shared_bucket& bucket : buckets) {
        bucket.tokens = 0;
    }
    time_point now = start;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(10);
        for (std::size_t i = 0; i < copies; ++i) {
            advance(buckets[i], limit, 1.0 / copies, now);
            admitted[i] += take_token(buckets[i], times) ? 1 : 0;
        }
    }
    const double together = admitted[0] + admitted[1] + admitted[2];
    BOOST_TEST(together <= 6 * limit.rate_per_s);
    BOOST_TEST(together >= 6 * limit.rate_per_s * 0.95);
    const double before = buckets[0].tokens;
    note_unheard_tokens(buckets[0], admitted[1], times, now);
    note_unheard_tokens(buckets[0], admitted[2], times, now);
    BOOST_TEST(buckets[0].tokens > before - 1);
    // What an instance took that was heard all the while was not withheld for it.
    note_peer_tokens(buckets[0], 5, times, now);
    BOOST_TEST(buckets[0].tokens <= before - 5);
}

// Pattern: the same, and requests may wait for a token. They wait for those of the own share.
BOOST_AUTO_TEST_CASE(a_wait_for_a_token_counts_on_the_own_share_of_the_refill) {
    const shared_bucket_times times;
    shared_bucket bucket = make_shared_bucket({20, 20}, start);
    bucket.tokens = 0;
    advance(bucket, {20, 20}, 0.25, start);
    BOOST_TEST((time_to_token(bucket, times) == milliseconds(200)));
    BOOST_TEST(!take_future_token(bucket, times, milliseconds(150)).has_value());
    BOOST_TEST(take_future_token(bucket, times, milliseconds(200)).has_value());
}

// Pattern: an account presses, and its rate is lowered to a fraction of what it was.
BOOST_AUTO_TEST_CASE(a_debt_is_paid_back_as_fast_under_a_lower_rate) {
    shared_bucket bucket = make_shared_bucket({30, 30}, start);
    const shared_bucket_times times;
    note_peer_tokens(bucket, 90, times, start);
    BOOST_TEST(bucket.tokens == -60);
    advance(bucket, {3, 3}, 1, start);
    BOOST_TEST(bucket.tokens == -6);
    advance(bucket, {3, 3}, 1, start + seconds(3));
    BOOST_TEST(take_token(bucket, times));
}

BOOST_AUTO_TEST_CASE(a_token_to_come_is_taken_once) {
    shared_bucket bucket = make_shared_bucket({10, 2}, start);
    const shared_bucket_times times;
    BOOST_TEST(take_token(bucket, times));
    BOOST_TEST(take_token(bucket, times));
    BOOST_TEST(!take_token(bucket, times));
    const auto first = take_future_token(bucket, times, milliseconds(250));
    const auto second = take_future_token(bucket, times, milliseconds(250));
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((*first == milliseconds(100)));
    BOOST_TEST((*second == milliseconds(200)));
    BOOST_TEST(!take_future_token(bucket, times, milliseconds(250)).has_value());
    advance(bucket, {10, 2}, 1, start + milliseconds(200));
    BOOST_TEST(!take_token(bucket, times));
    advance(bucket, {10, 2}, 1, start + milliseconds(300));
    BOOST_TEST(take_token(bucket, times));
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_weights_at_every_point) {
    weighted_split split = make_weighted_split({90, 10});
    std::vector<int> counts(2, 0);
    for (int i = 1; i <= 1000; ++i) {
        ++counts[next_part(split)];
        BOOST_TEST(std::abs(counts[1] - i * 0.1) < 1.0);
    }
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_few_instances_of_their_own_domain) {
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

BOOST_AUTO_TEST_CASE(more_traffic_is_served_by_more_instances) {
    const std::vector<instance_candidate> all{candidate("a1", "a", 80), candidate("a2", "a", 60),
                                              candidate("a3", "a"), candidate("a4", "a"),
                                              candidate("b1", "b", 500)};
    BOOST_TEST(choose_instances(all, failure_domain_id{"a"}, {}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_process_that_has_just_started_is_named_last) {
    const std::vector<instance_candidate> all{candidate("a1", "a", 0, true, milliseconds(100)),
                                              candidate("a2", "a"),
                                              candidate("a3", "a", 0, true, milliseconds(100))};
    BOOST_TEST(choose_instances(all, failure_domain_id{"a"}, {}).front().instance.value == "a2");
}

// Guards against requests that wait on narrow links while wide ones are idle: weak instances were
// named before strong ones, by hash alone.
BOOST_AUTO_TEST_CASE(strong_instances_are_named_before_weak_ones) {
    for (const double rate : {0.0, 120.0, 480.0}) {
        const auto named = choose_instances(unequal_domain(rate), failure_domain_id{"a"}, {});
        BOOST_TEST(!named.empty());
        BOOST_TEST(std::all_of(named.begin(), named.end(),
                               [](const auto& item) { return item.capacity == 125; }));
    }
    // Callers choose evenly among the named ones, so the least of them sets how many it takes.
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
