#include <gtest/gtest.h>

#include "tarragonspar/http/event_splitter.hpp"

namespace {

using tarragonspar::http::event_splitter;

} // namespace

TEST(EventSplitter, ReturnsCompleteEventsOnly) {
    event_splitter splitter;
    EXPECT_TRUE(splitter.append("id: 1\ndata: a").empty());
    const auto events = splitter.append("\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events[0].id, 1U);
    EXPECT_EQ(events[1].bytes, "id: 2\r\ndata: b\r\n\r\n");
    EXPECT_EQ(events[1].id, 2U);
    EXPECT_EQ(splitter.unfinished(), 8U);
}

TEST(EventSplitter, PreservesAllBytes) {
    const std::string stream = "weight-versions: 2\nid:7\ndata: x\n\n:note\n\nid: x\ndata:\n\n";
    for (std::size_t step = 1; step < stream.size(); ++step) {
        event_splitter splitter;
        std::string out;
        for (std::size_t offset = 0; offset < stream.size(); offset += step) {
            for (const auto& event : splitter.append(stream.substr(offset, step))) {
                out += event.bytes;
            }
        }
        EXPECT_EQ(out, stream);
        EXPECT_EQ(splitter.unfinished(), 0U);
    }
}

// An event of a megabyte that arrives in small parts must not be scanned from its beginning for
// each part, which would take quadratic time.
TEST(EventSplitter, ALongEventInSmallPartsIsScannedOnce) {
    event_splitter splitter;
    std::size_t event_count = 0;
    for (int i = 0; i < 200'000; ++i) {
        event_count += splitter.append("data\n").size();
    }
    EXPECT_EQ(event_count, 0U);
    EXPECT_EQ(splitter.unfinished(), 1'000'000U);
    const auto events = splitter.append("\n");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().bytes.size(), 1'000'001U);
    EXPECT_EQ(splitter.unfinished(), 0U);
}

TEST(EventSplitter, DetectsEventsWithoutData) {
    event_splitter splitter;
    const auto events = splitter.append(": alive\n\nid: 4\ndata: x\n\n: a\nid: 3\n\n\n");
    ASSERT_EQ(events.size(), 4U);
    EXPECT_FALSE(events[0].has_data);
    EXPECT_TRUE(events[1].has_data);
    EXPECT_FALSE(events[2].has_data);
    EXPECT_FALSE(events[3].has_data);
}
