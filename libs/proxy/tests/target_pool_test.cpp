#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "fleet/target_directory.h"
#include "platform/documents.h"
#include "platform_service.h"
#include "proxy/target_pool.h"

using namespace knapweedknot;

namespace {

const endpoint store_address{"127.0.0.1", 18965};
const service_id service{"s"};

/// One registered target in a store of this process, and a pool that knows it.
struct pool_fixture {
    loop events;
    standin::platform_service store{events, duration::zero(), 1};
    store_client client{events, store_address};
    mesh network{events, peer_info{}, mesh_handlers{}};
    fleet_reports reports{events, network, report_times{}};
    target_directory directory{events, client, std::string(platform::targets_prefix),
                               &platform::decode_target, target_directory_options{}};

    pool_fixture() {
        BOOST_REQUIRE(this->store.listen(store_address).has_value());
        this->client.put(std::string(platform::targets_prefix) + "i-1",
                         R"({"service":"s","address":"127.0.0.1:9000","zone":"z","version":"v1",
                             "slots":4,"state":"ready","warmup-left-ms":0,"sequence":1,
                             "born":1700000000000})",
                         [this](const auto& /*unused*/) { this->directory.start(); });
        const timer poll = this->events.every(milliseconds(1), [this] {
            if (this->directory.is_loaded()) {
                this->events.stop();
            }
        });
        this->events.run();
    }
};

} // namespace

// Guards against a broken floor of targets: each report that left out what runs at the targets
// prolonged the time that the last full one had told.
BOOST_AUTO_TEST_CASE(a_judgement_that_was_told_once_ends_in_its_time) {
    pool_fixture fixture;
    target_pool pool(service, fixture.directory, fixture.reports, target_pool_options{});
    const time_point told = boot_clock::now();
    fleet_report report;
    report.targets_told = told;
    report.targets[hash64("i-1")] = {0, 0, 0, milliseconds(4000)};
    pool.adopt_ejections(report, told);
    BOOST_TEST(pool.rotation_counts(told + milliseconds(3900)).second == 1U);
    // The same list, kept by reports of the next seconds.
    pool.adopt_ejections(report, told + milliseconds(3000));
    pool.adopt_ejections(report, told + milliseconds(3900));
    BOOST_TEST(pool.rotation_counts(told + milliseconds(4100)).second == 0U);
}
