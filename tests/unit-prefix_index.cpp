#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <list>

#include "tarragonspar/routing/prefix_index.hpp"
#include "tarragonspar/types/work.hpp"

namespace {

using namespace tarragonspar;
using routing::prefix_index;

std::vector<block_hash> chain(std::uint64_t document, std::size_t length) {
    std::vector<block_hash> blocks;
    for (std::size_t i = 0; i < length; ++i) {
        blocks.push_back({document * 1000 + i});
    }
    return blocks;
}

/// Reference implementation on a list.
struct reference_index {
    std::size_t capacity;
    std::list<block_hash> order;

    void insert(const std::vector<block_hash>& blocks) {
        for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
            order.remove(*block);
            order.push_front(*block);
        }
        while (order.size() > capacity) {
            order.pop_back();
        }
    }
    std::size_t match(const std::vector<block_hash>& blocks) const {
        std::size_t count = 0;
        for (const auto block : blocks) {
            if (std::find(order.begin(), order.end(), block) == order.end()) {
                break;
            }
            ++count;
        }
        return count;
    }
};

} // namespace

TEST(HashBlocks, TwoPromptsShareTheHashesOfTheirCommonBlocks) {
    const std::string common(3 * block_tokens * bytes_per_token, 'a');
    const auto first = hash_blocks(common + std::string(600, 'b'));
    const auto second = hash_blocks(common + std::string(600, 'c'));
    ASSERT_GE(first.size(), 4U);
    EXPECT_TRUE(std::equal(first.begin(), first.begin() + 3, second.begin()));
    EXPECT_NE(first[3], second[3]);
}

TEST(PrefixIndex, MatchesTheLongestKnownPrefix) {
    prefix_index index;
    index.insert(chain(1, 4));
    EXPECT_EQ(index.match(chain(1, 10)), 4U);
    EXPECT_EQ(index.match(chain(2, 10)), 0U);
}

TEST(PrefixIndex, AGapInTheEventsInvalidatesEarlierBlocks) {
    prefix_index index;
    EXPECT_TRUE(index.accept_event(1));
    index.insert(chain(1, 4));
    EXPECT_TRUE(index.accept_event(3)) << "event 2 is missing";
    EXPECT_EQ(index.match(chain(1, 4)), 0U);
    index.confirm(chain(1, 4), 4);
    EXPECT_EQ(index.match(chain(1, 4)), 4U) << "an answer confirmed the blocks";
}

TEST(PrefixIndex, RejectsDuplicateAndOutOfOrderEvents) {
    prefix_index index;
    EXPECT_TRUE(index.accept_event(2));
    EXPECT_FALSE(index.accept_event(2));
    EXPECT_FALSE(index.accept_event(1));
}

TEST(PrefixIndex, ShrinksWhenAnAnswerReportsFewerCachedBlocks) {
    prefix_index index(1000);
    for (std::uint64_t document = 0; document < 10; ++document) {
        index.insert(chain(document, 100));
    }
    const auto before = index.size();
    index.confirm(chain(0, 100), 10);
    EXPECT_LT(index.size(), before);
}

// Evicted blocks make room, so that as many new blocks as the capacity no longer push out all older
// ones.
TEST(PrefixIndex, FindsAPromptThatOutlivesEvictedBlocks) {
    constexpr std::size_t capacity = 64;
    prefix_index index(capacity);
    index.insert(chain(1, 4));
    for (std::uint64_t document = 2; document < 12; ++document) {
        index.insert(chain(document, 30));
        index.evict(chain(document, 30));
    }
    EXPECT_EQ(index.match(chain(1, 4)), 4U);
}

RC_GTEST_PROP(PrefixIndex, AgreesWithTheReferenceImplementation, ()) {
    const std::size_t capacity = 64;
    prefix_index index(capacity);
    reference_index reference{.capacity = capacity, .order = {}};
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        // Drawn one after the other: the order of arguments' evaluation depends on the processor.
        const auto source = *rc::gen::inRange<std::uint64_t>(0, 8);
        const auto length = *rc::gen::inRange<std::size_t>(1, 30);
        const auto blocks = chain(source, length);
        if (*rc::gen::inRange(0, 5) == 0) {
            // Evicts blocks from a random position, which may be in the middle of a longer chain.
            const auto from = *rc::gen::inRange<std::size_t>(0, blocks.size());
            const auto evicted = std::span(blocks).subspan(from);
            index.evict(evicted);
            for (const auto block : evicted) {
                reference.order.remove(block);
            }
        } else {
            index.insert(blocks);
            reference.insert(blocks);
        }
        for (std::uint64_t document = 0; document < 8; ++document) {
            // Called twice, since matches are cached until the next change.
            const auto prompt = chain(document, 30);
            RC_ASSERT(index.match(prompt) == reference.match(prompt));
            RC_ASSERT(index.match(prompt) == reference.match(prompt));
        }
        RC_ASSERT(index.size() <= capacity);
    }
}
