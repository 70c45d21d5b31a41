#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "tarragonspar/config/state.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::config;

change make_change(const std::string& id, std::optional<revision> expected, edit what) {
    return {.id = id, .expected = expected, .author = "amal", .what = std::move(what)};
}

profile make_profile(const std::string& name, int tier_number) {
    return {.name = name,
            .urgency = {static_cast<std::uint8_t>(tier_number)},
            .deadline = std::chrono::seconds{5}};
}

} // namespace

TEST(ConfigurationState, OneOfTwoConcurrentChangesIsAccepted) {
    state s;
    s.current.number = {4};
    const auto first = apply(s, make_change("a", revision{4}, put_profile{make_profile("p", 1)}));
    const auto second = apply(s, make_change("b", revision{4}, put_profile{make_profile("p", 2)}));
    EXPECT_EQ(first.result, change_result::accepted);
    EXPECT_EQ(first.number, revision{5});
    EXPECT_EQ(second.result, change_result::conflict);
    EXPECT_EQ(s.current.profiles.at("p").urgency, tier{1});
}

TEST(ConfigurationState, AResentChangeGetsTheFirstAnswer) {
    state s;
    const auto change = make_change("a", revision{0}, put_profile{make_profile("p", 1)});
    const auto first = apply(s, change);
    static_cast<void>(apply(s, make_change("b", std::nullopt, put_profile{make_profile("p", 3)})));
    EXPECT_EQ(apply(s, change), first);
    EXPECT_EQ(s.current.number, revision{2});
    EXPECT_EQ(s.current.profiles.at("p").urgency, tier{3})
        << "the resend must not be applied again";
}

TEST(ConfigurationState, AResentRefusedChangeGetsTheFirstAnswer) {
    state s;
    s.current.number = {3};
    const auto change = make_change("a", revision{1}, put_profile{make_profile("p", 1)});
    const auto first = apply(s, change);
    EXPECT_EQ(first.result, change_result::conflict);
    EXPECT_EQ(apply(s, change), first);
}

TEST(ConfigurationState, AnInvalidChangeIsRefusedAndChangesNothing) {
    state s;
    auto invalid_profile = make_profile("p", 1);
    invalid_profile.deadline = {};
    EXPECT_EQ(apply(s, make_change("a", std::nullopt, put_profile{invalid_profile})).result,
              change_result::invalid);
    EXPECT_EQ(apply(s, make_change("b", std::nullopt, delete_profile{"none"})).result,
              change_result::invalid);
    EXPECT_EQ(s.current, configuration{});
}

RC_GTEST_PROP(ConfigurationState, EachAcceptedChangeIncreasesTheRevisionByOne, ()) {
    state s;
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        const auto before = s.current.number;
        const auto id = std::to_string(*rc::gen::inRange(0, 60));
        const auto expected =
            *rc::gen::arbitrary<bool>()
                ? std::optional<revision>{}
                : std::optional{revision{*rc::gen::inRange<std::uint64_t>(0, before.value + 2)}};
        const auto resend = s.answers.contains(id);
        const auto answer = apply(
            s, make_change(id, expected, put_profile{make_profile("p", *rc::gen::inRange(0, 4))}));
        const auto increases = !resend && answer.result == change_result::accepted;
        RC_ASSERT(s.current.number.value == before.value + (increases ? 1 : 0));
    }
}

RC_GTEST_PROP(ConfigurationState, RoundTripsThroughJson, ()) {
    state s;
    const auto steps = *rc::gen::inRange(0, 30);
    for (int step = 0; step < steps; ++step) {
        server item{.id = {static_cast<std::uint32_t>(*rc::gen::inRange(1, 5))},
                    .failure_domain = "d",
                    .address = "127.0.0.1:1",
                    .offers = {"m"}};
        item.name = "s" + std::to_string(item.id.value);
        static_cast<void>(
            apply(s, make_change(std::to_string(step), std::nullopt, put_server{item})));
    }
    const auto copy = nlohmann::json::parse(nlohmann::json(s).dump()).get<state>();
    RC_ASSERT(copy.current == s.current);
    RC_ASSERT(copy.answers == s.answers);
    RC_ASSERT(copy.history == s.history);
}
