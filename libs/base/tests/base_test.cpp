#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include <array>

#include <unistd.h>

#include "base/base64.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include "base/log_budget.h"
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

BOOST_AUTO_TEST_CASE(base64_is_read_back_and_malformed_text_is_refused) {
    for (const std::string& data : {std::string(), std::string("a"), std::string("ab"),
                                    std::string("abc"), std::string("\0\xff\n", 3)}) {
        BOOST_TEST(decode_base64(encode_base64(data)).value() == data);
    }
    BOOST_TEST(encode_base64("node-1") == "bm9kZS0x");
    BOOST_TEST(!decode_base64("abc").has_value());
    BOOST_TEST(!decode_base64("a*==").has_value());
}

BOOST_AUTO_TEST_CASE(a_log_beyond_its_budget_leaves_lines_out_and_says_so) {
    const log_limits limits{3, 5};
    log_budget budget;
    const time_point start = boot_clock::now();
    BOOST_TEST(begin_second(budget, start).empty());
    int written = 0;
    for (int i = 0; i < 10; ++i) {
        written += take_line(budget, "first", limits) ? 1 : 0;
        written += take_line(budget, "second", limits) ? 1 : 0;
    }
    BOOST_TEST(written == 5);
    BOOST_TEST(begin_second(budget, start + milliseconds(500)).empty());
    const left_out_lines left_out = begin_second(budget, start + seconds(1));
    BOOST_TEST(left_out.at("first") + left_out.at("second") == 15U);
    BOOST_TEST(take_line(budget, "first", limits));
}

BOOST_AUTO_TEST_CASE(a_log_that_nobody_reads_stops_nothing) {
    std::array<int, 2> pipe_ends{};
    BOOST_REQUIRE(pipe(pipe_ends.data()) == 0);
    const int kept_output = dup(STDOUT_FILENO);
    dup2(pipe_ends[1], STDOUT_FILENO);
    start_log("test", log_level::info);
    const time_point start = boot_clock::now();
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i) {
        log_event(log_level::info, "kind_" + std::to_string(i % 50),
                  {{"text", std::string(200, 'x')}});
    }
    const duration spent = boot_clock::now() - start;
    dup2(kept_output, STDOUT_FILENO);
    BOOST_TEST((spent < seconds(3)));
    for (const int end : {kept_output, pipe_ends[0], pipe_ends[1]}) {
        close(end);
    }
}
