#define BOOST_TEST_MODULE proxy
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "base/digest.h"
#include "proxy/account_rate_limiter.h"
#include "proxy/edge_settings.h"
#include "proxy/retry_limiter.h"

using namespace knapweedknot;

namespace {

const time_point start{std::chrono::hours(1)};
const service_id service{"s"};

traffic_account account_with(double rate_per_s, double burst) {
    traffic_account account;
    account.id.value = "shop";
    account.rate_per_s = rate_per_s;
    account.burst = burst;
    return account;
}

/// Requests admitted at once at \p now.
int admit_all(account_rate_limiter& limiter, const traffic_account& account, time_point now,
              const account_rate_limiter::peer_summary& peers = {}) {
    int admitted = 0;
    while (limiter.admit(account, peers, duration::zero(), now).admitted) {
        ++admitted;
    }
    return admitted;
}

} // namespace

// Pattern: all processes are killed while one account presses; each new one knows nothing of what
// was admitted before.
BOOST_AUTO_TEST_CASE(a_young_process_does_not_admit_a_burst_anew) {
    account_rate_limiter fresh({}, start);
    BOOST_TEST(admit_all(fresh, account_with(50, 50), start + milliseconds(100)) <= 8);
    account_rate_limiter established({}, start);
    BOOST_TEST(admit_all(established, account_with(50, 50), start + seconds(60)) == 50);
}

// Pattern: callers go on to an instance that has not served an account before, during a partition.
BOOST_AUTO_TEST_CASE(an_account_that_is_new_here_begins_with_a_share_while_others_are_unheard) {
    account_rate_limiter limiter({}, start);
    const time_point now = start + seconds(60);
    BOOST_TEST(admit_all(limiter, account_with(40, 40), now, {0.25, {}}) <= 10);
}

// Pattern: an instance begins to serve an account on which others have been busy at its rate. What
// they admitted since they last told of it was within the refill of that time.
BOOST_AUTO_TEST_CASE(an_account_that_is_new_here_starts_at_the_level_that_peers_tell) {
    account_rate_limiter limiter({}, start);
    const traffic_account account = account_with(36, 36);
    const time_point told = start + seconds(60);
    fleet_report before;
    before.serving = true;
    before.received = told;
    before.accounts[hash64("shop")] = {100, 20};
    limiter.apply_peer_report(before, nullptr, false, told);
    const time_point now = told + seconds(3);
    BOOST_TEST(limiter.admit(account, {}, duration::zero(), now).admitted);
    fleet_report after;
    after.accounts[hash64("shop")] = {208, 20};
    limiter.apply_peer_report(after, &before, false, now + milliseconds(100));
    const auto next = limiter.admit(account, {}, duration::zero(), now + milliseconds(100));
    BOOST_TEST(next.admitted);
    BOOST_TEST(next.tokens > 10);
}

// Pattern: an account presses, and one more instance begins to serve it. What it heard of the level
// was told at long intervals, before the burst was used up; it may have served the account before.
BOOST_AUTO_TEST_CASE(a_level_told_long_ago_is_a_guess_until_a_peer_tells_a_new_one) {
    const traffic_account account = account_with(36, 36);
    for (const bool has_served : {false, true}) {
        account_rate_limiter limiter({}, start);
        const time_point told = start + seconds(60);
        if (has_served) {
            BOOST_TEST(limiter.admit(account, {}, duration::zero(), told).admitted);
        }
        fleet_report before;
        before.received = told;
        before.accounts[hash64("shop")] = {100, 36};
        limiter.apply_peer_report(before, nullptr, false, told);
        const time_point now = told + seconds(2);
        const account_rate_limiter::peer_summary stale{1, seconds(2)};
        BOOST_TEST(admit_all(limiter, account, now, stale) <= 6);
        BOOST_TEST(!limiter.admit(account, stale, milliseconds(500), now).admitted);
        fleet_report idle = before;
        idle.received = now;
        idle.accounts[hash64("shop")] = {101, 36};
        limiter.apply_peer_report(idle, &before, false, now);
        BOOST_TEST(admit_all(limiter, account, now, stale) == 0);
        fleet_report after;
        after.serving = true;
        after.received = now;
        after.accounts[hash64("shop")] = {208, 20};
        limiter.apply_peer_report(after, &before, false, now);
        const int admitted = admit_all(limiter, account, now);
        BOOST_TEST(admitted >= 8);
        BOOST_TEST(admitted <= 20);
    }
}

BOOST_AUTO_TEST_CASE(what_peers_admitted_is_subtracted_once) {
    account_rate_limiter limiter({}, start);
    const time_point now = start + seconds(60);
    const traffic_account account = account_with(10, 40);
    BOOST_TEST(limiter.admit(account, {}, duration::zero(), now).admitted);
    fleet_report before;
    before.received = now;
    before.accounts[hash64("shop")] = {100, 40};
    fleet_report after;
    after.accounts[hash64("shop")] = {130, 10};
    limiter.apply_peer_report(before, nullptr, false, now);
    limiter.apply_peer_report(after, &before, false, now);
    BOOST_TEST(admit_all(limiter, account, now) <= 9);
}

