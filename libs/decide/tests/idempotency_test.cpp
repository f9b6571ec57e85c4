#include <boost/test/unit_test.hpp>

#include "decide/idempotency.h"

using namespace knapweedknot;

namespace {

const incarnation_id issuer{0xABCDEF};
const account_id shop{"shop"};
const std::string secret = "secret";
const time_point start{seconds(1000)};

} // namespace

BOOST_AUTO_TEST_CASE(a_key_is_accepted_for_its_account_and_life_only) {
    const std::string text = make_idempotency_prefix(secret, issuer, 5000, shop) + ".order-7";
    const auto key = parse_idempotency_key(text);
    BOOST_REQUIRE(key.has_value());
    BOOST_TEST((key->issuer == issuer));
    BOOST_TEST(key->unique == "order-7");
    BOOST_TEST(check_idempotency_key(*key, secret, shop, 6000).has_value());
    const auto kind = [&](std::string_view with, const account_id& account, std::uint64_t now) {
        return check_idempotency_key(*key, with, account, now).error().kind;
    };
    BOOST_TEST((kind("other", shop, 6000) == error_kind::idempotency_key_invalid));
    BOOST_TEST((kind(secret, account_id{"x"}, 6000) == error_kind::idempotency_key_invalid));
    BOOST_TEST((kind(secret, shop, 4000) == error_kind::idempotency_key_invalid));
    BOOST_TEST((kind(secret, shop, 5000 + 600'000) == error_kind::idempotency_key_expired));
}

BOOST_AUTO_TEST_CASE(malformed_keys_are_not_parsed) {
    for (const char* text : {"", "a", "a-b", "a-b-c", "a-b-c.", "x-1-c.u", "1-y-c.u", "--.u"}) {
        BOOST_TEST(!parse_idempotency_key(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(a_key_runs_once_and_is_free_again_only_when_it_did_not_run) {
    idempotency_key_table table;
    const time_point later = start + seconds(10);
    BOOST_TEST((table.begin("k", 1, later) == idempotency_key_state::first));
    BOOST_TEST((table.begin("k", 1, later) == idempotency_key_state::running));
    BOOST_TEST((table.begin("k", 2, later) == idempotency_key_state::reused));
    table.release("k");
    BOOST_TEST((table.begin("k", 1, later) == idempotency_key_state::first));
    table.finish("k");
    BOOST_TEST((table.begin("k", 1, later) == idempotency_key_state::done));
    BOOST_TEST((table.begin("lost", 1, later) == idempotency_key_state::first));
    table.mark_outcome_unknown("lost");
    BOOST_TEST((table.begin("lost", 1, later) == idempotency_key_state::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(keys_are_remembered_while_they_run_or_can_be_accepted) {
    idempotency_key_table table;
    BOOST_TEST((table.begin("running", 1, start) == idempotency_key_state::first));
    BOOST_TEST((table.begin("done", 1, start) == idempotency_key_state::first));
    table.finish("done");
    table.expire(start - milliseconds(1), [](const auto&) {});
    BOOST_TEST(table.size() == 2U);
    table.expire(start, [](const auto&) {});
    BOOST_TEST(table.size() == 1U);
}
