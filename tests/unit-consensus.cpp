#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "consensus_cluster.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::consensus;
using tarragonspar::testing::consensus_cluster;
using tarragonspar::testing::injected_faults;

/// Applies one random action to a cluster.
void apply_random_action(consensus_cluster& cluster, std::mt19937_64& random,
                         std::set<replica_id>& down) {
    const auto pick = random() % 100;
    if (pick < 45 && !cluster.network.empty()) {
        cluster.deliver(random() % cluster.network.size(), random() % 12 == 0);
    } else if (pick < 52 && !cluster.network.empty()) {
        cluster.network.erase(cluster.network.begin() +
                              static_cast<std::ptrdiff_t>(random() % cluster.network.size()));
    } else if (pick < 80) {
        cluster.tick_all(std::chrono::milliseconds{random() % 200});
    } else if (pick < 90) {
        const auto ids = cluster.running();
        if (!ids.empty()) {
            cluster.propose(ids[random() % ids.size()], std::to_string(random()));
        }
    } else if (pick < 94) {
        const auto ids = cluster.running();
        if (!ids.empty()) {
            const auto id = ids[random() % ids.size()];
            cluster.crash(id);
            down.insert(id);
        }
    } else if (pick < 98 && !down.empty()) {
        cluster.start(*down.begin());
        down.erase(down.begin());
    } else if (const auto ids = cluster.running(); !ids.empty()) {
        const auto id = ids[random() % ids.size()];
        cluster.step(id, compacted{.index = cluster.at(id).commit, .data = "state"});
    }
}

std::vector<std::string> run_randomly(std::uint64_t seed, injected_faults faults, int steps) {
    std::mt19937_64 random(seed);
    consensus_cluster cluster(3, seed, faults);
    std::set<replica_id> down;
    for (int i = 0; i < steps && cluster.violations.empty(); ++i) {
        apply_random_action(cluster, random, down);
    }
    return cluster.violations;
}

bool any_run_fails(injected_faults faults) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        if (!run_randomly(seed, faults, 600).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST(Consensus, ElectsOneLeaderAndCommits) {
    consensus_cluster cluster(3, 1);
    const auto leader = cluster.elect();
    ASSERT_TRUE(leader);
    cluster.propose(*leader, "a");
    cluster.settle();
    ASSERT_EQ(cluster.committed.size(), 2U) << "the barrier and the command";
    EXPECT_EQ(cluster.committed.at({2}).data, "a");
    EXPECT_TRUE(cluster.violations.empty());
}

TEST(Consensus, ASingleReplicaCommitsAlone) {
    consensus_cluster cluster(1, 1);
    const auto leader = cluster.elect();
    ASSERT_TRUE(leader);
    cluster.propose(*leader, "a");
    EXPECT_EQ(cluster.committed.size(), 2U);
}

TEST(Consensus, AnIsolatedLeaderStepsDown) {
    consensus_cluster cluster(3, 2);
    const auto old = cluster.elect();
    cluster.isolated.insert(*old);
    cluster.settle();
    EXPECT_NE(cluster.at(*old).current, role::leader);
    const auto next = cluster.leader();
    ASSERT_TRUE(next);
    EXPECT_NE(*next, *old);
}

// After a power loss of the whole group, callers wait for the first leader. The users' latency
// objectives leave one second for the election.
TEST(Consensus, AStartingGroupElectsALeaderWithinOneSecond) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        consensus_cluster cluster(3, seed);
        int ticks = 0;
        while (!cluster.leader() && ticks < 200) {
            cluster.tick_all(std::chrono::milliseconds{10});
            cluster.deliver_all();
            ++ticks;
        }
        EXPECT_LE(ticks, 100) << "ticks of 10 ms, seed " << seed;
    }
}

