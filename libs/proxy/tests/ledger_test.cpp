#define BOOST_TEST_MODULE proxy
#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "proxy/account_ledger.h"
#include "proxy/edge_settings.h"
#include "proxy/resend_ledger.h"

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
int admit_all(account_ledger& ledger, const traffic_account& account, time_point now) {
    int admitted = 0;
    while (ledger.admit(account, 1, duration::zero(), now).admitted) {
        ++admitted;
    }
    return admitted;
}

} // namespace

// Pattern: all processes are killed while one account presses; each new one knows nothing of what
// was admitted before.
BOOST_AUTO_TEST_CASE(a_young_process_does_not_admit_a_burst_anew) {
    account_ledger young({}, start);
    BOOST_TEST(admit_all(young, account_with(50, 50), start + milliseconds(100)) <= 8);
    account_ledger old({}, start);
    BOOST_TEST(admit_all(old, account_with(50, 50), start + seconds(60)) == 50);
}

BOOST_AUTO_TEST_CASE(what_peers_admitted_is_subtracted_once) {
    account_ledger ledger({}, start);
    const time_point now = start + seconds(60);
    const traffic_account account = account_with(10, 40);
    BOOST_TEST(ledger.admit(account, 1, duration::zero(), now).admitted);
    fleet_report before;
    before.accounts[hash64("shop")] = {100, 40};
    fleet_report after;
    after.accounts[hash64("shop")] = {130, 10};
    ledger.note_peer(before, nullptr, false, now);
    ledger.note_peer(after, &before, false, now);
    BOOST_TEST(admit_all(ledger, account, now) <= 9);
}

BOOST_AUTO_TEST_CASE(an_account_without_a_limit_is_always_admitted) {
    account_ledger ledger({}, start);
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST(ledger.admit(account_with(0, 0), 1, duration::zero(), start).admitted);
    }
}

BOOST_AUTO_TEST_CASE(resends_keep_to_a_share_of_the_requests_and_the_allowance) {
    resend_policy policy;
    policy.share = 0.2;
    policy.allowance = 50;
    resend_ledger ledger(policy);
    int resent = 0;
    time_point now = start;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        ledger.note_request(service, now);
        resent += ledger.take(service, now) ? 1 : 0;
    }
    // Ten seconds, one window: a share of the requests and the allowance.
    BOOST_TEST(resent <= 1000 * policy.share + policy.allowance);
    BOOST_TEST(resent >= 100);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_is_quarantined_over_instances_for_a_while) {
    resend_ledger ledger({});
    constexpr std::uint64_t fingerprint = 42;
    ledger.note_crash(fingerprint, start);
    BOOST_TEST(!ledger.is_quarantined(fingerprint, start));
    fleet_report peer;
    peer.crashes[fingerprint] = 2;
    ledger.note_peer(incarnation_id{7}, peer, nullptr, start);
    BOOST_TEST(ledger.is_quarantined(fingerprint, start));
    ledger.forget_peer(incarnation_id{7});
    BOOST_TEST(!ledger.is_quarantined(fingerprint, start));
    ledger.note_crash(fingerprint, start);
    ledger.note_crash(fingerprint, start);
    BOOST_TEST(ledger.is_quarantined(fingerprint, start));
    BOOST_TEST(!ledger.is_quarantined(fingerprint, start + seconds(30)));
    ledger.note_survived(fingerprint);
    BOOST_TEST(!ledger.is_quarantined(fingerprint, start));
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
