#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "generators.hpp"
#include "tarragonspar/admission/tier_queue.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using admission::queued_item;
using admission::tier_queue;

queued_item make_item(std::uint64_t sequence, int urgency, std::uint64_t workspace,
                      std::int64_t deadline_ms, double cost = 1.0) {
    return {.work = make_work(sequence, urgency, workspace, 0, deadline_ms), .cost_seconds = cost};
}

/// Reference implementation on a plain list. Keeps virtual times by workspace and tier.
class reference_queue {
public:
    explicit reference_queue(double slack) : slack_(slack) {}

    void push(const queued_item& item) {
        const auto key = key_of(item);
        if (!has_waiting(key)) {
            virtual_[key] = std::max(virtual_[key], now_[key.first]);
        }
        items_.push_back(item);
    }

    const queued_item* peek() const {
        for (std::uint8_t level = 0; level < tier_count; ++level) {
            double least = -1.0;
            for (const auto& item : items_) {
                if (item.work.urgency.value == level) {
                    const auto time = virtual_.at(key_of(item));
                    least = least < 0.0 ? time : std::min(least, time);
                }
            }
            const queued_item* best = nullptr;
            for (const auto& item : items_) {
                if (item.work.urgency.value != level ||
                    virtual_.at(key_of(item)) > least + slack_) {
                    continue;
                }
                if (best == nullptr || std::pair(item.work.deadline, item.work.id) <
                                           std::pair(best->work.deadline, best->work.id)) {
                    best = &item;
                }
            }
            if (best != nullptr) {
                return best;
            }
        }
        return nullptr;
    }

    void dequeue(const request_id& id) {
        const auto item = remove(id);
        const auto key = key_of(item);
        virtual_[key] = std::max(virtual_[key], now_[key.first]) + item.cost_seconds;
        double least = -1.0;
        for (const auto& other : items_) {
            if (other.work.urgency.value == key.first) {
                const auto time = virtual_.at(key_of(other));
                least = least < 0.0 ? time : std::min(least, time);
            }
        }
        if (least >= 0.0) {
            now_[key.first] = std::max(now_[key.first], least);
        }
    }

    queued_item remove(const request_id& id) {
        const auto found = std::find_if(items_.begin(), items_.end(),
                                        [&](const auto& item) { return item.work.id == id; });
        const auto item = *found;
        items_.erase(found);
        return item;
    }

private:
    using flow_key = std::pair<std::uint8_t, workspace_id>;

    static flow_key key_of(const queued_item& item) {
        return {item.work.urgency.value, item.work.workspace};
    }

    bool has_waiting(const flow_key& key) const {
        return std::any_of(items_.begin(), items_.end(),
                           [&](const auto& item) { return key_of(item) == key; });
    }

    double slack_;
    std::vector<queued_item> items_;
    std::map<flow_key, double> virtual_;
    std::map<std::uint8_t, double> now_;
};

// A request that waited for capacity on one particular server (a long prompt, with engines of
// different speed) kept its workspace the least served one. Until it was placed, less urgent
// requests overtook those of the same rank of all workspaces beyond the slack.
TEST(TierQueue, WorkspacesBeyondTheSlackComeBeforeLessUrgentRanks) {
    tier_queue queue({.fairness_slack_seconds = 2.0});
    const auto make_ranked = [](std::uint64_t sequence, std::uint8_t rank,
                                std::uint64_t workspace) {
        auto item = make_item(sequence, 1, workspace, 1000, 3.0);
        item.work.rank = {rank};
        return item;
    };
    queue.push(make_ranked(1, 0, 1));
    queue.push(make_ranked(2, 0, 2));
    ASSERT_TRUE(queue.dequeue(make_ranked(2, 0, 2).work.id)); // workspace 2 is now beyond the slack
    queue.push(make_ranked(3, 0, 2));
    queue.push(make_ranked(4, 1, 3));

    std::vector<std::uint64_t> order;
    for (const auto* item : queue.candidates({tier_count - 1}, 12)) {
        order.push_back(item->work.id.sequence);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{1, 3, 4}));
}

} // namespace