// Pattern: an account presses on three instances when they lose sight of each other. Until they
// notice, each of them counts on the whole refill; the reserve for the others grows with their
// silence.
BOOST_AUTO_TEST_CASE(instances_that_lose_sight_of_each_other_admit_little_too_much) {
    constexpr std::size_t copies = 3;
    constexpr duration step = milliseconds(10);
    const duration noticed = milliseconds(650);
    const traffic_account account = account_with(26, 26);
    std::vector<account_rate_limiter> limiters(copies, account_rate_limiter({}, start));
    std::vector<fleet_report> told(copies);
    const time_point begin = start + seconds(60);
    const time_point cut = begin + seconds(2);
    int admitted = 0;
    for (time_point now = begin; now < begin + seconds(5); now += step) {
        const duration age = std::clamp(now - cut, duration::zero(), noticed);
        const account_rate_limiter::peer_summary view{age == noticed ? 1.0 / copies : 1.0, age};
        for (account_rate_limiter& limiter : limiters) {
            admitted += limiter.admit(account, view, duration::zero(), now).admitted ? 1 : 0;
        }
        if (now >= cut || (now - begin) % milliseconds(250) != duration::zero()) {
            continue;
        }
        for (std::size_t from = 0; from < copies; ++from) {
            fleet_report report;
            report.received = now;
            report.accounts = limiters[from].report(report_kind::full, now);
            for (std::size_t to = 0; to < copies; ++to) {
                if (to != from) {
                    limiters[to].apply_peer_report(report, &told[from], false, now);
                }
            }
            told[from] = report;
        }
    }
    constexpr double window_s = 5;
    // The users' rule for any 5 s: a tenth and 20 requests over rate and burst.
    BOOST_TEST(admitted <= (account.rate_per_s * window_s + account.burst) * 1.1 + 20);
    BOOST_TEST(admitted >= account.rate_per_s * window_s);
}

// Pattern: a partition heals long after one side has admitted its last request. What it reports
// then is no news for the other side, which left it its share of the refill.
BOOST_AUTO_TEST_CASE(what_was_admitted_long_ago_beyond_a_partition_is_no_debt) {
    account_rate_limiter limiter({}, start);
    account_rate_limiter other({}, start);
    const traffic_account account = account_with(30, 30);
    const time_point cut = start + seconds(60);
    fleet_report before;
    before.received = cut;
    time_point now = cut;
    for (; now < cut + seconds(14); now += milliseconds(20)) {
        static_cast<void>(limiter.admit(account, {0.4, {}}, duration::zero(), now));
        if (now < cut + seconds(4)) {
            static_cast<void>(other.admit(account, {0.4, {}}, duration::zero(), now));
        }
    }
    fleet_report after;
    after.received = now;
    after.accounts = other.report(report_kind::introduction, now);
    BOOST_TEST(after.accounts.at(hash64("shop")).admitted >= 45U);
    limiter.apply_peer_report(after, &before, false, now);
    BOOST_TEST(admit_all(limiter, account, now + seconds(1)) >= 25);
}

BOOST_AUTO_TEST_CASE(an_account_without_a_limit_is_always_admitted) {
    account_rate_limiter limiter({}, start);
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST(limiter.admit(account_with(0, 0), {}, duration::zero(), start).admitted);
    }
}

BOOST_AUTO_TEST_CASE(resends_keep_to_a_share_of_the_requests_and_the_allowance) {
    retry_policy policy;
    policy.share = 0.2;
    policy.allowance = 50;
    retry_limiter limiter(policy);
    int retried = 0;
    time_point now = start;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        limiter.record_request(service, now);
        retried += limiter.take_retry(service, now) ? 1 : 0;
    }
    // Ten seconds, one window: a share of the requests and the allowance.
    BOOST_TEST(retried <= 1000 * policy.share + policy.allowance);
    BOOST_TEST(retried >= 100);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_is_quarantined_over_instances_for_a_while) {
    retry_limiter limiter({});
    constexpr std::uint64_t fingerprint = 42;
    limiter.record_crash(fingerprint, start);
    BOOST_TEST(!limiter.is_quarantined(fingerprint, start));
    fleet_report peer;
    peer.crashes[fingerprint] = 2;
    limiter.apply_peer_report(incarnation_id{7}, peer, nullptr, start);
    BOOST_TEST(limiter.is_quarantined(fingerprint, start));
    limiter.remove_peer(incarnation_id{7});
    BOOST_TEST(!limiter.is_quarantined(fingerprint, start));
    limiter.record_crash(fingerprint, start);
    limiter.record_crash(fingerprint, start);
    BOOST_TEST(limiter.is_quarantined(fingerprint, start));
    BOOST_TEST(!limiter.is_quarantined(fingerprint, start + seconds(30)));
    limiter.clear_crashes(fingerprint);
    BOOST_TEST(!limiter.is_quarantined(fingerprint, start));
}

BOOST_AUTO_TEST_CASE(settings_name_every_bad_value) {
    const auto settings = parse_edge_settings(R"({
        "instance": "a", "failure_domain": "z", "callers_address": "10.0.0.1:80",
        "readiness_address": "nowhere", "peers_address": "10.0.0.1:81",
        "metrics_address": "10.0.0.1:82", "store_address": "10.0.0.2:80",
        "bounds": {"floor_share": 7, "unknown": 1}})");
    BOOST_REQUIRE(!settings.has_value());
    for (const char* part : {"readiness_address", "/bounds/floor_share", "/bounds/unknown"}) {
        BOOST_TEST(settings.error().detail.find(part) != std::string::npos, part);
    }
}

BOOST_AUTO_TEST_CASE(the_link_of_a_machine_is_read_in_mbit_and_held_in_bytes) {
    const auto settings = parse_edge_settings(R"({"instance": "a", "failure_domain": "d",
        "callers_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
        "metrics_address": "127.0.0.1:3", "peers_address": "127.0.0.1:4",
        "store_address": "127.0.0.1:5", "machine": {"cores": 0.1, "link_mbit_per_s": 10}})");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->machine.cores == 0.1);
    BOOST_TEST(settings->machine.link_bytes_per_s == 1.25e6);
}
