#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "generators.hpp"
#include "tarragonspar/control/state.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::idempotency;
using tarragonspar::testing::make_id;

claim make_claim(const std::string& key, std::uint64_t request, std::uint64_t digest = 1,
                 std::int64_t at_ms = 0) {
    return {.key = key, .digest = digest, .request = make_id(request), .at_ms = at_ms};
}

settlement make_settlement(const std::string& key, std::uint64_t request, outcome result) {
    return {.key = key, .request = make_id(request), .result = result, .answer = {.body = "done"}};
}

} // namespace

TEST(KeyTable, GrantsAKeyToTheFirstClaim) {
    key_table table;
    EXPECT_EQ(apply(table, make_claim("k", 1)).result, claim_result::granted);
    const auto second = apply(table, make_claim("k", 2));
    EXPECT_EQ(second.result, claim_result::held);
    EXPECT_EQ(second.record.request, make_id(1));
}

TEST(KeyTable, ARepeatedClaimReturnsItsOwnRequest) {
    key_table table;
    static_cast<void>(apply(table, make_claim("k", 1)));
    EXPECT_EQ(apply(table, make_claim("k", 1)).record.request, make_id(1));
}

TEST(KeyTable, RejectsAnotherDigest) {
    key_table table;
    static_cast<void>(apply(table, make_claim("k", 1, 1)));
    EXPECT_EQ(apply(table, make_claim("k", 2, 2)).result, claim_result::differs);
}

TEST(KeyTable, AKeyIsReleasedOnlyIfItsRequestDidNotRun) {
    key_table table;
    static_cast<void>(apply(table, make_claim("k", 1)));
    apply(table, make_settlement("k", 9, outcome::not_executed));
    EXPECT_EQ(apply(table, make_claim("k", 2)).result, claim_result::held);
    apply(table, make_settlement("k", 1, outcome::not_executed));
    EXPECT_EQ(apply(table, make_claim("k", 2)).result, claim_result::granted);
    apply(table, make_settlement("k", 2, outcome::unknown));
    apply(table, make_settlement("k", 2, outcome::not_executed));
    EXPECT_EQ(apply(table, make_claim("k", 3)).result, claim_result::held);
}

TEST(KeyTable, IsBoundedByMaxKeysAndRetention) {
    key_table table;
    table.options.max_keys = 2;
    table.options.retention_ms = 1000;
    static_cast<void>(apply(table, make_claim("a", 1, 1, 0)));
    static_cast<void>(apply(table, make_claim("b", 2, 1, 500)));
    EXPECT_EQ(apply(table, make_claim("c", 3, 1, 900)).result, claim_result::full);
    EXPECT_EQ(apply(table, make_claim("c", 3, 1, 1200)).result, claim_result::granted);
    EXPECT_EQ(table.records.size(), 2U);
}

TEST(KeyTable, ATooLongAnswerIsNotStored) {
    key_table table;
    table.options.max_answer_bytes = 10;
    static_cast<void>(apply(table, make_claim("k", 1)));
    auto settled = make_settlement("k", 1, outcome::answered);
    settled.answer.body = std::string(100, 'x');
    apply(table, settled);
    const auto second = apply(table, make_claim("k", 2));
    EXPECT_FALSE(second.record.answer.complete);
    EXPECT_TRUE(second.record.answer.body.empty());
}

// A key is granted to a second request only after the first one was settled as not executed.
RC_GTEST_PROP(KeyTable, NeverGrantsAKeyToTwoRequestsThatMayRun, ()) {
    key_table table;
    std::map<std::string, std::set<std::uint64_t>> may_run;
    std::uint64_t next = 0;
    const auto steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
        const auto key = std::to_string(*rc::gen::inRange(0, 4));
        if (*rc::gen::arbitrary<bool>()) {
            const auto request =
                *rc::gen::inRange<std::uint64_t>(0, 3) == 0 && next > 0 ? next : ++next;
            if (apply(table, make_claim(key, request)).result == claim_result::granted) {
                RC_ASSERT(may_run[key].empty());
                may_run[key].insert(request);
            }
        } else {
            const auto request = *rc::gen::inRange<std::uint64_t>(0, next + 1);
            const auto result = static_cast<outcome>(*rc::gen::inRange(0, 3));
            const auto settled = may_run[key].contains(request) && table.records.contains(key) &&
                                 !table.records.at(key).result;
            apply(table, make_settlement(key, request, result));
            if (settled && result == outcome::not_executed) {
                may_run[key].erase(request);
            }
        }
    }
}

RC_GTEST_PROP(ControlState, RoundTripsThroughItsBinaryForm, ()) {
    control::state state;
    const auto steps = *rc::gen::inRange(0, 40);
    for (int step = 0; step < steps; ++step) {
        const auto key = std::to_string(*rc::gen::inRange(0, 10));
        if (*rc::gen::arbitrary<bool>()) {
            static_cast<void>(control::apply(state, make_claim(key, step)));
        } else {
            static_cast<void>(control::apply(state, make_settlement(key, step, outcome::answered)));
        }
    }
    const auto copy = control::decode_state(control::encode(state));
    RC_ASSERT(copy.keys.records == state.keys.records);
}

TEST(ControlState, RoundTripsCommandsAndReplies) {
    const control::command command_claim = make_claim("k", 3, 7, 9);
    const auto copy = std::get<claim>(control::decode_command(control::encode(command_claim)));
    EXPECT_EQ(copy.key, "k");
    EXPECT_EQ(copy.request, make_id(3));
    control::state state;
    const auto reply = control::apply(state, command_claim);
    const auto decoded = std::get<claim_answer>(control::decode_reply(control::encode(reply)));
    EXPECT_EQ(decoded.result, claim_result::granted);
}
