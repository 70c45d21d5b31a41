// Configuration and keys across complete instances: races, retries, restarts, lost disks,
// partitions.

#include <algorithm>

#include <gtest/gtest.h>

#include "full_disk.hpp"
#include "system_fixture.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using nlohmann::json;

std::string profile_change(const std::string& id, const std::string& name, int urgency,
                           std::optional<std::uint64_t> expected = std::nullopt) {
    json change{{"id", id},
                {"author", "amal"},
                {"put_profile", {{"name", name}, {"tier", urgency}, {"deadline_ms", 9000}}}};
    if (expected) {
        change["expected"] = *expected;
    }
    return change.dump();
}

caller_result publish(const deployment& d, std::size_t index, const std::string& change) {
    return call(d.port(index), "POST", "/admin/changes", change);
}

bool all_have(const deployment& d, std::size_t count, std::uint64_t revision) {
    for (std::size_t i = 0; i < count; ++i) {
        if (d.revision_at(i) != revision) {
            return false;
        }
    }
    return true;
}

std::string profile_deletion(const std::string& id, const std::string& name) {
    return json{{"id", id}, {"author", "amal"}, {"delete_profile", name}}.dump();
}

/// Whether the instance at `index` considers all instances of `others` alive.
bool is_in_contact(const deployment& d, std::size_t index, const std::vector<std::size_t>& others) {
    const auto status = d.status(index);
    if (!status.is_object()) {
        return false;
    }
    return std::all_of(others.begin(), others.end(), [&](std::size_t other) {
        const auto& members = status["members"];
        return std::any_of(members.begin(), members.end(), [&](const json& member) {
            return member["id"] == other + 1 && member["status"] == "alive";
        });
    });
}

caller_result complete(const deployment& d, std::size_t index, const std::string& profile) {
    return call(d.port(index), "POST", "/v1/completions", completion_body(3),
                {{"Tarragon-Profile", profile}});
}

const std::map<std::string, std::string> booking{{"Tarragon-Profile", "booking"},
                                                 {"Idempotency-Key", "k"}};

} // namespace

TEST(SystemControl, ChangeThroughAnyInstanceIsAppliedEverywhere) {
    deployment d({"a", "b", "c", "c"}, 3);
    d.start();
    const auto answer = publish(d, 3, profile_change("c1", "new", 2, 1));
    ASSERT_EQ(answer.status, 200U) << answer.body;
    EXPECT_TRUE(wait_until([&] { return all_have(d, 4, 2); }));
}

TEST(SystemControl, OneOfTwoConcurrentChangesIsAcceptedAndRetriesGetTheFirstAnswer) {
    deployment d({"a", "b", "c"}, 3);
    d.start();
    const auto results = call_together({
        [&] { return publish(d, 0, profile_change("x", "p", 1, 1)); },
        [&] { return publish(d, 1, profile_change("y", "p", 2, 1)); },
    });
    const auto accepted = (results[0].status == 200 ? 1 : 0) + (results[1].status == 200 ? 1 : 0);
    EXPECT_EQ(accepted, 1) << results[0].body << results[1].body;
    EXPECT_EQ(results[0].status + results[1].status, 200U + 409U);
    const auto retry = publish(d, 2, profile_change("x", "p", 1, 1));
    EXPECT_EQ(retry.body, results[0].body);
}

TEST(SystemControl, ConfigurationSurvivesRestartOfAllInstances) {
    deployment d({"a", "b", "c"}, 3);
    d.start();
    for (int i = 0; i < 5; ++i) {
        ASSERT_EQ(publish(d, 0, profile_change("c" + std::to_string(i), "p", 1)).status, 200U);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        d.kill(i);
    }
    d.start();
    EXPECT_TRUE(wait_until([&] { return all_have(d, 3, 6); }));
    const auto retry = publish(d, 1, profile_change("c0", "p", 1));
    EXPECT_NE(retry.body.find("\"revision\":2"), std::string::npos)
        << "a retry after the restart must get the first answer: " << retry.body;
}

TEST(SystemControl, InstanceCatchesUpOnMissedChangesBeforeItServes) {
    deployment d({"a", "b"}, 1);
    d.add_server("a", "m", false);
    d.start();
    d.kill(1);
    for (int i = 0; i < 300; ++i) {
        ASSERT_EQ(publish(d, 0, profile_change("c" + std::to_string(i), "p", i % 4)).status, 200U);
    }
    d.start(1);
    ASSERT_TRUE(wait_until([&] { return call(d.port(1), "GET", "/health").status == 200; }));
    EXPECT_EQ(d.revision_at(1), 301U)
        << "an instance must not report ready before it has caught up";
}

