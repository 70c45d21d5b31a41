// Control instances whose disks fail while they run.

#include <gtest/gtest.h>

#include "deployment_parts.hpp"
#include "full_disk.hpp"

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

// nilepaws-router, SHORT: the replica of a leader whose disk was full for a moment never started
// again, and the next loss left no majority for a publication.
TEST(Deployment, ALeaderWhoseDiskWasFullForAMomentIsAMemberAgain) {
    platform_deployment d(3, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    const auto failed = d.find_leader();
    const auto lost = (failed + 1) % 3;
    const auto left = (failed + 2) % 3;
    fill_open_log(d.data_folder(failed));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), left).status == 200; }));
    d.stop_control(lost);
    EXPECT_TRUE(wait_until([&] { return d.publish(make_manifest(3), left).status == 200; }));
}

// Entry instances went on with the leader that they knew, and put no later document in force.
TEST(Deployment, EntryInstancesLeaveALeaderWhoseDiskFailed) {
    platform_deployment d(3, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    ASSERT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    const auto failed = d.find_leader();
    lose_log(d.data_folder(failed));
    ASSERT_TRUE(wait_until(
        [&] { return d.publish(manifest_without_safe(2), (failed + 1) % 3).status == 200; }));
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 404; }));
}
