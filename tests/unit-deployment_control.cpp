#include <future>
#include <set>

#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Documents, control groups and their failures in a deployment on the platform.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

} // namespace

TEST(Deployment, TheNewestManifestIsInForceAndReadBack) {
    platform_deployment d(3, 2);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(5));
    EXPECT_EQ(d.publish("{\"version\":9,\"routes\":[").status, 400U);
    EXPECT_EQ(d.publish(make_manifest(0)).status, 400U);
    EXPECT_EQ(d.publish(make_manifest(4), 1).status, 200U) << "an older one changes nothing";
    EXPECT_EQ(d.publish(make_manifest(5), 2).status, 200U) << "a resend is acknowledged";
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(7), 1).status == 200; }));
    for (std::size_t control = 0; control < 3; ++control) {
        ASSERT_TRUE(wait_until([&] { return d.read_back(control).status == 200; }));
        EXPECT_EQ(d.read_back(control).body, make_manifest(7)) << control;
    }
    // With a majority, acknowledged documents stay readable. Without one, no document is proved to
    // be the newest.
    d.stop_control(0);
    ASSERT_TRUE(wait_until([&] { return d.read_back(1).status == 200; }));
    EXPECT_EQ(d.read_back(1).body, make_manifest(7));
    d.stop_control(2);
    ASSERT_TRUE(wait_until([&] { return d.read_back(1).status == 503; }));
    EXPECT_NE(d.publish(make_manifest(8), 1).status, 200U);
}

// Control instances don't send documents older than the reported number. An entry instance checks
// the number itself as well, since the sender may be wrong about it.
TEST(Deployment, AnEntryInstanceIgnoresAnOlderManifest) {
    const auto server = make_healthy_server("i-1");
    stub_control_instance control(server);
    platform_deployment d;
    control.start(d.control_wire());
    d.start_entry(0);
    control.set_document(7, make_manifest(7));
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    auto older = nlohmann::json::parse(make_manifest(5));
    older["routes"] = nlohmann::json::array({older["routes"][1]});
    control.set_document(5, older.dump());
    const auto sent_before = control.updates_sent();
    ASSERT_TRUE(wait_until([&] { return control.updates_sent() > sent_before + 3; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U)
        << "the older manifest lacks this route";
    control.set_document(8, older.dump());
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 404; }));
}

// After all instances had been killed and started again, entry instances put the document of a
// control instance's snapshot in force and refused what newer documents allow.
TEST(Deployment, ARestartedEntryInstanceRefusesNothingByAnUnconfirmedManifest) {
    const auto server = make_healthy_server("i-1");
    stub_control_instance control(server);
    platform_deployment d;
    control.start(d.control_wire());
    auto older = nlohmann::json::parse(make_manifest(5));
    older["routes"] = nlohmann::json::array({older["routes"][1]});
    control.set_document(5, older.dump());
    control.set_knows_newest(false);
    d.start_entry(0);
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 503U);
    control.set_document(7, make_manifest(7));
    control.set_knows_newest(true);
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    EXPECT_EQ(d.call("GET", "/nowhere/x", "", {}).status, 404U);
}

// After a restart of all instances, each entry instance got the whole document with every answer as
// long as no leader had confirmed it.
TEST(Deployment, ARestartedEntryInstanceGetsAnUnconfirmedManifestOnce) {
    const auto server = make_healthy_server("i-1");
    stub_control_instance control(server);
    platform_deployment d;
    d.add_server(server, "s");
    control.start(d.control_wire());
    control.set_document(5, make_manifest(5));
    control.set_knows_newest(false);
    d.start_entry(0);
    ASSERT_TRUE(wait_until([&] { return control.updates_sent() > control.reports_that_lack_it(); }))
        << "every answer brings the whole document";
    EXPECT_EQ(d.ready().status, 503U) << "it was reported only once it was in force";
    const auto before = control.reports_that_lack_it();
    const auto answers = control.updates_sent();
    ASSERT_TRUE(wait_until([&] { return control.updates_sent() > answers + 5; }));
    control.set_knows_newest(true);
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    EXPECT_EQ(control.reports_that_lack_it(), before);
}