TEST(TierQueue, ServesTheMostUrgentTierFirst) {
    tier_queue queue;
    queue.push(make_item(1, 2, 1, 10));
    queue.push(make_item(2, 0, 1, 900));
    queue.push(make_item(3, 1, 1, 5));
    EXPECT_EQ(queue.peek()->work.id, make_id(2));
    EXPECT_EQ(queue.peek({1})->work.id, make_id(2));
    queue.dequeue(make_id(2));
    EXPECT_EQ(queue.peek()->work.id, make_id(3));
}

TEST(TierQueue, PeekConsidersOnlyTheGivenTiers) {
    tier_queue queue;
    queue.push(make_item(1, 2, 1, 10));
    EXPECT_EQ(queue.peek({1}), nullptr);
    EXPECT_NE(queue.peek({2}), nullptr);
}

TEST(TierQueue, ServesTheEarliestDeadlineWithinATier) {
    tier_queue queue;
    queue.push(make_item(1, 1, 1, 500));
    queue.push(make_item(2, 1, 2, 300));
    EXPECT_EQ(queue.peek()->work.id, make_id(2));
}

TEST(TierQueue, AFloodingWorkspaceDoesNotStarveASmallOne) {
    tier_queue queue({.fairness_slack_seconds = 2.0});
    for (std::uint64_t i = 0; i < 100; ++i) {
        queue.push(make_item(i, 1, 1, static_cast<std::int64_t>(i)));
    }
    queue.push(make_item(1000, 1, 2, 1'000'000));
    int served_before = 0;
    while (queue.peek()->work.id != make_id(1000)) {
        queue.dequeue(queue.peek()->work.id);
        ++served_before;
    }
    EXPECT_LE(served_before, 3) << "more than the slack was served before the small workspace";
}

TEST(TierQueue, ShedsFromTheLeastUrgentTierOnly) {
    tier_queue queue;
    queue.push(make_item(1, 0, 1, 10, 9.0));
    queue.push(make_item(2, 2, 1, 10, 1.0));
    queue.push(make_item(3, 2, 1, 10, 5.0));
    const auto* chosen = queue.first_to_shed(
        [](const queued_item& a, const queued_item& b) { return a.cost_seconds > b.cost_seconds; });
    EXPECT_EQ(chosen->work.id, make_id(3));
}

RC_GTEST_PROP(TierQueue, AgreesWithTheReferenceImplementation, ()) {
    const double slack = 1.5;
    tier_queue queue({.fairness_slack_seconds = slack});
    reference_queue reference(slack);
    std::vector<request_id> waiting;
    std::uint64_t next = 0;
    const auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const auto action = *rc::gen::inRange(0, 4);
        if (action < 2 || waiting.empty()) {
            const auto item =
                make_item(++next, *rc::gen::inRange(0, 4), *rc::gen::inRange<std::uint64_t>(1, 5),
                          *rc::gen::inRange(0, 1000), *rc::gen::inRange(1, 9) / 4.0);
            queue.push(item);
            reference.push(item);
            waiting.push_back(item.work.id);
        } else if (action == 2) {
            const auto id = queue.peek()->work.id;
            RC_ASSERT(queue.dequeue(id).has_value());
            reference.dequeue(id);
            std::erase(waiting, id);
        } else {
            const auto id = waiting[*rc::gen::inRange<std::size_t>(0, waiting.size())];
            RC_ASSERT(queue.erase(id).has_value());
            reference.remove(id);
            std::erase(waiting, id);
        }
        RC_ASSERT(queue.size() == waiting.size());
        const auto* actual = queue.peek();
        const auto* expected = reference.peek();
        RC_ASSERT((actual == nullptr) == (expected == nullptr));
        if (actual != nullptr) {
            RC_ASSERT(actual->work.id == expected->work.id);
        }
    }
}

RC_GTEST_PROP(TierQueue, KeepsStateForABoundedNumberOfWorkspaces, ()) {
    tier_queue queue;
    for (std::uint64_t i = 0; i < 2000; ++i) {
        queue.push(make_item(i, 1, i, *rc::gen::inRange(0, 1000)));
        queue.dequeue(make_id(i));
    }
    RC_ASSERT(queue.workspace_count() <= 70U);
}
