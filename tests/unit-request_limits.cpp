#include <gtest/gtest.h>

#include "grant_scheduler_fixture.hpp"

// Rates of requests that servers name: kept over all instances, ended when no longer named.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr server_id server{1};
constexpr duration poll_interval = milliseconds{10};

/// Sends as much as a limit allows for a time and returns the largest number within any 4 s.
std::size_t most_in_four_seconds(request_limits& limits, double share, duration time,
                                 time_point& now) {
    std::vector<time_point> sent;
    for (const auto end = now + time; now < end; now += poll_interval) {
        while (limits.allows(server, share, now)) {
            limits.take(server, share, now);
            sent.push_back(now);
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        const auto last = std::lower_bound(sent.begin(), sent.end(), sent[first] + seconds{4});
        most = std::max(most, static_cast<std::size_t>(last - sent.begin()) - first);
    }
    return most;
}

} // namespace

TEST(RequestLimits, NoFourSecondsHoldMoreThanUsersTolerate) {
    for (const auto rate : {0.0, 0.01, 0.4, 1.1, 2.3, 7.5, 40.0}) {
        request_limits limits;
        time_point now{seconds{100}};
        limits.record_answer(server, rate, now, now);
        const auto most = most_in_four_seconds(limits, 1.0, seconds{60}, now);
        EXPECT_LE(static_cast<double>(most), 1.5 * 4.0 * rate + 5.0) << rate;
        EXPECT_GE(static_cast<double>(most), 4.0 * rate - 1.0) << rate;
        EXPECT_GE(most, 1U) << "only an answer tells that the limit has ended";
    }
}

// Without a leader each instance uses its share.
TEST(RequestLimits, SharesOfAllInstancesStayWithinTheLimit) {
    constexpr int instances = 60;
    constexpr double rate = 2.0;
    std::size_t sum = 0;
    for (int instance = 0; instance < instances; ++instance) {
        request_limits limits;
        time_point now{seconds{100}};
        limits.record_answer(server, rate, now, now);
        const auto begin = now;
        std::size_t sent = 0;
        for (; now < begin + seconds{24}; now += poll_interval) {
            while (limits.allows(server, 1.0 / instances, now)) {
                limits.take(server, 1.0 / instances, now);
                ++sent;
            }
        }
        sum += sent;
    }
    EXPECT_LE(static_cast<double>(sum), rate * 24.0 + 5.0);
}

TEST(RequestLimits, EndsWithAnAnswerToALaterRequestThatNamesNone) {
    request_limits limits;
    time_point now{seconds{100}};
    limits.record_answer(server, 0.5, now, now);
    EXPECT_FALSE(limits.record_answer(server, std::nullopt, now - seconds{1}, now + seconds{1}))
        << "the request was sent before the limit was named";
    EXPECT_TRUE(limits.find(server));
    EXPECT_TRUE(limits.record_answer(server, std::nullopt, now + seconds{1}, now + seconds{2}));
    EXPECT_FALSE(limits.find(server));
    EXPECT_TRUE(limits.allows(server, 1.0, now + seconds{2}));
}

TEST(RequestLimits, OlderStatementsDoNotReviveAnEndedLimit) {
    request_limits limits;
    time_point now{seconds{100}};
    limits.record_answer(server, 0.5, now, now);
    const auto old = limits.statements(true).front();
    now += seconds{2};
    limits.record_answer(server, std::nullopt, now - seconds{1}, now);
    EXPECT_FALSE(limits.merge(old, now + seconds{1}));
    EXPECT_FALSE(limits.find(server));
}

TEST(RequestLimits, StatementDoesNotBecomeNewerByBeingPassedAround) {
    request_limits one;
    request_limits other;
    time_point now{seconds{100}};
    one.record_answer(server, 0.5, now, now);
    const auto named_at = now;
    for (int round = 0; round < 100; ++round) {
        now += milliseconds{100};
        for (auto* target : {&other, &one}) {
            auto told = (target == &other ? one : other).statements(false).front();
            told.at += milliseconds{60}; // takes that long on its way
            target->merge(told, now);
        }
    }
    EXPECT_LT(one.statements(false).front().at - named_at, seconds{1});
}

TEST(RequestLimits, ALimitThatChangesAppliesAtOnce) {
    request_limits limits;
    time_point now{seconds{100}};
    limits.record_answer(server, 40.0, now, now);
    most_in_four_seconds(limits, 1.0, seconds{2}, now);
    limits.record_answer(server, 1.0, now, now);
    now += seconds{3};
    EXPECT_LE(most_in_four_seconds(limits, 1.0, seconds{8}, now), 11U);
}

TEST(GrantScheduler, RequestsBeyondTheLimitOfAServerGoToOthers) {
    fixture f({make_server(1, 4), make_server(2, 4)});
    record(f.scheduler, limit_statement{.server = {1}, .per_second = 0.1, .at = f.now}, f.now);
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        f.ask(f.make(sequence, 0));
        EXPECT_EQ(f.granted.at(sequence).server, server_id{2});
    }
    f.ask(f.make(5, 0));
    EXPECT_FALSE(f.granted.contains(5));
    f.report_update(1, grant_update::stage::done);
    EXPECT_EQ(f.granted.at(5).server, server_id{2});
}

TEST(GrantScheduler, WaitingRequestIsSentWhenTheLimitAllowsIt) {
    fixture f({make_server(1, 4)});
    record(f.scheduler, limit_statement{.server = {1}, .per_second = 2.0, .at = f.now}, f.now);
    f.ask(f.make(1, 0));
    EXPECT_FALSE(f.granted.contains(1));
    f.now += milliseconds{600};
    std::vector<decision> made;
    tick(f.scheduler, f.now, made);
    f.store_results(made);
    EXPECT_TRUE(f.granted.contains(1));
}

// What lies beyond the limits of all servers is shed by tier, without a useless wait.
TEST(GrantScheduler, CapacityOfLimitedServersBoundsTheQueue) {
    fixture f({make_server(1, 4), make_server(2, 4)});
    for (const auto id : {1U, 2U}) {
        record(f.scheduler, limit_statement{.server = {id}, .per_second = 0.5, .at = f.now}, f.now);
    }
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        auto work = f.make(sequence, sequence % 2 == 0 ? 0 : 2);
        work.objective = f.now + seconds{1};
        f.ask(work);
    }
    EXPECT_FALSE(f.refused.empty());
    const auto urgent_refused = std::count_if(f.refused.begin(), f.refused.end(),
                                              [](const auto& item) { return item.first % 2 == 0; });
    const auto waiting = 20U - f.refused.size() - f.granted.size();
    EXPECT_TRUE(urgent_refused == 0 || waiting <= 10U) << "the urgent tier is shed last";
}
