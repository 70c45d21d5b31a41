#include <gtest/gtest.h>

#include "grant_desk_fixture.hpp"

// Which server a request gets, and what the desk knows of servers and of holders of grants.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using std::chrono::milliseconds;

// Bytes between failure domains are dear at some sites: half of the calm load went across.
TEST(GrantDesk, AServerNearTheHolderIsPreferredAmongEquals) {
    auto far = make_server(1, 2);
    far.failure_domain = "north";
    auto near = make_server(2, 2);
    near.failure_domain = "south";
    fixture with({far, near});
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        auto work = with.make(sequence, 0);
        work.origin_domain = {hash_name("south")};
        with.ask(work);
    }
    ASSERT_EQ(with.granted.size(), 3U);
    EXPECT_EQ(with.granted.at(1).server, server_id{2});
    EXPECT_EQ(with.granted.at(2).server, server_id{2});
    EXPECT_EQ(with.granted.at(3).server, server_id{1}); // the near one is full
}

TEST(GrantDesk, AKnownServerTakesOverANewFailureDomain) {
    auto moved = make_server(1, 2);
    moved.failure_domain = "south";
    auto other = make_server(2, 2);
    other.failure_domain = "south";
    fixture with({moved, other});
    moved.failure_domain = "north";
    std::vector<decision> made;
    set_servers(with.desk, {moved, other}, with.now, made);
    auto work = with.make(1, 0);
    work.origin_domain = {hash_name("south")};
    with.ask(work);
    EXPECT_EQ(with.granted.at(1).server, server_id{2});
}

} // namespace

TEST(GrantDesk, GrantsAFreeServerAndThenTheMostUrgentThatWaits) {
    fixture f({make_server(1)});
    f.ask(f.make(1, 2));
    EXPECT_EQ(f.granted.at(1).address, "10.0.0.1:80");
    f.ask(f.make(2, 2));
    f.ask(f.make(3, 0));
    EXPECT_FALSE(f.granted.contains(2) || f.granted.contains(3));
    f.tell(1, grant_news::what::done);
    EXPECT_TRUE(f.granted.contains(3));
    EXPECT_FALSE(f.granted.contains(2));
}

TEST(GrantDesk, AServerOutOfReachIsNotTriedTwiceByOneRequest) {
    fixture f({make_server(1), make_server(2)});
    auto work = f.make(1, 0);
    f.ask(work);
    const auto first = f.granted.at(1).server;
    f.ask(work, earlier_grant::not_connected);
    EXPECT_NE(f.granted.at(1).server, first);
}

// Each request that is sent to a server that is gone loses the time of a connection.
TEST(GrantDesk, AServerOutOfReachIsLeftOutForOtherRequestsToo) {
    fixture f({make_server(1, 4), make_server(2, 4), make_server(3, 4)});
    f.ask(f.make(1, 0));
    const auto gone = f.granted.at(1).server;
    f.ask(f.make(1, 0), earlier_grant::not_connected);
    for (std::uint64_t sequence = 2; sequence <= 8; ++sequence) {
        f.ask(f.make(sequence, 0));
        ASSERT_TRUE(f.granted.contains(sequence));
        EXPECT_NE(f.granted.at(sequence).server, gone);
    }
}

TEST(GrantDesk, ADrainingServerGetsNothing) {
    auto leaving = make_server(1, 4);
    fixture f({leaving, make_server(2, 1)});
    leaving.state = config::server_state::draining;
    std::vector<decision> made;
    set_servers(f.desk, {leaving, make_server(2, 1)}, f.now, made);
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0));
    EXPECT_EQ(f.granted.at(1).server, server_id{2});
    EXPECT_FALSE(f.granted.contains(2));
}

// A server that leaves says so seconds before the list does.
TEST(GrantDesk, AServerThatSaysItLeavesGetsNothingWhateverTheListSays) {
    fixture f({make_server(1, 4), make_server(2, 4)});
    f.ask(f.make(1, 0));
    const auto leaving = f.granted.at(1).server;
    f.notice({.server = leaving, .holder = {1}});
    std::vector<decision> made;
    set_servers(f.desk, {make_server(1, 4), make_server(2, 4)}, f.now, made);
    for (std::uint64_t sequence = 2; sequence <= 5; ++sequence) {
        f.ask(f.make(sequence, 0, 2));
        ASSERT_TRUE(f.granted.contains(sequence));
        EXPECT_NE(f.granted.at(sequence).server, leaving);
    }
}

TEST(GrantDesk, WhatWaitsForTheLastServerIsRefusedWhenThatLeaves) {
    fixture f({make_server(1)});
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0));
    f.notice({.server = {1}, .holder = {1}});
    EXPECT_EQ(f.refused.at(2).why, reason::no_server);
    EXPECT_GT(f.refused.at(2).retry_after, duration{});
}

TEST(GrantDesk, AServerThatAsksAHolderForAPauseGetsNothingFromThatHolder) {
    fixture f({make_server(1, 4), make_server(2, 4)});
    f.notice({.server = {1}, .holder = {1}, .pause = std::chrono::seconds{2}});
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        f.ask(f.make(sequence, 0, 1));
        EXPECT_EQ(f.granted.at(sequence).server, server_id{2});
    }
    f.ask(f.make(4, 0, 7));
    EXPECT_EQ(f.granted.at(4).server, server_id{1}) << "another holder is welcome";
    f.now += milliseconds{2'100};
    f.ask(f.make(5, 0, 1));
    EXPECT_EQ(f.granted.at(5).server, server_id{1});
}

