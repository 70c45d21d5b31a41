#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

#include "tarragonspar/dispatch/answer_log.hpp"
#include "tarragonspar/dispatch/right.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::dispatch;

} // namespace

TEST(DispatchRight, IsGrantedOnce) {
    dispatch_right right;
    EXPECT_TRUE(right.grant({1}));
    EXPECT_FALSE(right.grant({1}));
    EXPECT_FALSE(right.grant({2}));
    EXPECT_EQ(right.granted_to(), server_id{1});
}

TEST(DispatchRight, IsReturnedOnlyByTheServerItWasGrantedFor) {
    dispatch_right right;
    ASSERT_TRUE(right.grant({1}));
    EXPECT_FALSE(right.reclaim({2}));
    EXPECT_TRUE(right.reclaim({1}));
    EXPECT_TRUE(right.grant({2}));
}

TEST(DispatchRight, IsNotGrantedAfterWithdrawal) {
    dispatch_right right;
    EXPECT_TRUE(right.withdraw());
    EXPECT_FALSE(right.grant({1}));
    EXPECT_TRUE(right.withdraw()) << "a second withdrawal is harmless";
}

TEST(DispatchRight, CannotBeWithdrawnWhileGranted) {
    dispatch_right right;
    ASSERT_TRUE(right.grant({1}));
    EXPECT_FALSE(right.withdraw()) << "it may have run, so \"not executed\" must not be reported";
}

TEST(DispatchRight, IsAcquiredByExactlyOneThread) {
    for (int round = 0; round < 200; ++round) {
        dispatch_right right;
        std::atomic<int> winners{0};
        std::vector<std::thread> threads;
        for (std::uint32_t i = 1; i <= 4; ++i) {
            threads.emplace_back([&, i] {
                const bool won = i == 4 ? right.withdraw() : right.grant({i});
                winners += won ? 1 : 0;
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        EXPECT_EQ(winners, 1);
    }
}

TEST(AnswerLog, DropsRepeatedAndSkippedPieces) {
    answer_log log(1000);
    EXPECT_TRUE(log.append(answer_started{}));
    EXPECT_TRUE(log.append(answer_piece{.offset = 0, .tokens = 2, .text = "ab"}));
    EXPECT_FALSE(log.append(answer_piece{.offset = 0, .tokens = 2, .text = "ab"}));
    EXPECT_FALSE(log.append(answer_piece{.offset = 5, .tokens = 1, .text = "x"}));
    EXPECT_TRUE(log.append(answer_finished{.result = outcome::answered}));
    EXPECT_FALSE(log.append(answer_piece{.offset = 2, .tokens = 1, .text = "c"}));
    EXPECT_EQ(log.next_offset(), 2U);
}

TEST(AnswerLog, ReaderResumesAtTokenOffset) {
    answer_log log(1000);
    log.append(answer_started{});
    for (std::uint64_t i = 0; i < 5; ++i) {
        log.append(answer_piece{.offset = i, .tokens = 1, .text = "t"});
    }
    const auto position = log.position_of(3);
    ASSERT_TRUE(position);
    EXPECT_EQ(std::get<answer_piece>(*log.at(*position)).offset, 3U);
    EXPECT_EQ(log.position_of(0), 0U);
}

TEST(AnswerLog, IsBoundedForSlowReader) {
    answer_log log(10);
    log.append(answer_started{});
    std::uint64_t offset = 0;
    while (!log.is_full()) {
        log.append(answer_piece{.offset = offset++, .tokens = 1, .text = "abcd"});
    }
    EXPECT_LE(offset, 4U);
    log.consume(100);
    EXPECT_FALSE(log.is_full());
    EXPECT_FALSE(log.position_of(0)) << "the start is no longer buffered";
}

RC_GTEST_PROP(AnswerLog, ReaderSeesEachTokenOnceAndInOrder, ()) {
    answer_log log(64);
    log.append(answer_started{});
    std::uint64_t written = 0;
    std::uint64_t position = 0;
    std::uint64_t read = 0;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        if (*rc::gen::arbitrary<bool>() && !log.is_full()) {
            const auto offset =
                *rc::gen::inRange<std::uint64_t>(written > 2 ? written - 2 : 0, written + 2);
            written += log.append(answer_piece{.offset = offset, .tokens = 1, .text = "abcdefgh"});
        } else if (const auto* event = log.at(position)) {
            if (const auto* piece = std::get_if<answer_piece>(event)) {
                RC_ASSERT(piece->offset == read);
                ++read;
            }
            log.consume(++position);
        }
    }
    RC_ASSERT(read <= written);
}
