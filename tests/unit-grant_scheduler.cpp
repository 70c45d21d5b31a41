#include <gtest/gtest.h>

#include "grant_scheduler_fixture.hpp"

// Choice of servers, and the state that the grant scheduler tracks of servers and dispatchers.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using std::chrono::milliseconds;

// Traffic between failure domains is expensive at some sites, and without a preference half of a
// moderate load crossed them.
TEST(GrantScheduler, PrefersServerInDispatchersFailureDomain) {
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
    EXPECT_EQ(with.granted.at(3).server, server_id{1}); // the nearer server is full
}

TEST(GrantScheduler, KnownServerAdoptsNewFailureDomain) {
    auto moved = make_server(1, 2);
    moved.failure_domain = "south";
    auto other = make_server(2, 2);
    other.failure_domain = "south";
    fixture with({moved, other});
    moved.failure_domain = "north";
    std::vector<decision> made;
    set_servers(with.scheduler, {moved, other}, with.now, made);
    auto work = with.make(1, 0);
    work.origin_domain = {hash_name("south")};
    with.ask(work);
    EXPECT_EQ(with.granted.at(1).server, server_id{2});
}

} // namespace

TEST(GrantScheduler, GrantsFreeServerThenMostUrgentQueuedRequest) {
    fixture f({make_server(1)});
    f.ask(f.make(1, 2));
    EXPECT_EQ(f.granted.at(1).address, "10.0.0.1:80");
    f.ask(f.make(2, 2));
    f.ask(f.make(3, 0));
    EXPECT_FALSE(f.granted.contains(2) || f.granted.contains(3));
    f.report_update(1, grant_update::stage::done);
    EXPECT_TRUE(f.granted.contains(3));
    EXPECT_FALSE(f.granted.contains(2));
}

TEST(GrantScheduler, RequestAvoidsServerThatItCouldNotConnectTo) {
    fixture f({make_server(1), make_server(2)});
    auto work = f.make(1, 0);
    f.ask(work);
    const auto first = f.granted.at(1).server;
    f.ask(work, previous_grant::not_connected);
    EXPECT_NE(f.granted.at(1).server, first);
}

// Each request that is sent to an unreachable server loses the time of a connection attempt.
TEST(GrantScheduler, OtherRequestsAvoidUnreachableServer) {
    fixture f({make_server(1, 4), make_server(2, 4), make_server(3, 4)});
    f.ask(f.make(1, 0));
    const auto unreachable = f.granted.at(1).server;
    f.ask(f.make(1, 0), previous_grant::not_connected);
    for (std::uint64_t sequence = 2; sequence <= 8; ++sequence) {
        f.ask(f.make(sequence, 0));
        ASSERT_TRUE(f.granted.contains(sequence));
        EXPECT_NE(f.granted.at(sequence).server, unreachable);
    }
}

TEST(GrantScheduler, DrainingServerGetsNoRequests) {
    auto draining_server = make_server(1, 4);
    fixture f({draining_server, make_server(2, 1)});
    draining_server.state = config::server_state::draining;
    std::vector<decision> made;
    set_servers(f.scheduler, {draining_server, make_server(2, 1)}, f.now, made);
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0));
    EXPECT_EQ(f.granted.at(1).server, server_id{2});
    EXPECT_FALSE(f.granted.contains(2));
}

// A draining server announces it seconds before the list shows it.
TEST(GrantScheduler, ServerNoticeOfDrainingOverridesServerList) {
    fixture f({make_server(1, 4), make_server(2, 4)});
    f.ask(f.make(1, 0));
    const auto draining_server = f.granted.at(1).server;
    f.handle_notice({.server = draining_server, .dispatcher = {1}});
    std::vector<decision> made;
    set_servers(f.scheduler, {make_server(1, 4), make_server(2, 4)}, f.now, made);
    for (std::uint64_t sequence = 2; sequence <= 5; ++sequence) {
        f.ask(f.make(sequence, 0, 2));
        ASSERT_TRUE(f.granted.contains(sequence));
        EXPECT_NE(f.granted.at(sequence).server, draining_server);
    }
}

TEST(GrantScheduler, RefusesQueuedRequestsWhenLastServerDrains) {
    fixture f({make_server(1)});
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0));
    f.handle_notice({.server = {1}, .dispatcher = {1}});
    EXPECT_EQ(f.refused.at(2).why, reason::no_server);
    EXPECT_GT(f.refused.at(2).retry_after, duration{});
}

TEST(GrantScheduler, BackoffAppliesOnlyToTheDispatcherThatReceivedIt) {
    fixture f({make_server(1, 4), make_server(2, 4)});
    f.handle_notice({.server = {1}, .dispatcher = {1}, .backoff = std::chrono::seconds{2}});
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        f.ask(f.make(sequence, 0, 1));
        EXPECT_EQ(f.granted.at(sequence).server, server_id{2});
    }
    f.ask(f.make(4, 0, 7));
    EXPECT_EQ(f.granted.at(4).server, server_id{1}) << "another dispatcher is not affected";
    f.now += milliseconds{2'100};
    f.ask(f.make(5, 0, 1));
    EXPECT_EQ(f.granted.at(5).server, server_id{1});
}

