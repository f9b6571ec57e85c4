#include <boost/test/unit_test.hpp>

#include <string>

#include "proxy/edge_metrics.h"

using namespace knapweedknot;

// Guards against ends of connections to targets that no metric tells: each has its series from the
// start, so that a rate can be taken of the first one.
BOOST_AUTO_TEST_CASE(each_end_of_a_target_connection_has_a_series) {
    target_connection_end_counts counts;
    counts.record(target_connection_end::closed_without_answer);
    std::string text;
    write_target_connection_ends(text, counts);
    for (const target_connection_end end : target_connection_ends) {
        const bool is_recorded = end == target_connection_end::closed_without_answer;
        const std::string series = "knapweedknot_target_connections_ended_total{reason=\"" +
                                   std::string(to_string(end)) + "\"} " +
                                   (is_recorded ? "1" : "0") + '\n';
        BOOST_TEST(text.find(series) != std::string::npos, series);
    }
}
