#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "generators.hpp"
#include "tarragonspar/routing/placement.hpp"
#include "tarragonspar/routing/server_model.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::routing;
using namespace tarragonspar::testing;

const model_id model{7};

placement make_placement(std::uint32_t servers, std::uint32_t per_owner) {
    placement out;
    std::vector<placed_server> placed;
    for (std::uint32_t i = 0; i < servers; ++i) {
        placed.push_back({.id = {i + 1}, .owner = {i / per_owner + 1}, .offers = {model}});
    }
    set_servers(out, placed);
    return out;
}

void report_free(placement& target, instance_id owner, std::uint32_t free) {
    set_digest(target, owner,
               {{.model = model,
                 .free_slots = free,
                 .slots = 8,
                 .prefill_tokens_per_second = 4000,
                 .service_seconds = 2}},
               at_ms(1000));
}

work_item make_request(std::uint64_t sequence, std::uint64_t document) {
    auto work = make_work(sequence, 1, 5, 1000, 20'000);
    for (std::uint64_t i = 0; i < 40; ++i) {
        work.blocks.push_back({hash_pair(document, i)});
    }
    return work;
}

} // namespace

TEST(Placement, PrefersAnOwnerWithFreeSlots) {
    auto p = make_placement(2, 1);
    report_free(p, {1}, 0);
    report_free(p, {2}, 8);
    EXPECT_EQ(choose_owner(p, make_work(1, 1, 5, 1000, 9000), {}, at_ms(1000)), instance_id{2});
}

TEST(Placement, AvoidsOwnersThatJustFailed) {
    auto p = make_placement(2, 1);
    report_free(p, {1}, 8);
    report_free(p, {2}, 8);
    const auto work = make_work(1, 1, 5, 1000, 9000);
    EXPECT_EQ(choose_owner(p, work, {{1}}, at_ms(1000)), instance_id{2});
    EXPECT_FALSE(choose_owner(p, work, {{1}, {2}}, at_ms(1000)));
}

TEST(Placement, SendsAPrefixToTheOwnerThatHasItCached) {
    auto p = make_placement(8, 1);
    for (std::uint32_t owner = 1; owner <= 8; ++owner) {
        report_free(p, {owner}, 8);
    }
    const auto first = choose_owner(p, make_request(1, 77), {}, at_ms(1000));
    for (std::uint64_t i = 2; i < 6; ++i) {
        EXPECT_EQ(choose_owner(p, make_request(i, 77), {}, at_ms(1000)), first);
    }
}

TEST(Placement, SimultaneousRequestsAreSpreadOverOwners) {
    auto p = make_placement(4, 1);
    for (std::uint32_t owner = 1; owner <= 4; ++owner) {
        report_free(p, {owner}, owner == 1 ? 8U : 6U);
    }
    std::map<instance_id, int> counts;
    for (std::uint64_t i = 0; i < 20; ++i) {
        ++counts[*choose_owner(p, make_work(i, 1, 5, 1000, 9000), {}, at_ms(1000))];
    }
    EXPECT_GT(counts.size(), 2U);
    EXPECT_LT(counts[{1}], 15);
}

TEST(Placement, InstancesWithEqualViewsChooseTheSameOwner) {
    auto a = make_placement(12, 2);
    auto b = make_placement(12, 2);
    for (std::uint32_t owner = 1; owner <= 6; ++owner) {
        report_free(a, {owner}, 8);
        report_free(b, {owner}, 8);
    }
    for (std::uint64_t document = 0; document < 20; ++document) {
        EXPECT_EQ(choose_owner(a, make_request(document, document), {}, at_ms(1000)),
                  choose_owner(b, make_request(document, document), {}, at_ms(1000)));
    }
}

