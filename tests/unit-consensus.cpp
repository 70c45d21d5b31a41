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

/// The group with one voter less, which learns from then on, or with one learner as a voter.
group change_one_voter(group members, std::mt19937_64& random) {
    auto& from = members.learners.empty() ? members.voters : members.learners;
    auto& to = members.learners.empty() ? members.learners : members.voters;
    const auto moved = from.begin() + static_cast<std::ptrdiff_t>(random() % from.size());
    to.push_back(*moved);
    from.erase(moved);
    std::sort(to.begin(), to.end());
    return members;
}

/// Applies one random action that restarts no replica.
void apply_random_pause_or_message(consensus_cluster& cluster, std::mt19937_64& random) {
    const auto pick = random() % 100;
    const auto ids = cluster.running();
    const auto id = ids[random() % ids.size()];
    if (pick < 60 && !cluster.network.empty()) {
        cluster.deliver(random() % cluster.network.size(), random() % 12 == 0);
    } else if (pick < 63 && !cluster.network.empty()) {
        cluster.network.erase(cluster.network.begin() +
                              static_cast<std::ptrdiff_t>(random() % cluster.network.size()));
    } else if (pick < 80) {
        cluster.tick_all(std::chrono::milliseconds{random() % 200});
    } else if (pick < 90) {
        cluster.propose(id, std::to_string(random()));
    } else if (pick < 92 && cluster.paused.empty()) {
        cluster.paused.insert(cluster.leader().value_or(id));
    } else if (pick < 93) {
        cluster.paused.clear();
    } else if (pick < 94) {
        cluster.step(id, compacted{.index = cluster.at(id).commit, .data = "state"});
    } else if (pick < 95) {
        cluster.step(
            id, propose_group{.next = change_one_voter(current_group(cluster.at(id)), random)});
    }
}

/// How often a replica still led its old term after another one had committed in a later one, and
/// how often it held a lease then.
struct former_leaders {
    int seen{0};
    int with_lease{0};
};

former_leaders count_former_leaders(std::uint64_t seed, std::size_t replicas, int steps) {
    std::mt19937_64 random(seed);
    consensus_cluster cluster(replicas, seed);
    former_leaders out;
    for (int i = 0; i < steps; ++i) {
        apply_random_pause_or_message(cluster, random);
        const auto newest =
            cluster.committed.empty() ? term_number{} : cluster.committed.rbegin()->second.term;
        for (const auto id : cluster.running()) {
            const auto& replica = cluster.at(id);
            if (replica.current != role::leader || replica.term >= newest) {
                continue;
            }
            ++out.seen;
            out.with_lease += cluster.holds_lease(id) ? 1 : 0;
        }
    }
    return out;
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

// A leader without a lease does not grant, so a healthy group must not lose it between two rounds.
TEST(Consensus, ALeaderInContactAlwaysHoldsALease) {
    for (const std::size_t replicas : {1U, 3U, 4U, 5U}) {
        consensus_cluster cluster(replicas, 1);
        const auto leader = cluster.elect();
        ASSERT_TRUE(leader);
        for (int i = 0; i < 200; ++i) {
            ASSERT_TRUE(cluster.holds_lease(*leader)) << replicas << " replicas, tick " << i;
            cluster.tick_all(std::chrono::milliseconds{50});
            cluster.deliver_all();
        }
    }
}

// A leader that was paused or cut off went on granting by an old document.
TEST(Consensus, NoLeaderHoldsALeaseAfterAnotherHasCommitted) {
    int seen = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        const auto former = count_former_leaders(seed, seed % 2 == 0 ? 3 : 5, 1500);
        seen += former.seen;
        ASSERT_EQ(former.with_lease, 0) << "seed " << seed;
    }
    EXPECT_GT(seen, 0) << "no run had a leader that did not know of its successor";
}

// Answers that waited behind a stalled disk must not prove that the leader is in contact now.
TEST(Consensus, ALateAnswerExtendsTheLeaseFromWhenItsRoundWasSent) {
    consensus_cluster cluster(3, 2);
    const auto leader = cluster.elect();
    ASSERT_TRUE(leader);
    cluster.settle();
    cluster.step(*leader, read_request{.token = 1});
    const auto sent_at = cluster.now();
    const auto end = sent_at + cluster.at(*leader).options.election_min;
    cluster.paused.insert(*leader);
    for (std::size_t i = 0; i < cluster.network.size();) {
        const auto waiting = cluster.network.size();
        cluster.deliver(i);
        i += cluster.network.size() == waiting ? 1 : 0; // to the paused leader
    }
    cluster.tick_all(std::chrono::milliseconds{700});
    cluster.paused.clear();
    cluster.deliver_all();
    EXPECT_EQ(lead_lease_end(cluster.at(*leader)), end);
}

// A new leader's state machine may lack documents that were accepted before its term.
TEST(Consensus, ANewLeaderHoldsNoLeaseBeforeItHasCommitted) {
    consensus_cluster cluster(3, 1);
    const auto old = cluster.elect();
    ASSERT_TRUE(old);
    cluster.settle();
    // The other replica's answers confirm the new leader before it has caught up.
    const auto behind = cluster.running()[0] == *old ? cluster.running()[1] : cluster.running()[0];
    cluster.isolated.insert(behind);
    cluster.propose(*old, "accepted");
    cluster.deliver_all();
    cluster.isolated.clear();
    cluster.crash(*old);
    int without_lease = 0;
    for (int i = 0; i < 1000; ++i) {
        if (cluster.network.empty()) {
            cluster.tick_all(std::chrono::milliseconds{10});
        } else {
            cluster.deliver(0);
        }
        if (const auto leader = cluster.leader()) {
            const auto is_current = has_committed_in_term(cluster.at(*leader));
            ASSERT_EQ(cluster.holds_lease(*leader), is_current);
            without_lease += is_current ? 0 : 1;
        }
    }
    EXPECT_GT(without_lease, 0);
    ASSERT_TRUE(cluster.leader());
    EXPECT_TRUE(cluster.holds_lease(*cluster.leader()));
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

// A call between instances is bounded in time, and an append that is not acknowledged is sent again
// with each heartbeat: a replica that lacked some megabytes could fail to ever receive them.
TEST(Consensus, ABacklogOfLargeEntriesIsSentInBoundedMessages) {
    constexpr std::size_t entry_bytes = 100'000;
    consensus_cluster cluster(3, 9);
    const auto leader = cluster.elect();
    const auto other =
        cluster.running()[0] == *leader ? cluster.running()[1] : cluster.running()[0];
    cluster.crash(other);
    for (int i = 0; i < 40; ++i) {
        cluster.propose(*leader, std::string(entry_bytes, 'x'));
    }
    cluster.settle();
    cluster.start(other);
    std::size_t largest = 0;
    for (int i = 0; i < 40; ++i) {
        cluster.tick_all(std::chrono::milliseconds{50});
        while (!cluster.network.empty()) {
            const auto next = cluster.network.front();
            if (const auto* append = std::get_if<append_request>(&next.body)) {
                std::size_t bytes = 0;
                for (const auto& item : append->entries) {
                    bytes += item.data.size();
                }
                largest = std::max(largest, bytes);
            }
            cluster.deliver(0);
        }
    }
    EXPECT_EQ(cluster.at(other).commit, cluster.at(*leader).commit);
    EXPECT_LE(largest, cluster.at(*leader).options.max_bytes_per_message);
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