// After a restart of all instances, those that started first served and refused callers by the
// configuration of their last snapshot or their settings file.
TEST(SystemControl, RestartedInstancesAnswerNoCallerByAnOldConfigurationBeforeALeaderExists) {
    deployment d({"a", "b", "c", "c"}, 3);
    auto& engine = d.add_server("c", "m", false);
    d.start();
    ASSERT_EQ(publish(d, 3, profile_change("c0", "new", 0)).status, 200U);
    ASSERT_EQ(publish(d, 3, profile_deletion("c1", "fast")).status, 200U);
    ASSERT_TRUE(wait_until([&] { return all_have(d, 4, 3); }));
    for (std::size_t i = 0; i < 4; ++i) {
        d.kill(i);
    }
    d.start(0);
    d.start(3);
    ASSERT_TRUE(wait_until([&] { return is_in_contact(d, 0, {3}) && is_in_contact(d, 3, {0}); }));
    for (const std::size_t i : {0U, 3U}) {
        EXPECT_EQ(call(d.port(i), "GET", "/health").status, 503U) << "instance " << i + 1;
        EXPECT_EQ(complete(d, i, "new").status, 503U) << "refused by an old configuration";
        EXPECT_EQ(complete(d, i, "fast").status, 503U) << "served by an old configuration";
    }
    EXPECT_TRUE(engine.runs().empty());
    d.start(1);
    d.start(2);
    for (std::size_t i = 0; i < 4; ++i) {
        ASSERT_TRUE(wait_until([&] { return call(d.port(i), "GET", "/health").status == 200; }));
        EXPECT_EQ(d.revision_at(i), 3U);
        EXPECT_TRUE(wait_until([&] { return complete(d, i, "fast").status == 400; }));
        EXPECT_TRUE(wait_until([&] { return complete(d, i, "new").status == 200; }));
    }
}

// A domain without a leader would serve nobody after a restart if only a leader could confirm.
TEST(SystemControl, RestartedInstanceServesWithoutALeaderByTheConfigurationOfItsPeers) {
    deployment d({"a", "b", "b"}, 1);
    d.add_server("b", "m", false);
    d.start();
    ASSERT_EQ(publish(d, 0, profile_change("c0", "new", 0)).status, 200U);
    ASSERT_TRUE(wait_until([&] { return all_have(d, 3, 2); }));
    d.kill(0);
    d.kill(1);
    d.start(1);
    ASSERT_TRUE(wait_until([&] { return call(d.port(1), "GET", "/health").status == 200; }));
    EXPECT_EQ(d.revision_at(1), 2U);
    EXPECT_TRUE(wait_until([&] { return complete(d, 1, "new").status == 200; }));
}

// An instance that had missed a change gave callers a final refusal by its own configuration.
TEST(SystemControl, CutOffInstanceGivesNoFinalRefusalByItsOwnConfiguration) {
    deployment d({"a", "b", "c", "c"}, 3);
    d.add_server("c", "m", false);
    d.start();
    EXPECT_TRUE(wait_until([&] { return complete(d, 3, "new").status == 400; }))
        << "no revision has this profile";
    d.partition({{0, 1, 2}, {3}});
    ASSERT_EQ(publish(d, 0, profile_change("c0", "new", 0)).status, 200U);
    // Also after the time for which a confirmation counts.
    EXPECT_TRUE(wait_until([&] { return complete(d, 3, "new").status != 400; }));
    const auto refused = complete(d, 3, "new");
    EXPECT_EQ(refused.status, 503U) << refused.body;
    EXPECT_EQ(refused.outcome, "not_executed") << refused.body;
    EXPECT_TRUE(wait_until([&] { return complete(d, 3, "fast").status == 200; }))
        << "it serves what its configuration allows";
    d.partition({{0, 1, 2, 3}});
    EXPECT_TRUE(wait_until([&] { return complete(d, 3, "new").status == 200; }));
}

// The replica of a closed group stayed out after its disk had failed, so that another loss left no
// majority.
TEST(SystemControl, ReplicaRejoinsAfterItsDiskWasFull) {
    deployment d({"a", "b", "c"}, 3);
    d.start();
    const auto leader = d.status(0)["control"]["leader"].get<std::size_t>() - 1;
    const auto stopped = (leader + 1) % 3;
    const auto remaining = (leader + 2) % 3;
    fill_open_log(d.data_folder(leader));
    ASSERT_TRUE(wait_until(
        [&] { return publish(d, remaining, profile_change("c0", "p", 1)).status == 200; }));
    d.kill(stopped);
    EXPECT_TRUE(wait_until(
        [&] { return publish(d, remaining, profile_change("c1", "p", 2)).status == 200; }));
    EXPECT_TRUE(
        wait_until([&] { return d.revision_at(leader) == 3 && d.revision_at(remaining) == 3; }));
}

