#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "tarragonspar/emulator/engine.hpp"
#include "tarragonspar/emulator/fake_server.hpp"
#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/detail/engine_stream.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::http;
using detail::answer_assembler;
using detail::engine_event;

engine_event make_event(std::uint64_t offset, std::uint32_t tokens, bool done = false) {
    engine_event event;
    event.id = "1-1-1";
    event.offset = offset;
    event.tokens = tokens;
    event.done = done;
    return event;
}

} // namespace

TEST(CompletionApi, ParsesChatAndTextCompletions) {
    const auto chat = parse_completion(
        R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],)"
        R"("max_tokens":5,"stream":true})",
        true);
    ASSERT_TRUE(std::holds_alternative<completion_request>(chat));
    EXPECT_NE(std::get<completion_request>(chat).prompt.find("hi"), std::string::npos);
    EXPECT_TRUE(std::get<completion_request>(chat).stream);
    EXPECT_TRUE(std::holds_alternative<completion_request>(
        parse_completion(R"({"model":"m","prompt":"x"})", false)));
}

TEST(CompletionApi, RejectsInvalidBodies) {
    for (const auto* body :
         {"[]", "{}", R"({"model":"m"})", R"({"prompt":"x"})",
          R"({"model":"m","prompt":"x","max_tokens":-1})", R"({"model":1,"prompt":"x"})"}) {
        EXPECT_TRUE(std::holds_alternative<std::string>(parse_completion(body, false))) << body;
    }
}

RC_GTEST_PROP(CompletionApi, NeverThrowsOnArbitraryInput, ()) {
    const auto body = *rc::gen::arbitrary<std::string>();
    static_cast<void>(parse_completion(body, true));
    RC_SUCCEED();
}

TEST(CompletionApi, AProblemStatesOutcomeAndRetryAfter) {
    dispatch::answer_finished last;
    last.result = outcome::not_executed;
    last.why = reason::overloaded;
    last.retry_after = std::chrono::milliseconds{1500};
    const auto problem = format_problem("1-1-1", last);
    EXPECT_EQ(problem.status, 429U);
    const auto body = nlohmann::json::parse(problem.body);
    EXPECT_EQ(body["outcome"], "not_executed");
    EXPECT_EQ(body["retry_after_seconds"], 2);
}

TEST(AnswerAssembler, AcceptsEachPartOnceAndDetectsGaps) {
    answer_assembler answer("1-1-1", 0);
    auto first = make_event(0, 2);
    EXPECT_EQ(answer.accept(first), answer_assembler::disposition::use);
    EXPECT_EQ(answer.accept(first), answer_assembler::disposition::duplicate);
    auto later = make_event(5, 1);
    EXPECT_EQ(answer.accept(later), answer_assembler::disposition::gap);
    auto overlapping = make_event(1, 2);
    EXPECT_EQ(answer.accept(overlapping), answer_assembler::disposition::gap);
    auto foreign = make_event(2, 1);
    foreign.id = "9-9-9";
    EXPECT_EQ(answer.accept(foreign), answer_assembler::disposition::foreign);
    auto early_end = make_event(7, 0, true);
    EXPECT_EQ(answer.accept(early_end), answer_assembler::disposition::gap);
    auto end = make_event(2, 0, true);
    EXPECT_EQ(answer.accept(end), answer_assembler::disposition::use);
}

// The events don't depend on how the stream is divided into reads.
RC_GTEST_PROP(EventSplitter, DoesNotDependOnHowBytesArrive, ()) {
    std::string bytes;
    const auto count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
        bytes += ": keep-alive\n\ndata: {\"n\":" + std::to_string(i) + "}\n\n";
    }
    detail::event_splitter splitter;
    std::vector<std::string> events;
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        splitter.append(std::string_view(bytes).substr(0, size));
        bytes.erase(0, size);
        while (auto event = splitter.next()) {
            events.push_back(*event);
        }
    }
    RC_ASSERT(events.size() == static_cast<std::size_t>(count));
    RC_ASSERT(events.back() == "{\"n\":" + std::to_string(count - 1) + "}");
}

RC_GTEST_PROP(EngineEvent, NeverThrowsOnArbitraryInput, ()) {
    static_cast<void>(detail::parse_engine_event(*rc::gen::arbitrary<std::string>()));
    RC_SUCCEED();
}

TEST(EmulatedEngine, BatchesAndReusesAPrefix) {
    emulator::engine engine({.slots = 2});
    const auto blocks = hash_blocks(std::string(20 * block_tokens * bytes_per_token, 'a'));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        engine.submit({.id = {.sequence = i}, .prompt = {1300}, .output = {4}, .blocks = blocks},
                      time_point{});
    }
    std::vector<emulator::progress> events;
    while (const auto next = engine.next_step()) {
        engine.run_step(*next, events);
        EXPECT_LE(engine.running(), 2U);
    }
    int finished = 0;
    for (const auto& event : events) {
        finished += event.kind == emulator::progress_kind::finished ? 1 : 0;
    }
    EXPECT_EQ(finished, 3);
    EXPECT_EQ(engine.totals().generated, 12U);
    EXPECT_EQ(engine.totals().cached_prefill, 20U * block_tokens)
        << "the third request found the prefix in the cache";
}

TEST(EmulatedEngine, CountsThePromptOfACancelledJobAsWasted) {
    emulator::engine engine({});
    engine.submit({.id = {.sequence = 1}, .prompt = {100}, .output = {50}, .blocks = {}},
                  time_point{});
    std::vector<emulator::progress> events;
    engine.run_step(*engine.next_step(), events);
    EXPECT_TRUE(engine.cancel({.sequence = 1}));
    EXPECT_EQ(engine.totals().wasted_prefill, 100U);
}