// Without a leader, entry instances use their local grant schedulers, which handle bursts less
// well. The users accept a few seconds without a leader; an election must take at most 2.5 s.
TEST(Consensus, ACrashedLeaderIsReplacedWithin2500Ms) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        consensus_cluster cluster(3, seed);
        const auto old = cluster.elect();
        ASSERT_TRUE(old);
        cluster.crash(*old);
        int ticks = 0;
        while (!cluster.leader() && ticks < 500) {
            cluster.tick_all(std::chrono::milliseconds{10});
            cluster.deliver_all();
            ++ticks;
        }
        EXPECT_LE(ticks, 250) << "ticks of 10 ms, seed " << seed;
    }
}

TEST(Consensus, AnIsolatedLeaderServesNoReads) {
    consensus_cluster cluster(3, 2);
    const auto old = cluster.elect();
    cluster.settle();
    cluster.isolated.insert(*old);
    cluster.step(*old, read_request{.token = 7});
    cluster.settle();
    ASSERT_TRUE(cluster.reads.contains(7));
    EXPECT_FALSE(cluster.reads[7]);
}

// A reply that was delayed since an earlier election made a voter forget its leader: it elected
// another one while the leader could rely on its answer.
TEST(Consensus, ALateReplyOfANewerTermDoesNotFreeAVoterFromItsLeader) {
    consensus_cluster cluster(3, 1);
    const auto leader = cluster.elect();
    ASSERT_TRUE(leader);
    cluster.settle();
    auto others = cluster.running();
    std::erase(others, *leader);
    const auto voter = others[0];
    const auto candidate = others[1];
    const auto& log = cluster.at(candidate);
    const term_number newer{log.term.value + 1};
    cluster.step(
        voter,
        received{
            {.from = candidate, .to = voter, .term = newer, .body = vote_reply{.granted = false}}});
    cluster.step(voter, received{{.from = candidate,
                                  .to = voter,
                                  .term = newer,
                                  .body = vote_request{.last_index = last_index(log),
                                                       .last_term = log.term}}});
    EXPECT_FALSE(cluster.at(voter).voted_for);
}

TEST(Consensus, AReconnectedReplicaDoesNotDisruptTheLeader) {
    consensus_cluster cluster(3, 3);
    const auto leader = cluster.elect();
    cluster.settle();
    const auto term = cluster.at(*leader).term;
    const auto other =
        cluster.running()[0] == *leader ? cluster.running()[1] : cluster.running()[0];
    cluster.isolated.insert(other);
    cluster.settle();
    cluster.settle();
    cluster.isolated.clear();
    cluster.settle();
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.at(*leader).term, term) << "pre-vote must not raise the term";
}