TEST(SystemControl, GroupSurvivesSecondLossAfterReplicaLostItsDisk) {
    deployment d({"a", "b", "c"}, 3);
    d.start();
    ASSERT_EQ(publish(d, 0, profile_change("c0", "p", 1)).status, 200U);
    d.kill(1);
    d.wipe_disk(1);
    d.start(1);
    ASSERT_TRUE(wait_until([&] { return d.revision_at(1) == 2; }));
    // The group survives another loss only after the replacement has become a voter.
    ASSERT_TRUE(
        wait_until([&] { return publish(d, 2, profile_change("c1", "p", 2)).status == 200; }));
    ASSERT_TRUE(wait_until([&] { return d.status(1)["control"].value("is_voter", false); }));
    d.kill(0);
    ASSERT_TRUE(
        wait_until([&] { return publish(d, 2, profile_change("c2", "p", 3)).status == 200; }));
    EXPECT_TRUE(wait_until([&] { return d.revision_at(1) == 4 && d.revision_at(2) == 4; }))
        << d.status(1)["control"] << ' ' << d.status(2)["control"] << ' ' << d.revision_at(1) << ' '
        << d.revision_at(2);
}

TEST(SystemControl, PartitionedDomainServesWithItsConfigurationAndClaimsNoKeys) {
    deployment d({"a", "b", "c"}, 3);
    auto& local_engine = d.add_server("c", "m", false);
    auto& booking_service = d.add_server("c", "desk", true);
    d.add_server("a", "m", false);
    d.start();
    d.partition({{0, 1}, {2}});
    ASSERT_TRUE(
        wait_until([&] { return publish(d, 0, profile_change("c0", "p", 1)).status == 200; }));
    const std::map<std::string, std::string> fast{{"Tarragon-Profile", "fast"}};
    ASSERT_TRUE(wait_until([&] {
        return call(d.port(2), "POST", "/v1/completions", completion_body(5), fast).status == 200;
    }));
    EXPECT_FALSE(local_engine.runs().empty());
    EXPECT_EQ(d.revision_at(2), 1U);
    const auto refused = call(d.port(2), "POST", "/services/desk/book", "x", booking);
    EXPECT_EQ(refused.outcome, "not_executed") << refused.body;
    EXPECT_TRUE(booking_service.runs().empty());
    d.partition({{0, 1, 2}});
    EXPECT_TRUE(wait_until([&] { return d.revision_at(2) == 2; }));
    ASSERT_TRUE(wait_until([&] {
        return call(d.port(2), "POST", "/services/desk/book", "x", booking).status == 200;
    }));
    EXPECT_EQ(booking_service.runs().size(), 1U)
        << "the refused attempt must not run, the retry must run once";
}

TEST(SystemControl, DrainingServerGetsNoNewRequests) {
    deployment d({"a", "b"}, 1);
    auto& draining = d.add_server("a", "m", false);
    auto& active = d.add_server("b", "m", false);
    d.start();
    const json change{{"id", "drain"}, {"set_server_state", {{"id", 1}, {"state", "draining"}}}};
    ASSERT_EQ(publish(d, 0, change.dump()).status, 200U);
    ASSERT_TRUE(wait_until([&] { return all_have(d, 2, 2); }));
    const auto before = draining.runs().size();
    for (std::size_t i = 0; i < 10; ++i) {
        const auto result = call(d.port(i % 2), "POST", "/v1/completions", completion_body(3),
                                 {{"Tarragon-Profile", "fast"}});
        EXPECT_EQ(result.status, 200U) << result.body;
    }
    EXPECT_EQ(draining.runs().size(), before);
    EXPECT_EQ(active.runs().size(), 10U);
}

TEST(SystemControl, OperatorApiRequiresTokenIfConfigured) {
    settings::instance_settings own;
    own.id = {1};
    own.failure_domain = "a";
    own.http = {.address = "127.0.0.1", .port = free_port()};
    own.wire = {.address = "127.0.0.1", .port = free_port()};
    own.operator_tokens = {"secret"};
    runtime::instance single(own);
    ASSERT_EQ(single.start(), "");
    const auto port = own.http.port;
    EXPECT_EQ(call(port, "GET", "/admin/config").status, 401U);
    EXPECT_EQ(call(port, "GET", "/admin/config", "", {{"Authorization", "Bearer wrong"}}).status,
              401U);
    EXPECT_EQ(call(port, "GET", "/admin/config", "", {{"Authorization", "Bearer secret"}}).status,
              200U);
}
