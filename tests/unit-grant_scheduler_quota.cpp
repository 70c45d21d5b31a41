#include <gtest/gtest.h>

#include "grant_scheduler_fixture.hpp"

// Quotas of the grant scheduler, and their restoration at another one.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using std::chrono::milliseconds;

} // namespace

TEST(GrantScheduler, ChargesQuotaOncePerRequest) {
    fixture f({make_server(1, 4)});
    admission::set_limits(f.scheduler.quotas,
                          {{workspace_id{3}, {.units_per_second = 10, .burst = 10}}}, f.now);
    auto work = f.make(1, 0);
    work.workspace = {3};
    work.quota_units = 10;
    f.ask(work);
    ASSERT_TRUE(f.granted.contains(1));
    f.ask(work, previous_grant::server_failed);
    EXPECT_TRUE(f.granted.contains(1)) << "another attempt is the same request";
    auto second = f.make(2, 0);
    second.workspace = {3};
    second.quota_units = 10;
    f.ask(second);
    EXPECT_EQ(f.refused.at(2).why, reason::workspace_limit);
    EXPECT_EQ(f.refused.at(2).retry_after, std::chrono::seconds{1});
}

// When an instance restarts and the leader is lost as well, no instance knows what the restarted
// one used before.
TEST(GrantScheduler, RestartedDispatcherIsAssumedToHaveAverageUsage) {
    const auto remaining_units = [](duration uptime) {
        fixture f({make_server(1, 4)});
        admission::set_limits(f.scheduler.quotas,
                              {{workspace_id{3}, {.units_per_second = 10, .burst = 100}}}, f.now);
        admission::usage_slices slices{};
        slices.fill(4.0); // in each half second
        f.report({.dispatcher = {1},
                  .started_as = {5},
                  .used = {{workspace_id{3}, slices}},
                  .uptime = std::chrono::minutes{5}});
        f.report({.dispatcher = {2}, .started_as = {5}, .uptime = uptime});
        resume_quotas(f.scheduler, std::chrono::seconds{8}, 2, f.now);
        return f.scheduler.quotas.buckets.at(workspace_id{3}).units;
    };
    EXPECT_EQ(remaining_units(std::chrono::minutes{5}), 100.0) << "64 units, 80 refilled";
    EXPECT_NEAR(remaining_units(std::chrono::seconds{0}), 100.0 + 80.0 - 128.0, 0.01);
}

// When an instance stops after the leader is lost, no later leader gets its usage.
TEST(GrantScheduler, DispatcherStoppedBeforeReportingIsAssumedToHaveAverageUsage) {
    fixture f({make_server(1, 4)});
    admission::set_limits(f.scheduler.quotas,
                          {{workspace_id{3}, {.units_per_second = 10, .burst = 100}}}, f.now);
    admission::usage_slices slices{};
    slices.fill(3.5); // in each half second
    for (const std::uint32_t dispatcher : {1U, 2U}) {
        f.report({.dispatcher = {dispatcher},
                  .started_as = {5},
                  .used = {{workspace_id{3}, slices}},
                  .uptime = std::chrono::minutes{5}});
    }
    resume_quotas(f.scheduler, std::chrono::seconds{8}, 3, f.now);
    EXPECT_NEAR(f.scheduler.quotas.buckets.at(workspace_id{3}).units, 100.0 + 80.0 - 168.0, 0.01);
}

// When all entry instances restarted shortly before the leader was lost, or only a restarted one
// has reported, the usage before is unknown. A full bucket would then grant the quota a second
// time.
TEST(GrantScheduler, BucketStartsEmptyWhereUsageIsUnknown) {
    const auto remaining_units = [](duration uptime) {
        fixture f({make_server(1, 4)});
        admission::set_limits(f.scheduler.quotas,
                              {{workspace_id{3}, {.units_per_second = 10, .burst = 100}}}, f.now);
        f.report({.dispatcher = {1}, .started_as = {5}, .uptime = uptime});
        resume_quotas(f.scheduler, std::chrono::seconds{8}, 1, f.now);
        return f.scheduler.quotas.buckets.at(workspace_id{3}).units;
    };
    EXPECT_NEAR(remaining_units(milliseconds{100}), 0.0, 0.01);
    EXPECT_NEAR(remaining_units(std::chrono::seconds{2}), 20.0, 0.01) << "refilled since the start";
    EXPECT_NEAR(remaining_units(std::chrono::seconds{8}), 100.0, 0.01) << "nothing was used";
}

// Guards against refusing cheap requests (bookings, without a prompt) of a workspace that sends
// many times its usual load, in favour of its prompts.
TEST(GrantScheduler, RequestsWithoutPromptAreNotRefusedInFavourOfPrompts) {
    fixture f({make_server(1, 200)});
    admission::set_limits(f.scheduler.quotas,
                          {{workspace_id{3}, {.units_per_second = 1'000, .burst = 3'000}}}, f.now);
    int booked = 0;
    for (std::uint64_t sequence = 1; sequence <= 400; ++sequence) {
        f.now += milliseconds{10};
        auto work = f.make(sequence, 0);
        work.workspace = {3};
        const auto is_booking = sequence % 10 == 0;
        work.rank = {static_cast<std::uint8_t>(is_booking ? 2 : 0)};
        work.prompt = {is_booking ? 0U : 100U};
        work.quota_units = is_booking ? 2 : 100;
        f.ask(work);
        booked += is_booking && f.granted.contains(sequence) ? 1 : 0;
        f.report_update(sequence, grant_update::stage::done);
    }
    EXPECT_GE(booked, 36) << "of 40";
}
