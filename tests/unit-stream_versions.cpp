#include <gtest/gtest.h>

#include "grant_scheduler_fixture.hpp"

// Streams go on at servers of the software version that began them.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

const model_id service{hash_name("m")};

config::server versioned(std::uint32_t id, const std::string& version, std::uint32_t slots = 1) {
    auto server = make_server(id, slots);
    server.software_version = version;
    return server;
}

software_id software(const std::string& version) {
    return software_of(versioned(1, version));
}

/// A request that takes up a stream.
work_item taking_up(const fixture& f, std::uint64_t sequence, std::uint64_t stream) {
    auto work = f.make(sequence, 1);
    work.stream = stream;
    work.resumed_stream = stream;
    return work;
}

} // namespace

TEST(StreamVersions, AGrantIsCorrectedByLaterGrantsAndByTheFirstEvent) {
    stream_versions streams;
    const time_point now{seconds{100}};
    const auto until = now + seconds{20};
    streams.record_grant({.stream = 7, .software = software("v1"), .until = until}, now);
    streams.record_grant({.stream = 7, .software = software("v2"), .until = until}, now);
    EXPECT_EQ(streams.find(7, now), software("v2"));
    streams.record_begin({.stream = 7, .software = software("v1"), .until = until}, false, now);
    streams.record_grant({.stream = 7, .software = software("v2"), .until = until}, now);
    EXPECT_EQ(streams.find(7, now), software("v1"));
    EXPECT_EQ(streams.find(7, until), std::nullopt) << "no caller takes it up any more";
}

TEST(StreamVersions, AServiceHasSeveralVersionsUntilItsStreamsHaveEnded) {
    stream_versions streams;
    time_point now{seconds{100}};
    streams.record_servers({versioned(1, "v1"), versioned(2, "v2")}, now);
    EXPECT_TRUE(streams.has_several(service, now));
    now += seconds{5};
    streams.record_servers({versioned(2, "v2")}, now);
    EXPECT_TRUE(streams.has_several(service, now + seconds{30}));
    EXPECT_FALSE(streams.has_several(service, now + seconds{90}));
    work_item work;
    work.model = service;
    work.resumed_stream = 7;
    EXPECT_EQ(streams.choose(work, now).source, version_source::unknown);
    const auto later = streams.choose(work, now + seconds{90});
    EXPECT_EQ(later.source, version_source::only);
    EXPECT_EQ(later.software, software("v2"));
    work.several_versions = true; // as its dispatcher knows, which has run for longer
    EXPECT_EQ(streams.choose(work, now + seconds{90}).source, version_source::unknown);
}

TEST(StreamVersions, ReportsContinueAfterWhatTheLeaderHas) {
    stream_versions streams;
    const time_point now{seconds{100}};
    for (std::uint64_t stream = 1; stream <= 3; ++stream) {
        streams.record_begin({.stream = stream,
                              .software = software("v1"),
                              .until = now + seconds{static_cast<int>(stream)}},
                             true, now);
    }
    streams.record_begin({.stream = 9, .software = software("v1"), .until = now + seconds{9}},
                         false, now);
    const auto first = streams.own_after(0, now);
    ASSERT_EQ(first.list.size(), 3U) << "what others have reported is left to them";
    EXPECT_TRUE(streams.own_after(first.last, now).list.empty());
    streams.record_begin({.stream = 4, .software = software("v2"), .until = now + seconds{9}}, true,
                         now + seconds{2});
    const auto next = streams.own_after(first.last, now + seconds{2});
    ASSERT_EQ(next.list.size(), 1U);
    EXPECT_EQ(next.list.front().stream, 4U);
    const auto to_a_new_leader = streams.own_after(0, now + seconds{2});
    EXPECT_EQ(to_a_new_leader.list.size(), 2U) << "without those that have expired";
    EXPECT_EQ(to_a_new_leader.last, next.last);
}

// ORDER: a caller came back at another instance and got events of another version.
TEST(GrantScheduler, AStreamIsTakenUpAtItsVersionOnly) {
    fixture f({versioned(1, "v1"), versioned(2, "v2", 8)});
    auto begins = f.make(1, 1);
    begins.stream = 7;
    begins.avoid.push_back({2});
    f.ask(begins);
    ASSERT_EQ(f.granted.at(1).software, software("v1"));
    f.report_update(1, grant_update::stage::failed);
    for (std::uint64_t sequence = 10; sequence < 14; ++sequence) {
        f.ask(taking_up(f, sequence, 7));
        ASSERT_TRUE(f.granted.contains(sequence));
        EXPECT_EQ(f.granted.at(sequence).software, software("v1"));
        f.report_update(sequence, grant_update::stage::done);
    }
    f.ask(taking_up(f, 20, 8));
    EXPECT_EQ(f.refused.at(20).why, reason::version_unknown);
    EXPECT_GT(f.refused.at(20).retry_after, duration{});
}

TEST(GrantScheduler, AStreamWhoseVersionHasNoServerLeftIsRefused) {
    fixture f({versioned(1, "v1"), versioned(2, "v2")});
    auto begins = f.make(1, 1);
    begins.stream = 7;
    begins.avoid.push_back({2});
    f.ask(begins);
    f.ask(taking_up(f, 2, 7));
    EXPECT_FALSE(f.granted.contains(2)) << "it waits for the server that is busy";
    std::vector<decision> made;
    set_servers(f.scheduler, {versioned(2, "v2")}, f.now, made);
    f.store_results(made);
    EXPECT_EQ(f.refused.at(2).why, reason::no_server);
    f.ask(taking_up(f, 3, 7));
    EXPECT_EQ(f.refused.at(3).why, reason::no_server);
}