TEST(Placement, KeepsABoundedNumberOfPrefixesAndSubsets) {
    auto p = make_placement(4, 1);
    p.options.max_prefixes = 10;
    p.options.max_subsets = 10;
    for (std::uint64_t i = 0; i < 100; ++i) {
        auto work = make_request(i, i);
        work.workspace = {i};
        static_cast<void>(choose_owner(p, work, {}, at_ms(1000)));
    }
    EXPECT_LE(p.prefixes.size(), 10U);
    EXPECT_LE(p.subsets.size(), 10U);
}

TEST(Window, GrowsOnTimelyFirstTokensAndShrinksOnLateOnes) {
    auto w = make_window({.initial = 8});
    for (int i = 0; i < 20; ++i) {
        on_first_token(w, true, from_seconds(0.1), from_seconds(0.1), at_ms(i));
    }
    EXPECT_GT(w.size, 9.0);
    const auto grown = w.size;
    on_first_token(w, true, from_seconds(0.1), from_seconds(2), at_ms(5000));
    EXPECT_LT(w.size, grown);
    const auto reduced = w.size;
    on_first_token(w, true, from_seconds(0.1), from_seconds(2), at_ms(5001));
    EXPECT_EQ(w.size, reduced) << "one period of congestion counts once";
}

TEST(Window, IgnoresOldReports) {
    auto w = make_window({.initial = 8});
    on_reported_waiting(w, 5, std::chrono::seconds{3}, at_ms(5000));
    EXPECT_EQ(w.size, 8.0);
    on_reported_waiting(w, 5, std::chrono::milliseconds{300}, at_ms(5000));
    EXPECT_LT(w.size, 8.0);
}

TEST(CircuitBreaker, OpensAfterTwoFailuresAndAdmitsOneTrial) {
    circuit_breaker b;
    on_failure(b, at_ms(0));
    EXPECT_TRUE(allows(b, at_ms(0)));
    on_failure(b, at_ms(0));
    EXPECT_FALSE(allows(b, at_ms(100)));
    EXPECT_TRUE(allows(b, at_ms(600)));
    b.trial_running = true;
    EXPECT_FALSE(allows(b, at_ms(600)));
    on_success(b);
    EXPECT_TRUE(allows(b, at_ms(600)));
}

TEST(Lengths, FallBackToTheProfileThenToHalfTheLimit) {
    length_estimator lengths(4);
    EXPECT_EQ(lengths.predict(1, {1}, {100}, 0.5), token_count{50});
    for (int i = 0; i < 20; ++i) {
        lengths.observe(1, {1}, {30});
    }
    EXPECT_LT(lengths.predict(1, {2}, {1000}, 0.5).value, 50U);
    EXPECT_EQ(lengths.predict(1, {1}, {10}, 0.5), token_count{10});
    for (std::uint64_t i = 0; i < 50; ++i) {
        lengths.observe(i, {i}, {30});
    }
    EXPECT_LE(lengths.size(), 5U);
}

RC_GTEST_PROP(Lengths, QuantilesIncreaseWithTheFraction, ()) {
    length_histogram lengths;
    const auto values = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(1U, 50'000U)));
    for (const auto value : values) {
        lengths.add({value});
    }
    RC_ASSERT(lengths.quantile(0.1) <= lengths.quantile(0.5));
    RC_ASSERT(lengths.quantile(0.5) <= lengths.quantile(0.9));
    const auto largest = *std::max_element(values.begin(), values.end());
    RC_ASSERT(lengths.quantile(1.0).value + 1 >= largest);
}

TEST(ServerModel, AStragglerGetsAReducedWindow) {
    config::server description{.id = {1}, .offers = {"m"}, .slots = 8};
    auto server = make_server_model(description);
    EXPECT_EQ(usable_window(server), 8U);
    server.slowness = 4.0;
    EXPECT_TRUE(is_straggler(server));
    EXPECT_EQ(usable_window(server), 2U);
    EXPECT_TRUE(has_free_slot(server, at_ms(0))) << "its recovery has to be detected";
}
