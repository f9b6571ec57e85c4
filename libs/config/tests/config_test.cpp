#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "config/api_key.h"
#include "config/configuration.h"
#include "config/entity_parser.h"
#include "config/history.h"

using namespace knapweedknot;
using nlohmann::json;

namespace {

json initial_patch() {
    return json::parse(R"({
        "accounts": {"shop": {"rate_per_s": 10, "burst": 5}},
        "services": {"layouts": {"targets": {"t1": {"address": "127.1.0.1:9000",
                                                    "failure_domain": "a"}}}},
        "routes": {"layouts": {"path_prefix": "/layouts", "service": "layouts"},
                   "die-cut": {"path_prefix": "/layouts/die-cut", "service": "layouts"}}})");
}

configuration make_configuration() {
    configuration config;
    BOOST_REQUIRE(config.apply(config_number{1}, initial_patch()).has_value());
    return config;
}

std::string problem_with(const char* patch) {
    const auto checked = make_configuration().check(json::parse(patch));
    return checked ? "" : checked.error().detail;
}

} // namespace

BOOST_AUTO_TEST_CASE(longest_prefix_of_whole_segments_wins) {
    const configuration config = make_configuration();
    BOOST_TEST(config.find_route("h", "/layouts/die-cut/7")->id.value == "die-cut");
    BOOST_TEST(config.find_route("h", "/layouts/die")->id.value == "layouts");
    BOOST_TEST((config.find_route("h", "/layoutsx") == nullptr));
}

BOOST_AUTO_TEST_CASE(invalid_values_are_reported_with_their_path) {
    BOOST_TEST(problem_with(R"({"accounts": {"shop": {"burst": 1}}})") ==
               "/accounts/shop/burst: must be from 2 to 1e+07 requests");
    BOOST_TEST(
        problem_with(R"({"services": {"layouts": {"targets": {"t1": {"address": "x"}}}}})") ==
        "/services/layouts/targets/t1/address: must be IPV4:PORT, for example "
        "127.0.0.1:8080");
    BOOST_TEST(problem_with(R"({"services": {"layouts": null}})")
                   .find("/routes/layouts/service: no service layouts") != std::string::npos);
    BOOST_TEST(problem_with(R"({"extra": {}})") == "/extra: is not a known field");
}

BOOST_AUTO_TEST_CASE(a_rejected_patch_changes_nothing) {
    configuration config = make_configuration();
    const json before = config.document();
    const json patch = json::parse(R"({"accounts": {"shop": {"rate_per_s": 99},
                                                    "bad": {"rate_per_s": -1, "burst": 2}}})");
    BOOST_TEST(!config.apply(config_number{2}, patch).has_value());
    BOOST_TEST((config.document() == before));
    BOOST_TEST(config.number().value == 1U);
    BOOST_TEST(config.find_account(account_id{"shop"})->rate_per_s == 10);
}

BOOST_AUTO_TEST_CASE(a_key_authenticates_until_it_is_withdrawn) {
    configuration config = make_configuration();
    const new_api_key key = make_api_key();
    const json stored = {{"salt", key.stored.salt}, {"sha256", key.stored.sha256}};
    const json add = {{"accounts", {{"shop", {{"keys", {{key.key_id, stored}}}}}}}};
    BOOST_REQUIRE(config.apply(config_number{2}, add).has_value());
    const auto parts = split_key(key.presented);
    BOOST_REQUIRE(parts.has_value());
    BOOST_TEST(key_matches(config.find_key(parts->key_id).key, parts->secret));
    BOOST_TEST(!key_matches(config.find_key(parts->key_id).key, "wrong"));
    const json withdraw = {{"accounts", {{"shop", {{"keys", {{key.key_id, nullptr}}}}}}}};
    BOOST_REQUIRE(config.apply(config_number{3}, withdraw).has_value());
    BOOST_TEST((config.find_key(parts->key_id).account == nullptr));
}

BOOST_AUTO_TEST_CASE(json_patch_and_merge_patch_have_the_same_effect) {
    const configuration config = make_configuration();
    const json operations =
        json::parse(R"([{"op": "replace", "path": "/accounts/shop/burst", "value": 7}])");
    const auto merge = to_merge_patch(config.document(), operations);
    BOOST_REQUIRE(merge.has_value());
    BOOST_TEST((*merge == json::parse(R"({"accounts": {"shop": {"burst": 7}}})")));
}

BOOST_AUTO_TEST_CASE(decoding_rejects_a_modified_history_entry) {
    history_entry first{config_number{1}, config_number{0}, "op", "t", "p1", "", initial_patch()};
    history_entry second{config_number{2}, config_number{1}, "op", "t", "p2", hash_of(first), {}};
    history_head head{{}, {first, second}};
    BOOST_REQUIRE(decode_head(encode_head(head)).has_value());
    head.tail[0].author = "other";
    BOOST_TEST(!decode_head(encode_head(head)).has_value());
}
