// Control instances whose disks fail while they run.

#include <future>

#include <gtest/gtest.h>

#include "deployment_parts.hpp"
#include "full_disk.hpp"
#include "stalled_disk.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

/// A manifest without the route `safe`.
std::string manifest_without_safe(int version) {
    auto changed = nlohmann::json::parse(make_manifest(version));
    changed["routes"].erase(changed["routes"].begin());
    return changed.dump();
}

} // namespace

// Regression (incident SHORT at nilepaws-router): the replica of a leader whose disk was full for a
// moment did not restart, so that the next loss left no majority for a publication.
TEST(Deployment, ALeaderRejoinsAfterItsDiskWasFull) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    const auto failed = d.find_leader();
    const auto stopped = (failed + 1) % 3;
    const auto remaining = (failed + 2) % 3;
    const auto identity = read_bytes(d.data_folder(failed) / "identity");
    fill_open_log(d.data_folder(failed));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), remaining).status == 200; }));
    d.stop_control(stopped);
    EXPECT_TRUE(wait_until([&] { return d.publish(make_manifest(3), remaining).status == 200; }));
    // A full disk is no damage: the replica keeps its files and its identity.
    EXPECT_EQ(read_bytes(d.data_folder(failed) / "identity"), identity);
    EXPECT_FALSE(std::filesystem::exists(d.data_folder(failed) / "log.damaged"));
}

// Entry instances stayed with the leader whose disk had failed and put no later document in force.
TEST(Deployment, EntryInstancesAbandonALeaderWhoseDiskFailed) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    const auto failed = d.find_leader();
    lose_log(d.data_folder(failed));
    ASSERT_TRUE(wait_until(
        [&] { return d.publish(manifest_without_safe(2), (failed + 1) % 3).status == 200; }));
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 404; }));
}

// A leader whose thread waited for its disk told entry instances that there was no newer document,
// while another leader had accepted one.
TEST(Deployment, EntryInstancesAbandonALeaderWhoseDiskStalls) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    const auto stalled = d.find_leader();
    const stalled_disk disk(d.data_folder(stalled));
    ASSERT_TRUE(wait_until(
        [&] { return d.publish(manifest_without_safe(2), (stalled + 1) % 3).status == 200; }));
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 404; }));
    EXPECT_TRUE(stalled_disk::is_waited_for()) << "the disk must stall all the while";
}

// A leader that had lost its lease had forgotten the servers and the requests that wait when it
// went on: it must serve as a new leader does. The other voter can't be elected alone.
TEST(Deployment, ALeaderWhoseDiskStalledBrieflyServesAgain) {
    platform_deployment d(2, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    const auto stalled = d.find_leader();
    std::future<caller_result> publication;
    {
        const stalled_disk disk(d.data_folder(stalled));
        publication =
            std::async(std::launch::async, [&] { return d.publish(make_manifest(2), stalled); });
        ASSERT_TRUE(wait_until([] { return stalled_disk::is_waited_for(); }));
        // Longer than a lease, shorter than the time after which a leader steps down.
        std::this_thread::sleep_for(std::chrono::milliseconds{1'300});
        EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U) << "without the leader";
    }
    publication.get();
    ASSERT_TRUE(
        wait_until([&] { return d.publish(manifest_without_safe(3), stalled).status == 200; }));
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 404; }));
    // While the leader collects reports, and when it grants again.
    for (int i = 0; i < 50; ++i) {
        ASSERT_EQ(d.call("GET", "/once/x", "", {}).status, 200U) << "call " << i;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

// At another operator, changes were refused long after the last of several disks had room again.
TEST(Deployment, ChangesAreAcceptedAfterDisksWereFullOneAfterAnother) {
    constexpr std::size_t controls = 3;
    platform_deployment d(controls, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    int version = 1;
    for (std::size_t turn = 0; turn < 2 * controls; ++turn) {
        const auto full = turn < controls ? d.find_leader() : turn % controls;
        fill_open_log(d.data_folder(full));
        ++version;
        for (std::size_t i = 1; i <= controls; ++i) {
            static_cast<void>(d.publish(make_manifest(version), (full + i) % controls));
        }
        ASSERT_TRUE(wait_until([&] {
            return d.publish(make_manifest(version), (full + 1) % controls).status == 200;
        })) << "turn "
            << turn;
        ASSERT_TRUE(wait_until(
            [&] { return d.is_set("tarragonspar_control_replica_runs", full); })) // it rejoins
            << "turn " << turn;
    }
    for (std::size_t control = 0; control < controls; ++control) {
        ++version;
        EXPECT_TRUE(wait_until([&] {
            return d.publish(make_manifest(version), control).status == 200;
        })) << control;
        EXPECT_TRUE(wait_until([&] { return d.read_back(control).body == make_manifest(version); }))
            << control;
    }
}