// An entry instance that had missed the last document answered 404 for its routes as long as no
// leader was in reach. Callers don't return after a 404.
TEST(Deployment, AnEntryInstanceWithoutALeaderRefusesNothingForGood) {
    platform_deployment d(1, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/nowhere/x", "", {}).status == 404; }));
    d.stop_control(0);
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/nowhere/x", "", {}).status == 503; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    d.start_control(0, false);
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/nowhere/x", "", {}).status == 404; }));
}

TEST(Deployment, AWipedControlInstanceRejoinsWithoutItsOldVote) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), 1).status == 200; }));
    d.wipe_control(0);
    d.start_control(0, false);
    ASSERT_TRUE(wait_until([&] { return d.read_back(0).status == 200; }));
    EXPECT_EQ(d.read_back(0).body, make_manifest(2));
    // The new member is a voter, so another one may fail.
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(3), 0).status == 200; }));
    std::this_thread::sleep_for(std::chrono::seconds{3});
    d.stop_control(1);
    EXPECT_TRUE(wait_until([&] { return d.publish(make_manifest(4), 0).status == 200; }));
}

// The settings of a replaced instance may name only members that don't lead, for example when the
// leader was added later. The instance then queried these members forever, and the next loss left
// no majority.
TEST(Deployment, AControlInstanceJoinsThroughMembersThatDoNotLead) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), 1).status == 200; }));
    // At most one of the two leads.
    for (const std::size_t contact : {1UL, 2UL}) {
        d.wipe_control(0);
        d.start_control(0, false, {contact});
        EXPECT_TRUE(wait_until([&] { return d.read_back(0).status == 200; }))
            << "through instance " << contact;
    }
}

// The instance returns with a log in which it is still a voter. It did not ask to join, had no
// leader and answered no read as long as it ran.
TEST(Deployment, AControlInstanceThatWasRemovedAsAbsentRejoins) {
    platform_deployment d(4, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    constexpr auto is_voter = "tarragonspar_control_replica_is_voter";
    ASSERT_TRUE(wait_until([&] { return d.is_set(is_voter, 3); }));
    ASSERT_TRUE(wait_until([&] { return d.read_back(3).status == 200; }));
    d.stop_control(3);
    // Longer than a voter may be absent before it is removed.
    std::this_thread::sleep_for(std::chrono::seconds{10});
    d.start_control(3, false);
    EXPECT_TRUE(wait_until([&] { return d.read_back(3).status == 200; }));
}

// Two instances that were replaced one after the other stayed voters for good: each prevented the
// other's removal, and the loss of one more disk left no majority.
TEST(Deployment, AControlGroupSurvivesALostDiskAfterTwoReplacements) {
    constexpr std::size_t first_size = 4;
    platform_deployment d(first_size + 2, 1);
    const auto start_controls = [&](const std::vector<std::size_t>& indexes, bool first_start) {
        for (const auto index : indexes) {
            d.start_control(index, first_start, {0, 1, 2});
        }
    };
    start_controls({0, 1, 2, 3}, true);
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(1), 1).status == 200; }));
    ASSERT_TRUE(wait_until([&] { return d.read_back(3).status == 200; }));
    std::set<std::size_t> running{0, 1, 2, 3};
    for (const std::size_t successor : {first_size, first_size + 1}) {
        const auto gone = d.find_leader();
        d.stop_control(gone);
        running.erase(gone);
        const std::vector<std::size_t> seeds(running.begin(), running.end());
        d.start_control(successor, false, seeds);
        running.insert(successor);
        ASSERT_TRUE(wait_until([&] { return d.read_back(successor).status == 200; }));
        // The least time between two losses; after the second one, time for both removals.
        std::this_thread::sleep_for(std::chrono::seconds{successor == first_size ? 6 : 12});
    }
    const auto any = *running.begin();
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), any).status == 200; }));
    for (const auto index : running) {
        d.stop_control(index);
    }
    d.wipe_control(*running.rbegin());
    const std::vector<std::size_t> seeds(running.begin(), std::prev(running.end()));
    for (const auto index : running) {
        d.start_control(index, false, seeds);
    }
    ASSERT_TRUE(wait_until([&] { return d.read_back(any).status == 200; }));
    EXPECT_EQ(d.read_back(any).body, make_manifest(2));
}

