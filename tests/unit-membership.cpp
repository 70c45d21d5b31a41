#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "generators.hpp"
#include "tarragonspar/membership/ownership.hpp"
#include "tarragonspar/membership/view.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::membership;
using tarragonspar::testing::at_ms;

member make_member(std::uint32_t id, std::uint64_t started, std::uint32_t version,
                   member_status status) {
    return {.id = {id}, .started_as = {started}, .version = version, .status = status};
}

view make_view_with_two_peers() {
    return make_view({}, make_member(1, 10, 0, member_status::alive), {{2}, {3}}, at_ms(0));
}

std::map<server_id, config::server> make_servers(std::uint32_t count, std::uint32_t domains) {
    std::map<server_id, config::server> servers;
    for (std::uint32_t i = 1; i <= count; ++i) {
        servers[{i}] = {.id = {i}, .failure_domain = std::to_string(i % domains)};
    }
    return servers;
}

} // namespace

TEST(View, APeerIsUsableOnceItWasObserved) {
    auto v = make_view_with_two_peers();
    EXPECT_EQ(usable_instances(v), std::vector<instance_id>{{1}});
    EXPECT_TRUE(apply_update(v, make_member(2, 5, 0, member_status::alive), at_ms(1)));
    EXPECT_EQ(usable_instances(v), (std::vector<instance_id>{{1}, {2}}));
}

TEST(View, ASuspectIsDeclaredDeadOnlyAfterTheTimeout) {
    auto v = make_view_with_two_peers();
    apply_update(v, make_member(2, 5, 0, member_status::alive), at_ms(0));
    on_probe_timeout(v, {2}, at_ms(100));
    EXPECT_EQ(usable_instances(v).size(), 2U);
    expire_suspects(v, at_ms(2000));
    EXPECT_EQ(usable_instances(v).size(), 2U);
    expire_suspects(v, at_ms(2700));
    EXPECT_EQ(usable_instances(v).size(), 1U);
}

TEST(View, AStatementAgainstThisInstanceIsRefuted) {
    auto v = make_view_with_two_peers();
    apply_update(v, make_member(1, 10, 0, member_status::suspect), at_ms(1));
    EXPECT_EQ(v.self.version, 1U);
    EXPECT_TRUE(overrules(v.self, make_member(1, 10, 0, member_status::dead)));
}

TEST(View, ALaterIncarnationOverrulesADeath) {
    auto v = make_view_with_two_peers();
    apply_update(v, make_member(2, 5, 7, member_status::dead), at_ms(1));
    EXPECT_FALSE(apply_update(v, make_member(2, 5, 7, member_status::alive), at_ms(2)));
    EXPECT_TRUE(apply_update(v, make_member(2, 6, 0, member_status::alive), at_ms(3)));
    EXPECT_EQ(live_incarnation(v, {2}), incarnation{6});
}

TEST(View, InstanceThatShutsDownIsNotUsable) {
    auto v = make_view_with_two_peers();
    announce_shutdown(v);
    EXPECT_TRUE(usable_instances(v).empty());
}

TEST(View, EachPeerIsContactedOncePerRound) {
    auto v = make_view_with_two_peers();
    std::mt19937_64 random(1);
    for (int round = 0; round < 5; ++round) {
        const std::set<instance_id> contacted{*next_target(v, random), *next_target(v, random)};
        EXPECT_EQ(contacted.size(), 2U);
    }
}

// Views converge for any order and repetition of the same statements.
RC_GTEST_PROP(View, ConvergesInAnyOrder, ()) {
    std::vector<member> statements;
    const auto count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
        statements.push_back(make_member(2, *rc::gen::inRange<std::uint64_t>(1, 4),
                                         *rc::gen::inRange<std::uint32_t>(0, 3),
                                         static_cast<member_status>(*rc::gen::inRange(0, 4))));
    }
    auto first = make_view_with_two_peers();
    auto second = make_view_with_two_peers();
    for (const auto& item : statements) {
        apply_update(first, item, at_ms(0));
    }
    std::reverse(statements.begin(), statements.end());
    for (const auto& item : statements) {
        apply_update(second, item, at_ms(0));
        apply_update(second, item, at_ms(0));
    }
    RC_ASSERT(first.others.at({2}).what == second.others.at({2}).what);
}

TEST(Ownership, AServerIsOwnedInItsFailureDomain) {
    const auto servers = make_servers(40, 4);
    std::vector<live_instance> live;
    for (std::uint32_t i = 1; i <= 8; ++i) {
        live.push_back({.id = {i}, .failure_domain = std::to_string(i % 4)});
    }
    for (const auto& [id, owner] : assign_owners(servers, live)) {
        EXPECT_EQ(id.value % 4, owner.value % 4);
    }
}

TEST(Ownership, OnlyServersOfALostInstanceChangeOwner) {
    const auto servers = make_servers(200, 1);
    std::vector<live_instance> live;
    for (std::uint32_t i = 1; i <= 5; ++i) {
        live.push_back({.id = {i}, .failure_domain = "0"});
    }
    const auto before = assign_owners(servers, live);
    live.pop_back();
    for (const auto& [id, owner] : assign_owners(servers, live)) {
        if (before.at(id) != instance_id{5}) {
            EXPECT_EQ(owner, before.at(id));
        }
    }
}

TEST(Ownership, OtherDomainsOwnServersOfADomainWithoutInstances) {
    const auto servers = make_servers(8, 2);
    const auto owners = assign_owners(servers, {{.id = {7}, .failure_domain = "0"}});
    EXPECT_EQ(owners.size(), servers.size());
}
