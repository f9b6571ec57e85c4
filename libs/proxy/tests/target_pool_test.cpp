#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "fleet/target_directory.h"
#include "platform/store_documents.h"
#include "platform_service.h"
#include "proxy/target_pool.h"

using namespace knapweedknot;

namespace {

const endpoint store_address{"127.0.0.1", 18965};
const service_id service{"s"};

/// A store in this process with one registered target, and the components that a pool needs.
struct pool_fixture {
    loop events;
    standin::platform_service store{events, duration::zero(), 1};
    store_client client{events, store_address};
    mesh network{events, peer_info{}, mesh_handlers{}};
    report_exchange reports{events, network, report_options{}};
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

// Guards against ejections that never end, which broke the minimum share of targets in rotation:
// each report without the targets' state applied the ejection time of the last full report again,
// counted from its own arrival.
BOOST_AUTO_TEST_CASE(a_reported_ejection_ends_at_its_time) {
    pool_fixture fixture;
    target_pool pool(service, fixture.directory, fixture.reports, target_pool_options{});
    const time_point reported_at = boot_clock::now();
    instance_report report;
    report.targets_received_at = reported_at;
    report.targets[hash64("i-1")] = {0, 0, 0, milliseconds(4000)};
    pool.adopt_ejections(report, reported_at);
    BOOST_TEST(pool.rotation_counts(reported_at + milliseconds(3900)).second == 1U);
    // Later reports without targets keep the list of the last full one.
    pool.adopt_ejections(report, reported_at + milliseconds(3000));
    pool.adopt_ejections(report, reported_at + milliseconds(3900));
    BOOST_TEST(pool.rotation_counts(reported_at + milliseconds(4100)).second == 0U);
}