TEST(Consensus, CatchesUpAReplicaBySnapshot) {
    consensus_cluster cluster(3, 4);
    const auto leader = cluster.elect();
    const auto other =
        cluster.running()[0] == *leader ? cluster.running()[1] : cluster.running()[0];
    cluster.crash(other);
    for (int i = 0; i < 300; ++i) {
        cluster.propose(*leader, std::to_string(i));
    }
    cluster.settle();
    const auto snapshot_index = cluster.at(*leader).commit;
    cluster.step(*leader, compacted{.index = snapshot_index, .data = std::string(200'000, 'x')});
    cluster.start(other);
    cluster.settle();
    EXPECT_EQ(cluster.at(other).snapshot.index, snapshot_index);
    EXPECT_EQ(cluster.at(other).snapshot_data.size(), 200'000U);
    EXPECT_TRUE(cluster.violations.empty());
}

TEST(Consensus, AReplicaWithANewDiskJoinsAsLearnerAndIsPromoted) {
    consensus_cluster cluster(3, 5);
    const auto leader = cluster.elect();
    cluster.propose(*leader, "a");
    cluster.settle();
    const auto lost = cluster.running()[0] == *leader ? cluster.running()[1] : cluster.running()[0];
    const auto replacement = cluster.replace_disk(lost);
    auto members = current_group(cluster.at(*leader));
    std::erase(members.voters, lost);
    members.learners.push_back(replacement);
    cluster.step(*leader, propose_group{.token = 1, .next = members});
    cluster.settle();
    EXPECT_EQ(cluster.at(replacement).commit, cluster.at(*leader).commit);
    EXPECT_EQ(cluster.at(replacement).current, role::follower);
    members.learners.clear();
    members.voters.push_back(replacement);
    std::sort(members.voters.begin(), members.voters.end());
    cluster.step(*leader, propose_group{.token = 2, .next = members});
    cluster.settle();
    EXPECT_EQ(current_group(cluster.at(*leader)), members);
    EXPECT_TRUE(cluster.violations.empty());
}

TEST(Consensus, ALaggingLearnerIsNotPromoted) {
    consensus_cluster cluster(3, 5);
    const auto leader = cluster.elect();
    cluster.settle();
    auto members = current_group(cluster.at(*leader));
    members.voters.push_back(make_replica_id({9}, 0));
    cluster.step(*leader, propose_group{.token = 1, .next = members});
    EXPECT_EQ(current_group(cluster.at(*leader)).voters.size(), 3U);
}

TEST(Consensus, TwoVotersCannotBeChangedAtOnce) {
    consensus_cluster cluster(3, 6);
    const auto leader = cluster.elect();
    cluster.settle();
    auto members = current_group(cluster.at(*leader));
    members.voters.resize(1);
    cluster.step(*leader, propose_group{.token = 1, .next = members});
    EXPECT_EQ(current_group(cluster.at(*leader)).voters.size(), 3U);
}

TEST(Consensus, ALeaderCrashAfterADiskReplacementLosesNoCommittedEntry) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        consensus_cluster cluster(3, seed);
        const auto leader = cluster.elect();
        cluster.propose(*leader, "committed");
        cluster.settle();
        const auto lost =
            cluster.running()[0] == *leader ? cluster.running()[1] : cluster.running()[0];
        const auto replacement = cluster.replace_disk(lost);
        auto members = current_group(cluster.at(*leader));
        std::erase(members.voters, lost);
        members.learners.push_back(replacement);
        cluster.step(*leader, propose_group{.token = 1, .next = members});
        cluster.settle();
        members.learners.clear();
        members.voters.push_back(replacement);
        std::sort(members.voters.begin(), members.voters.end());
        cluster.step(*leader, propose_group{.token = 2, .next = members});
        cluster.settle();
        cluster.crash(*leader);
        ASSERT_TRUE(cluster.elect()) << "seed " << seed;
        cluster.settle();
        EXPECT_TRUE(cluster.violations.empty()) << cluster.violations.front();
        EXPECT_EQ(cluster.committed.at({2}).data, "committed");
    }
}

TEST(Consensus, MaintainsItsInvariantsInRandomRuns) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        const auto violations = run_randomly(seed, {}, 600);
        ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << violations.front();
    }
}

TEST(Consensus, ChecksDetectAVoteThatWasNotSynced) {
    EXPECT_TRUE(any_run_fails({.vote_not_synced = true}));
}

TEST(Consensus, ChecksDetectEntriesThatWereNotSynced) {
    EXPECT_TRUE(any_run_fails({.entries_not_synced = true}));
}

TEST(ConsensusCodec, RoundTripsMessages) {
    consensus_cluster cluster(3, 1);
    cluster.tick_all(std::chrono::seconds{2});
    ASSERT_FALSE(cluster.network.empty());
    const auto copy = decode(encode(cluster.network));
    ASSERT_EQ(copy.size(), cluster.network.size());
    EXPECT_EQ(copy[0].from, cluster.network[0].from);
    EXPECT_EQ(copy[0].body.index(), cluster.network[0].body.index());
}

RC_GTEST_PROP(ConsensusCodec, DecodesArbitraryBytesWithoutThrowing, ()) {
    const auto arbitrary_bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(decode(arbitrary_bytes).size() <= arbitrary_bytes.size());
}