TEST(GrantScheduler, RefusesWithShortestBackoffWhenAllServersBackOff) {
    fixture f({make_server(1, 4), make_server(2, 1)});
    f.handle_notice({.server = {1}, .dispatcher = {1}, .backoff = std::chrono::seconds{3}});
    f.ask(f.make(1, 0, 1));
    f.ask(f.make(2, 0, 1));
    EXPECT_FALSE(f.granted.contains(2) || f.refused.contains(2)) << "waits for the other server";
    f.handle_notice({.server = {2}, .dispatcher = {1}, .backoff = milliseconds{700}});
    EXPECT_EQ(f.refused.at(2).retry_after, milliseconds{700});
    f.ask(f.make(3, 0, 1));
    EXPECT_EQ(f.refused.at(3).retry_after, milliseconds{700});
}

TEST(GrantScheduler, BoundsExcessiveBackoff) {
    fixture f({make_server(1, 4)});
    f.handle_notice({.server = {1}, .dispatcher = {1}, .backoff = std::chrono::hours{24 * 365}});
    f.now += std::chrono::seconds{61};
    f.ask(f.make(1, 0));
    EXPECT_TRUE(f.granted.contains(1));
}

// The dispatcher may know of a server notice that has not reached the grant scheduler yet.
TEST(GrantScheduler, UnusedGrantIsRequestedAgainAndChargedOnce) {
    fixture f({make_server(1, 1), make_server(2, 1)});
    admission::set_limits(f.scheduler.quotas,
                          {{workspace_id{3}, {.units_per_second = 10, .burst = 10}}}, f.now);
    auto work = f.make(1, 0);
    work.workspace = {3};
    work.quota_units = 10;
    f.ask(work);
    const auto draining_server = f.granted.at(1).server;
    f.handle_notice({.server = draining_server, .dispatcher = {1}});
    f.ask(work, previous_grant::unused);
    ASSERT_TRUE(f.granted.contains(1)) << "one request is charged once";
    EXPECT_NE(f.granted.at(1).server, draining_server);
    EXPECT_TRUE(routing::allows(f.scheduler.decisions.servers.at(draining_server).breaker, f.now));
    EXPECT_EQ(f.scheduler.decisions.servers.at(draining_server).in_flight, 0U);
}

TEST(GrantScheduler, UnusedGrantsDoNotCountAsServerFailures) {
    fixture f({make_server(1, 1)});
    const auto work = f.make(1, 0);
    f.ask(work);
    constexpr int many = 20;
    for (int round = 0; round < many; ++round) {
        f.granted.clear();
        f.ask(work, previous_grant::unused);
        ASSERT_TRUE(f.granted.contains(1)) << "after " << round << " grants";
    }
    EXPECT_TRUE(routing::allows(f.scheduler.decisions.servers.at(server_id{1}).breaker, f.now));
}

// A lost grant must not occupy its slot for ever; it is detected because the dispatcher's reports
// don't list it.
TEST(GrantScheduler, RevokesGrantMissingFromDispatcherReports) {
    fixture f({make_server(1)});
    f.report({.dispatcher = {1}, .started_as = {5}});
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0));
    f.report({.dispatcher = {1}, .started_as = {5}, .waiting = {2}});
    EXPECT_FALSE(f.granted.contains(2)) << "the report may have been sent before the grant arrived";
    f.now += milliseconds{1'600};
    f.report({.dispatcher = {1}, .started_as = {5}, .waiting = {2}});
    EXPECT_TRUE(f.granted.contains(2));
}

TEST(GrantScheduler, RestartedDispatcherRunsNoEarlierRequests) {
    fixture f({make_server(1)});
    f.report({.dispatcher = {1}, .started_as = {5}});
    f.ask(f.make(1, 0));
    f.ask(f.make(2, 0, 2));
    f.report({.dispatcher = {1}, .started_as = {6}});
    EXPECT_TRUE(f.granted.contains(2));
}

TEST(GrantScheduler, NewGrantSchedulerAdoptsRunningRequests) {
    fixture f({make_server(1)});
    f.report(
        {.dispatcher = {1}, .started_as = {5}, .running = {{.work = f.make(9, 0), .server = {1}}}});
    f.ask(f.make(1, 0));
    EXPECT_FALSE(f.granted.contains(1)) << "the only slot is taken";
    f.report_update(9, grant_update::stage::done);
    EXPECT_TRUE(f.granted.contains(1));
}

// While a new leader is not known yet, it gets no updates about requests that end. A request that
// one report lists and the next one doesn't has therefore ended. Waiting longer left most slots of
// a service empty for seconds after each change of leader.
TEST(GrantScheduler, RequestMissingFromNextReportHasEnded) {
    fixture f({make_server(1)});
    const auto running = f.make(1, 0, 7);
    f.report({.dispatcher = {7}, .started_as = {5}, .running = {{.work = running, .server = {1}}}});
    f.ask(f.make(2, 0, 8));
    EXPECT_TRUE(f.granted.empty()) << "the server's only slot is taken";
    f.now += milliseconds{100};
    f.report({.dispatcher = {7}, .started_as = {5}});
    EXPECT_EQ(f.granted.count(2), 1U);
}

TEST(GrantScheduler, TimedOutDispatcherFreesItsSlots) {
    fixture f({make_server(1)});
    f.report({.dispatcher = {2}, .started_as = {5}});
    f.ask(f.make(1, 0, 2));
    f.ask(f.make(2, 0));
    f.now += std::chrono::seconds{5};
    std::vector<decision> made;
    tick(f.scheduler, f.now, made);
    f.store_results(made);
    EXPECT_TRUE(f.granted.contains(2));
}
