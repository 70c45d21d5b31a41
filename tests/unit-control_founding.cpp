// Founding of a closed control group: who takes which seat, and when the first election is held.

#include <gtest/gtest.h>

#include "control_group_fixture.hpp"
#include "tarragonspar/control/founding.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using control::founding_step;
using control::next_founding_step;

control::peer_report with_term(std::uint64_t term) {
    return {.term = {term}, .disk = control::founding_disk};
}

constexpr control::peer_report without_identity{};
constexpr control::peer_report seated{.disk = control::founding_disk};
constexpr control::peer_report joining{.disk = 77};

} // namespace

// Guards against a group that is founded while an instance can still come to another identity: its
// seat then stays a voter that never answers.
TEST(ControlFounding, FirstElectionWaitsForEverySeat) {
    EXPECT_EQ(next_founding_step(true, 2, {seated, without_identity}), founding_step::wait);
    EXPECT_EQ(next_founding_step(true, 2, {seated}), founding_step::wait);
    EXPECT_EQ(next_founding_step(true, 2, {seated, seated}), founding_step::run);
    EXPECT_EQ(next_founding_step(true, 2, {with_term(1)}), founding_step::run);
    EXPECT_EQ(next_founding_step(true, 0, {}), founding_step::run);
}

// Guards against an instance with a wiped disk that votes again under the identity that it lost.
TEST(ControlFounding, SeatIsTakenOnlyIfEveryPeerReportsNoGroup) {
    EXPECT_EQ(next_founding_step(false, 2, {seated, without_identity}), founding_step::take_seat);
    EXPECT_EQ(next_founding_step(false, 2, {seated}), founding_step::wait);
    EXPECT_EQ(next_founding_step(false, 2, {with_term(1)}), founding_step::join);
    EXPECT_EQ(next_founding_step(false, 2, {seated, with_term(4)}), founding_step::join);
    EXPECT_EQ(next_founding_step(false, 2, {without_identity, joining}), founding_step::join);
}

// Guards against two instances that found the group before the third has asked whether one exists.
TEST(ControlFounding, InstanceThatAsksLastGetsItsFoundingSeat) {
    control_group group;
    group[0].start();
    group[1].start();
    constexpr int several = 4;
    const auto someone_leads = [&] {
        return group[0].status().value("leader", 0) != 0 ||
               group[1].status().value("leader", 0) != 0;
    };
    ASSERT_TRUE(wait_until([&] {
        return someone_leads() ||
               (group[2].queries_from({1}) >= several && group[2].queries_from({2}) >= several);
    }));
    EXPECT_FALSE(someone_leads());
    group[2].start();
    ASSERT_TRUE(wait_until([&] { return group[2].status().value("is_voter", false); }));
    EXPECT_EQ(group[2].disk(), control::founding_disk);
    ASSERT_TRUE(wait_until([&] { return group[2].status().value("leader", 0) != 0; }));
    group[1].stop();
    group[1].wipe_disk();
    group[1].start();
    ASSERT_TRUE(wait_until([&] { return group[1].status().value("is_voter", false); }));
    EXPECT_NE(group[1].disk(), control::founding_disk);
}

// Guards against instances that restart during the founding and then hold an election early.
TEST(ControlFounding, RestartedFounderStillWaitsForEverySeat) {
    control_group group;
    group[0].start();
    group[1].start();
    ASSERT_TRUE(wait_until([&] { return group[0].disk() && group[1].disk(); }));
    group[0].stop();
    group[1].stop();
    const auto before = group[2].queries_from({1});
    group[0].start();
    group[1].start();
    constexpr int several = 4;
    ASSERT_TRUE(wait_until([&] {
        return group[0].status().value("term", 0) > 0 ||
               group[2].queries_from({1}) >= before + several;
    }));
    EXPECT_EQ(group[0].status().value("term", 0), 0);
    group[2].start();
    ASSERT_TRUE(wait_until([&] { return group[0].status().value("leader", 0) != 0; }));
    EXPECT_EQ(group[2].disk(), control::founding_disk);
}
