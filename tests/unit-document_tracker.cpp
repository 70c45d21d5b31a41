#include <gtest/gtest.h>

#include "tarragonspar/config/document_tracker.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::config;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};

document_tracker make_tracker() {
    document_tracker tracker;
    tracker.started = start;
    return tracker;
}

document make_document(std::uint64_t number) {
    return {.number = {number}, .content = "content " + std::to_string(number)};
}

document_update from_leader(std::uint64_t number, time_point requested) {
    return {.content = make_document(number),
            .newest = newest_document{.number = {number}},
            .requested = requested};
}

document_update unconfirmed(std::uint64_t number, document_source source) {
    return {.content = make_document(number), .source = source, .requested = start};
}

/// Handles an answer as an instance does that can read every document.
void handle(document_tracker& tracker, const document_update& update, time_point now) {
    if (auto next = receive(tracker, update, now)) {
        set_in_force(tracker, std::move(*next));
    }
    confirm(tracker, update);
}

} // namespace

// After a restart of all instances, the first document that is offered may be the one of a snapshot
// or of a peer that missed the last publication.
TEST(DocumentTracker, AnUnconfirmedFirstDocumentIsNotPutInForceAtOnce) {
    for (const auto source : {document_source::control_instance, document_source::entry_instance}) {
        auto tracker = make_tracker();
        const auto wait = source == document_source::control_instance
                              ? tracker.options.control_document_wait
                              : tracker.options.peer_document_wait;
        EXPECT_FALSE(receive(tracker, unconfirmed(2, source), start));
        EXPECT_FALSE(due_candidate(tracker, start + wait - milliseconds{1}));
        const auto due = due_candidate(tracker, start + wait);
        ASSERT_TRUE(due) << "a failure domain that is cut off serves by what it has";
        EXPECT_EQ(due->number.value, 2U);
    }
}

TEST(DocumentTracker, AConfirmedDocumentIsPutInForceAtOnce) {
    auto tracker = make_tracker();
    handle(tracker, unconfirmed(2, document_source::control_instance), start);
    handle(tracker, from_leader(5, start), start);
    EXPECT_EQ(tracker.in_force.number.value, 5U);
    EXPECT_TRUE(is_confirmed(tracker, start));
    EXPECT_FALSE(due_candidate(tracker, start + seconds{60})) << "the older one is forgotten";
}

TEST(DocumentTracker, ANewerDocumentReplacesAnOlderOneWithoutConfirmation) {
    auto tracker = make_tracker();
    handle(tracker, from_leader(5, start), start);
    handle(tracker, unconfirmed(6, document_source::control_instance), start);
    EXPECT_EQ(tracker.in_force.number.value, 6U);
    EXPECT_FALSE(is_confirmed(tracker, start)) << "nobody said that 6 is the newest";
    handle(tracker, from_leader(5, start), start);
    EXPECT_EQ(tracker.in_force.number.value, 6U);
    EXPECT_FALSE(is_confirmed(tracker, start));
}

TEST(DocumentTracker, AConfirmationExpires) {
    auto tracker = make_tracker();
    handle(tracker, from_leader(5, start), start);
    const auto age = tracker.options.max_confirmation_age;
    EXPECT_TRUE(is_confirmed(tracker, start + age));
    EXPECT_FALSE(is_confirmed(tracker, start + age + milliseconds{1}));
    handle(tracker, {.newest = newest_document{.number = {5}}, .requested = start + seconds{3}},
           start + seconds{3});
    EXPECT_TRUE(is_confirmed(tracker, start + seconds{3}));
    EXPECT_FALSE(receive(tracker, {.newest = newest_document{.number = {6}}}, start + seconds{3}));
}

// Ages add up along a chain of peers, so that none of them extends another's knowledge.
TEST(DocumentTracker, APeersConfirmationIsAsOldAsItsOwn) {
    auto first = make_tracker();
    handle(first, from_leader(5, start), start);
    const auto later = start + milliseconds{1'500};
    const auto known = newest_known(first, later);
    ASSERT_TRUE(known);
    auto second = make_tracker();
    second.started = later;
    handle(second,
           {.content = first.in_force,
            .newest = known,
            .source = document_source::entry_instance,
            .requested = later},
           later);
    EXPECT_EQ(second.in_force.number.value, 5U);
    EXPECT_TRUE(is_confirmed(second, start + seconds{2}));
    EXPECT_FALSE(is_confirmed(second, start + milliseconds{2'100}));
    EXPECT_FALSE(newest_known(first, start + milliseconds{2'100}));
    auto third = make_tracker();
    third.started = later;
    handle(third,
           {.content = first.in_force,
            .newest = newest_document{.number = {5}, .age = seconds{3}},
            .source = document_source::entry_instance,
            .requested = later},
           later);
    EXPECT_EQ(third.in_force.number.value, 0U) << "the confirmation is too old";
}

TEST(DocumentTracker, KeepsTheNewestUnconfirmedDocument) {
    auto tracker = make_tracker();
    handle(tracker, unconfirmed(4, document_source::control_instance), start);
    handle(tracker, unconfirmed(3, document_source::entry_instance), start);
    const auto due = due_candidate(tracker, start + tracker.options.peer_document_wait);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->number.value, 4U);
}
