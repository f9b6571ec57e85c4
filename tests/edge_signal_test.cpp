#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <string>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "edge_fixture.h"

using namespace knapweedknot;
using namespace knapweedknot::harness;

/// \file
/// What signals do to an edge process while it starts.

BOOST_AUTO_TEST_SUITE(edge_signals)

// Guards against an instance that is ended by a notice of changed settings (SIGHUP) while it
// starts.
BOOST_AUTO_TEST_CASE(a_hangup_does_not_end_a_process_that_is_starting) {
    const std::string folder =
        (std::filesystem::temp_directory_path() / "knapweedknot-edge-88").string();
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    // The process has started, and does not get on, until its settings are written to this pipe.
    const std::string settings = folder + "/settings.json";
    BOOST_REQUIRE(mkfifo(settings.c_str(), S_IRUSR | S_IWUSR) == 0);
    process daemon({std::string(KNAPWEEDKNOT_BUILD_DIR) + "/programs/knapweedknotd", "--edge",
                    "--settings", settings},
                   folder + "/edge.log");
    loop events;
    int pipe = -1;
    BOOST_REQUIRE(run_until(events, [&] {
        pipe = open(settings.c_str(), O_WRONLY | O_NONBLOCK);
        return pipe >= 0;
    }));
    daemon.signal(SIGHUP);
    run_for(events, milliseconds(200));
    BOOST_TEST(!daemon.has_ended());
    close(pipe);
}

// The same failure, after the last handler was removed: a stop ended as if by a fault.
BOOST_AUTO_TEST_CASE(hangups_during_a_planned_stop_do_not_end_it) {
    edge_fleet fleet(89);
    fleet.write("op/config", edge_fleet::usual_policy("00000002").dump());
    fleet.add_target("i-1");
    fleet.start();
    process& daemon = fleet.daemons.at(0);
    daemon.signal(SIGTERM);
    const timer hangups = fleet.events.every(milliseconds(1), [&] { daemon.signal(SIGHUP); });
    BOOST_REQUIRE(fleet.run_until([&] { return daemon.has_ended(); }));
    BOOST_TEST(daemon.exit_status() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
