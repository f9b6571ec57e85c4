#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include "base/settings_reader.h"

using namespace knapweedknot;

BOOST_AUTO_TEST_CASE(sha256_matches_the_standard_test_vector) {
    BOOST_TEST(sha256_hex("abc") ==
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(log_values_with_blanks_or_line_ends_stay_on_one_line) {
    BOOST_TEST(detail::format_field({"a", "x"}) == "a=x");
    BOOST_TEST(detail::format_field({"a", "x y\n\"z\""}) == "a=\"x y \\\"z\\\"\"");
}

BOOST_AUTO_TEST_CASE(settings_report_range_unit_path_and_unknown_fields) {
    const auto source = parse_json_with_comments(R"({
        // a comment
        "limit": 99, "extra": 1})");
    BOOST_REQUIRE(source.has_value());
    std::vector<std::string> problems;
    settings_reader reader(*source, "/x", problems);
    BOOST_TEST(reader.integer("limit", 5, 1, 10, "requests") == 5);
    reader.reject_unknown_fields();
    BOOST_REQUIRE(problems.size() == 2);
    BOOST_TEST(problems[0] == "/x/limit: must be from 1 to 10 requests, a whole number");
    BOOST_TEST(problems[1] == "/x/extra: is not a known field");
}

BOOST_AUTO_TEST_CASE(refusals_before_a_send_say_not_run) {
    for (const auto kind : {error_kind::rate_exceeded, error_kind::connect_failed,
                            error_kind::configuration_stale, error_kind::overloaded}) {
        BOOST_TEST((answer_for(kind).outcome == execution::not_run));
    }
    BOOST_TEST((answer_for(error_kind::target_failed).outcome == execution::may_have_run));
}
