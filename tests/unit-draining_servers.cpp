#include <gtest/gtest.h>

#include "tarragonspar/dispatch/draining_servers.hpp"

namespace {

using namespace tarragonspar;
using config::server_state;

constexpr server_id a{1};

std::vector<config::server> list_of(server_state state, std::uint64_t started_at_ms = 0) {
    config::server one{.id = a, .name = "a", .state = state};
    one.started_at_ms = started_at_ms;
    return {one};
}

server_state state_after(dispatch::draining_servers& known, std::vector<config::server> listed) {
    known.apply(listed);
    return listed.front().state;
}

} // namespace

// The server list lags by most of a second, and a previous leader may send an older one.
TEST(DrainingServers, OutdatedListDoesNotReactivateServer) {
    dispatch::draining_servers known;
    EXPECT_EQ(state_after(known, list_of(server_state::active)), server_state::active);
    EXPECT_TRUE(known.add(a, time_point{}));
    EXPECT_FALSE(known.add(a, time_point{})) << "each answer repeats the announcement";
    EXPECT_EQ(state_after(known, list_of(server_state::active)), server_state::draining);
    EXPECT_EQ(state_after(known, list_of(server_state::active)), server_state::draining);
}

TEST(DrainingServers, ServerListedAsDrainingReturnsAfterRestart) {
    dispatch::draining_servers known;
    known.add(a, time_point{});
    EXPECT_EQ(state_after(known, list_of(server_state::draining)), server_state::draining);
    EXPECT_EQ(state_after(known, list_of(server_state::active)), server_state::active);
    EXPECT_FALSE(known.contains(a));
    known.add(a, time_point{});
    std::vector<config::server> empty_list;
    known.apply(empty_list);
    EXPECT_EQ(state_after(known, list_of(server_state::active)), server_state::active);
}

TEST(DrainingServers, KnownStartTimeMustChangeForReactivation) {
    dispatch::draining_servers known;
    static_cast<void>(state_after(known, list_of(server_state::active, 1'000)));
    known.add(a, time_point{});
    EXPECT_EQ(state_after(known, list_of(server_state::draining, 1'000)), server_state::draining);
    EXPECT_EQ(state_after(known, list_of(server_state::active, 1'000)), server_state::draining)
        << "an older list that arrives late";
    EXPECT_EQ(state_after(known, list_of(server_state::active, 2'000)), server_state::active);
}