TEST(GrantDesk, WhereAllServersWantAPauseTheShortestIsToldAtOnce) {
    fixture f({make_server(1, 4), make_server(2, 1)});
    f.notice({.server = {1}, .holder = {1}, .pause = std::chrono::seconds{3}});
    f.ask(f.make(1, 0, 1));
    f.ask(f.make(2, 0, 1));
    EXPECT_FALSE(f.granted.contains(2) || f.refused.contains(2)) << "waits for the other one";
    f.notice({.server = {2}, .holder = {1}, .pause = milliseconds{700}});
    EXPECT_EQ(f.refused.at(2).retry_after, milliseconds{700});
    f.ask(f.make(3, 0, 1));
    EXPECT_EQ(f.refused.at(3).retry_after, milliseconds{700});
}

TEST(GrantDesk, AnAbsurdPauseEnds) {
    fixture f({make_server(1, 4)});
    f.notice({.server = {1}, .holder = {1}, .pause = std::chrono::hours{24 * 365}});
    f.now += std::chrono::seconds{61};
    f.ask(f.make(1, 0));
    EXPECT_TRUE(f.granted.contains(1));
}

// The holder may know what the desk does not know yet.
TEST(GrantDesk, AGrantThatCameBackUnusedIsAskedForAgainAndChargedOnce) {
    fixture f({make_server(1, 1), make_server(2, 1)});
    admission::set_limits(f.desk.quotas, {{workspace_id{3}, {.units_per_second = 10, .burst = 10}}},
                          f.now);
    auto work = f.make(1, 0);
    work.workspace = {3};
    work.quota_units = 10;
    f.ask(work);
    const auto leaving = f.granted.at(1).server;
    f.notice({.server = leaving, .holder = {1}});
    f.ask(work, earlier_grant::unused);
    ASSERT_TRUE(f.granted.contains(1)) << "one request is charged once";
    EXPECT_NE(f.granted.at(1).server, leaving);
    EXPECT_TRUE(routing::allows(f.desk.decisions.servers.at(leaving).breaker, f.now));
    EXPECT_EQ(f.desk.decisions.servers.at(leaving).in_flight, 0U);
}

TEST(GrantDesk, GrantsThatCameBackUnusedAreNoFaultOfTheServer) {
    fixture f({make_server(1, 1)});
    const auto work = f.make(1, 0);
    f.ask(work);
    constexpr int many = 20;
    for (int again = 0; again < many; ++again) {
        f.granted.clear();
        f.ask(work, earlier_grant::unused);
        ASSERT_TRUE(f.granted.contains(1)) << "after " << again << " grants";
    }
    EXPECT_TRUE(routing::allows(f.desk.decisions.servers.at(server_id{1}).breaker, f.now));
}

// A lost grant must not keep its slot for ever: the holder's reports don't list it.
TEST(GrantDesk, AGrantThatItsHolderDoesNotKnowIsTakenBack) {
    fixture f({make_server(1)});
    f.report({.holder = {1}, .started_as = {5}});
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0));
    f.report({.holder = {1}, .started_as = {5}, .waiting = {2}});
    EXPECT_FALSE(f.granted.contains(2)) << "a report may have crossed the grant";
    f.now += milliseconds{1'600};
    f.report({.holder = {1}, .started_as = {5}, .waiting = {2}});
    EXPECT_TRUE(f.granted.contains(2));
}

TEST(GrantDesk, ARestartedHolderRunsNothingOfBefore) {
    fixture f({make_server(1)});
    f.report({.holder = {1}, .started_as = {5}});
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0, 2));
    f.report({.holder = {1}, .started_as = {6}});
    EXPECT_TRUE(f.granted.contains(2));
}

TEST(GrantDesk, ANewDeskLearnsWhatRuns) {
    fixture f({make_server(1)});
    f.report(
        {.holder = {1}, .started_as = {5}, .running = {{.work = f.make(9, 0), .server = {1}}}});
    f.ask(f.make(1, 0));
    EXPECT_FALSE(f.granted.contains(1)) << "the one slot is taken";
    f.tell(9, grant_news::what::done);
    EXPECT_TRUE(f.granted.contains(1));
}

// While a new leader is not known yet, nobody tells it that a request has ended; what one report
// names and the next one doesn't is over. Waiting longer left most slots of a service empty for
// seconds after each change of leaders.
TEST(GrantDesk, WhatTheNextReportLacksIsOver) {
    fixture f({make_server(1)});
    const auto running = f.make(1, 0, 7);
    f.report({.holder = {7}, .started_as = {5}, .running = {{.work = running, .server = {1}}}});
    f.ask(f.make(2, 0, 8));
    EXPECT_TRUE(f.granted.empty()) << "the server's one slot is taken";
    f.now += milliseconds{100};
    f.report({.holder = {7}, .started_as = {5}});
    EXPECT_EQ(f.granted.count(2), 1U);
}

TEST(GrantDesk, ASilentHolderFreesItsSlots) {
    fixture f({make_server(1)});
    f.report({.holder = {2}, .started_as = {5}});
    f.ask(f.make(1, 0, 2));
    f.ask(f.make(2, 0));
    f.now += std::chrono::seconds{5};
    std::vector<decision> made;
    tick(f.desk, f.now, made);
    f.take(made);
    EXPECT_TRUE(f.granted.contains(2));
}
