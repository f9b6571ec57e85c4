#define BOOST_TEST_MODULE soak_judge
#include <boost/test/unit_test.hpp>

#include <sstream>

#include "judge.h"
#include "site.h"

using namespace knapweedknot;
using namespace knapweedknot::soak;

namespace {

/// One instance, one policy that has long been in force, and one request of a slow caller that ran
/// for a second and whose connection was reset. Times in milliseconds since the start.
struct judged {
    records seen;

    judged() {
        this->seen.began = time_point(seconds(1000));
        this->seen.edges.resize(1);
        this->seen.policies.push_back({this->at(-20'000), this->at(-20'000), seconds(15), 1});
        attempt made;
        made.id = "a";
        made.kind = "stock-list";
        made.connection = 1;
        made.deadline = seconds(20);
        made.timeout = seconds(10);
        made.sent = this->at(10'000);
        made.ended = this->at(12'000);
        made.end = attempt_end::reset;
        this->seen.attempts.push_back(made);
        this->seen.runs["a"].push_back(
            {"t", this->at(10'000), this->at(11'000), run_end::whole, 1000});
    }
    [[nodiscard]] time_point at(int ms) const { return this->seen.began + milliseconds(ms); }
    [[nodiscard]] attempt& made() { return this->seen.attempts.front(); }
    [[nodiscard]] run& ran() { return this->seen.runs["a"].front(); }
    void stop(int ms) { this->seen.edges[0].stops.push_back({this->at(ms), this->at(ms + 3000)}); }
    [[nodiscard]] verdict result() const {
        std::ostringstream report;
        return judge(this->seen, report);
    }
};

} // namespace

// Guards against a rig that misses a request which ran and was cut by a stop.
BOOST_FIXTURE_TEST_CASE(request_that_ran_and_was_cut_by_a_stop_is_lost, judged) {
    this->stop(11'500);
    BOOST_TEST(this->result().lost == 1);
}

// Guards against a rig that misses a stop's cut up to 1 s after the grace, or counts later ones.
BOOST_FIXTURE_TEST_CASE(stop_counts_until_one_second_after_the_grace, judged) {
    this->stop(5'001);
    this->made().sent = this->at(9'000);
    BOOST_TEST(this->result().lost == 1);
    this->seen.edges[0].stops[0].terminated = this->at(4'999);
    BOOST_TEST(this->result().lost == 0);
    BOOST_TEST(this->result().unplanned == 1);
}

// Guards against a rig that counts requests which the instance needn't have read.
BOOST_FIXTURE_TEST_CASE(request_that_was_not_passed_on_counts_by_its_place_and_age, judged) {
    this->stop(11'500);
    this->seen.runs.clear();
    BOOST_TEST(this->result().lost == 1);
    this->made().behind = 1;
    BOOST_TEST(this->result().excused == 1);
    this->made().behind = 0;
    this->made().sent = this->at(11'900);
    BOOST_TEST(this->result().excused == 1);
}

// Guards against a rig that counts requests whose deadline or route timeout was reached.
BOOST_FIXTURE_TEST_CASE(reached_timeouts_excuse, judged) {
    this->stop(11'500);
    this->made().timeout = seconds(2);
    BOOST_TEST(this->result().excused == 1);
    this->made().timeout = milliseconds(2001);
    BOOST_TEST(this->result().lost == 1);
    this->made().deadline = seconds(2);
    BOOST_TEST(this->result().excused == 1);
}

// Guards against a rig that excuses a request by its target's work though it came late.
BOOST_FIXTURE_TEST_CASE(work_in_the_last_sixth_excuses_requests_of_the_first_three_seconds,
                        judged) {
    this->stop(7'100);
    this->made().ended = this->at(13'000);
    this->ran().ended = this->at(12'200);
    BOOST_TEST(this->result().excused == 1);
    this->made().sent = this->at(10'200);
    BOOST_TEST(this->result().lost == 1);
    this->made().sent = this->at(10'000);
    this->ran().ended = this->at(12'000);
    BOOST_TEST(this->result().lost == 1);
}

// Guards against a rig that misses an instance's own response at which a target was at work.
BOOST_FIXTURE_TEST_CASE(own_response_after_a_stop_is_lost, judged) {
    this->stop(11'500);
    this->made().end = attempt_end::answered;
    this->made().status = 504;
    BOOST_TEST(this->result().lost == 1);
    this->made().is_signed = true;
    BOOST_TEST(this->result().lost == 0);
}

// Guards against a rig that blames an instance for the speed of a caller, or hides that it does.
BOOST_FIXTURE_TEST_CASE(caller_that_cannot_take_its_answer_in_the_grace_is_listed_apart, judged) {
    this->stop(11'500);
    this->ran().answer_bytes = 9'750;
    this->made().bytes_per_s = 1'600;
    BOOST_TEST(this->result().lost == 1);
    this->made().bytes_per_s = 1'500;
    BOOST_TEST(this->result().lost == 0);
    BOOST_TEST(this->result().too_slow == 1);
}

// Guards against a rig that misses a SIGHUP's cuts, or counts requests that were sent long after.
BOOST_FIXTURE_TEST_CASE(hangup_counts_for_requests_sent_within_two_seconds, judged) {
    this->seen.edges[0].hangups.push_back(this->at(8'000));
    BOOST_TEST(this->result().lost == 1);
    this->seen.edges[0].hangups[0] = this->at(7'999);
    BOOST_TEST(this->result().unplanned == 1);
}

// Guards against a rig that blames policies for cuts that are as frequent at other times.
BOOST_FIXTURE_TEST_CASE(policy_counts_if_cuts_are_three_times_as_frequent, judged) {
    this->seen.policies.push_back({this->at(11'000), this->at(11'000), seconds(15), 1});
    BOOST_TEST(this->result().lost == 1);
    attempt other = this->made();
    other.id = "b";
    for (const int ms : {1'000, 2'000, 3'000, 4'000, 5'000}) {
        other.sent = this->at(ms - 500);
        other.ended = this->at(ms);
        this->seen.attempts.insert(this->seen.attempts.begin(), other);
    }
    BOOST_TEST(this->result().lost == 0);
    BOOST_TEST(this->result().unplanned == 6);
}