// A service with one version must not refuse callers because nobody recorded their stream.
TEST(GrantScheduler, AStreamOfAServiceWithOneVersionIsTakenUpWithoutARecord) {
    fixture f({versioned(1, "v1"), versioned(2, "v1")});
    f.ask(taking_up(f, 1, 7));
    EXPECT_TRUE(f.granted.contains(1));
    auto other = f.make(2, 1);
    f.ask(other);
    EXPECT_TRUE(f.granted.contains(2));
}

TEST(GrantScheduler, AnAnswerThatHasBegunIsContinuedByItsVersionOnly) {
    fixture f({versioned(1, "v1"), versioned(2, "v2", 8), versioned(3, "v1")});
    auto work = f.make(1, 1);
    work.stream = 7;
    work.avoid = {{2}};
    f.ask(work);
    const auto first = f.granted.at(1);
    work.software = first.software;
    work.repeated = true;
    work.avoid = {first.server};
    f.ask(work, previous_grant::server_lost, server_fate::ended);
    ASSERT_TRUE(f.granted.contains(1));
    EXPECT_EQ(f.granted.at(1).software, first.software);
    EXPECT_NE(f.granted.at(1).server, first.server);
}

TEST(GrantScheduler, StreamsThatWaitForOneVersionLeaveTheOtherToItsOwn) {
    fixture f({versioned(1, "v1"), versioned(2, "v2")});
    auto running = f.make(1, 1);
    running.software = software("v1");
    f.ask(running);
    for (std::uint64_t sequence = 10; sequence < 30; ++sequence) {
        auto waiting = f.make(sequence, 1);
        waiting.software = software("v1");
        f.ask(waiting);
    }
    auto other = f.make(50, 1);
    other.software = software("v2");
    other.deadline += seconds{5};
    f.ask(other);
    EXPECT_TRUE(f.granted.contains(50));
    EXPECT_EQ(f.granted.size(), 2U);
}

// A costly stream that goes on isn't given up so that a new request finishes in time.
TEST(GrantScheduler, AStreamThatGoesOnIsNotShedForNewRequests) {
    fixture f({versioned(1, "v1")});
    f.ask(f.make(1, tier_count - 1));
    auto continued = f.make(2, tier_count - 1);
    continued.repeated = true;
    continued.max_output = {2'000};
    f.ask(continued);
    for (std::uint64_t sequence = 10; sequence < 60; ++sequence) {
        auto fresh = f.make(sequence, tier_count - 1);
        fresh.deadline = f.now + seconds{2};
        f.ask(fresh);
        f.now += milliseconds{25};
        f.check_waiting();
    }
    EXPECT_FALSE(f.refused.contains(2));
    EXPECT_FALSE(f.refused.empty()) << "there is more than one server can bear";
}

// LOST: of streams that are taken up at least half as many go on as new ones begin.
TEST(GrantSchedulerReplay, StreamsAreTakenUpAsOftenAsNewOnesBeginUnderLoad) {
    fixture f({versioned(1, "v1", 2), versioned(2, "v1", 2), versioned(3, "v2", 2),
               versioned(4, "v2", 2)});
    std::map<std::uint64_t, time_point> ends;
    std::uint64_t sequence = 0;
    constexpr std::uint64_t first_taken_up = 1'000'000;
    const auto begin_new = [&](bool v1) {
        auto work = f.make(++sequence, 1);
        work.objective = f.now + milliseconds{500};
        work.stream = sequence;
        work.avoid = v1 ? std::vector<server_id>{{3}, {4}} : std::vector<server_id>{};
        f.ask(work);
    };
    std::uint64_t taken_up = 0;
    for (int step = 0; step < 400; ++step) {
        f.now += milliseconds{25};
        for (auto at = ends.begin(); at != ends.end();) {
            if (at->second > f.now) {
                ++at;
                continue;
            }
            f.report_update(at->first, grant_update::stage::done);
            at = ends.erase(at);
        }
        // More than the eight places can serve in 400 ms each.
        begin_new(step % 4 == 0);
        if (step % 10 == 0 && step > 40) {
            auto work = taking_up(f, first_taken_up + ++taken_up,
                                  static_cast<std::uint64_t>(step - step % 4 - 40 + 1));
            work.objective = f.now + milliseconds{500};
            work.software = software("v1");
            f.ask(work);
        }
        f.check_waiting();
        for (const auto& [id, given] : f.granted) {
            ends.try_emplace(id, f.now + milliseconds{400});
        }
        std::erase_if(f.granted, [&](const auto& item) {
            return ends.contains(item.first) && ends.at(item.first) <= f.now;
        });
    }
    std::uint64_t new_refused = 0;
    std::uint64_t taken_up_refused = 0;
    for (const auto& [id, refused] : f.refused) {
        ++(id > first_taken_up ? taken_up_refused : new_refused);
    }
    EXPECT_GT(new_refused, 0U) << "the load is more than the servers can bear";
    const auto share = [](std::uint64_t refused, std::uint64_t all) {
        return 1.0 - static_cast<double>(refused) / static_cast<double>(all);
    };
    EXPECT_GE(share(taken_up_refused, taken_up), 0.5 * share(new_refused, sequence));
}
