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

// Guards against recovered targets that stay idle: a request that hung before an ejection runs on
// until its timeout, and ejected the target again at the end of each ejection.
BOOST_AUTO_TEST_CASE(requests_sent_before_an_ejection_do_not_eject_the_target_again) {
    pool_fixture fixture;
    target_pool pool(service, fixture.directory, fixture.reports, target_pool_options{});
    const time_point sent = boot_clock::now();
    const target_ptr target = pool.choose({}, attempt_kind::final, sent);
    BOOST_REQUIRE(target != nullptr);
    const latency_model model(milliseconds(400));
    const running_attempt hanging{sent, &model};
    target->running.assign(2, &hanging);
    const time_point detected = sent + seconds(3);
    pool.check_target(*target, detected);
    BOOST_REQUIRE(pool.rotation_counts(detected).second == 1U);
    const time_point ended = target->evidence.ejected_until + milliseconds(1);
    pool.check_target(*target, ended);
    BOOST_TEST(pool.rotation_counts(ended).second == 0U);
    // Peers must not eject it for the same requests either.
    instance_report report;
    pool.add_to_report(report, ended);
    BOOST_TEST(report.targets[hash64("i-1")].overdue_suspicion == 0);
    BOOST_TEST(report.targets[hash64("i-1")].running == 2);
}

// Guards against the same: a target whose ejection has ended gets one request at a time, and a
// request that hung before the ejection took that place until its timeout.
BOOST_AUTO_TEST_CASE(requests_sent_before_an_ejection_do_not_block_the_first_one_after_it) {
    pool_fixture fixture;
    target_pool pool(service, fixture.directory, fixture.reports, target_pool_options{});
    const time_point sent = boot_clock::now();
    const target_ptr target = pool.choose({}, attempt_kind::final, sent);
    BOOST_REQUIRE(target != nullptr);
    const latency_model model(milliseconds(400));
    const running_attempt hanging{sent, &model};
    target->running.assign(2, &hanging);
    pool.check_target(*target, sent + seconds(3));
    const time_point ended = target->evidence.ejected_until + milliseconds(1);
    BOOST_TEST((pool.choose({}, attempt_kind::final, ended) == target));
    const running_attempt first{ended, &model};
    target->running.push_back(&first);
    BOOST_TEST((pool.choose({}, attempt_kind::final, ended + milliseconds(1)) == nullptr));
}