TEST(Deployment, RequestsAreServedWhileNoControlInstanceRuns) {
    platform_deployment d(1, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    d.stop_control(0);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    }
}

// A restarted instance knows only the founders, and none of them is reachable.
TEST(Deployment, ARestartedEntryInstanceGetsItsStateFromPeers) {
    platform_deployment d(1, 3);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    for (const std::size_t entry : {1U, 2U}) {
        ASSERT_TRUE(wait_until([&] { return d.ready(entry).status == 200; }));
    }
    // Leaves time for a few answers of the control group, each of which names some peers.
    std::this_thread::sleep_for(std::chrono::seconds{1});
    d.stop_control(0);
    d.stop_entry(0);
    d.start_entry(0);
    ASSERT_TRUE(wait_until([&] { return d.ready(0).status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
}

// Right after its start an instance has no catalogue and no servers. When it refused requests,
// callers retried only a second later; after a power loss that affected most callers.
TEST(Deployment, HoldsRequestsThatArriveRightAfterAStart) {
    platform_deployment d(1, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    d.stop_entry(0);
    d.start_entry(0);
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    EXPECT_EQ(d.call("GET", "/nowhere/x", "", {}).status, 404U);
}

// Without contact with the control group, running requests go on and are not started again
// elsewhere.
TEST(Deployment, RunningRequestsSurviveTheLossOfTheControlGroup) {
    std::atomic<bool> finish{false};
    const scripted_server slow("i-1",
                               [&](const received_request& request, asio::ip::tcp::socket& socket) {
                                   while (!finish) {
                                       std::this_thread::sleep_for(std::chrono::milliseconds{10});
                                   }
                                   write_raw(socket, complete_answer(request, "done"));
                               });
    platform_deployment d;
    d.add_server(slow, "s");
    d.start_with(make_manifest(1));
    platform_deployment::answer answer;
    std::thread caller([&] { answer = d.call_with_headers("POST", "/unsafe/x", "b"); });
    ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 1; }));
    d.stop_control(0);
    std::this_thread::sleep_for(std::chrono::milliseconds{1'000});
    finish = true;
    caller.join();
    EXPECT_EQ(answer.body, "done");
    EXPECT_EQ(slow.seen().size(), 1U);
}

// A new leader that had the report of only one of several entry instances answered that there was
// only one, so that this instance used all quotas and all slots.
TEST(Deployment, ANewLeaderPassesOnTheReportedDeploymentSize) {
    gateway::entry_report report;
    report.open = {.dispatcher = {77}, .started_as = {5}};
    report.entry_instances = 7;
    const auto server = make_healthy_server("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start_control(0, true);
    stub_control_instance handler(server);
    wire::node node({.self = {77},
                     .listen = {.address = "127.0.0.1", .port = free_port()},
                     .locate = [&](instance_id) { return std::optional{d.control_wire()}; }},
                    handler);
    ASSERT_EQ(node.start(), "");
    std::uint32_t reported_size = 0;
    ASSERT_TRUE(wait_until([&] {
        std::promise<std::optional<wire::answer>> answered;
        node.ask(*settings::parse_instance_address(d.control_wire().address),
                 wire::topic::entry_report, gateway::pack(report, runtime::now()),
                 [&](std::optional<wire::answer> answer) { answered.set_value(answer); });
        const auto answer = answered.get_future().get();
        const auto update = answer && answer->known
                                ? gateway::unpack_control_update(answer->payload)
                                : std::nullopt;
        reported_size = update ? update->entry_instances : 0;
        return update && update->schedules;
    }));
    EXPECT_EQ(reported_size, 7U);
    node.stop();
}
