#include <gtest/gtest.h>

#include <sstream>

#include "tarragonspar/telemetry/explain.hpp"

namespace {

using namespace tarragonspar::telemetry;

std::vector<log_entry> read(const std::string& source, const std::string& text) {
    std::vector<log_entry> out;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        if (auto entry = read_log_entry(line, source)) {
            out.push_back(std::move(*entry));
        }
    }
    return out;
}

// Lines from a simulated day, as the instances wrote them.
const char* const refused =
    "t=2026-09-01T05:36:43.001Z event=scheduler_lost scheduler=own entry_instances=73\n"
    "t=2026-09-01T05:36:43.951Z event=scheduler_found scheduler=10.4.0.20 entry_instances=61\n"
    "t=2026-09-01T05:36:51.897Z event=request id=05af81b8c7e675cf route=r-r3d4cyj service=logo66a "
    "workspace=rale880 tier=1 rank=2 status=503 why=overloaded server=none granted_by=none "
    "attempts=0 unreachable=0 wait_ms=-1 first_event_ms=-1 total_ms=1624 allowed_ms=11664 "
    "prompt_tokens=348 max_output=1720 expected_output=10 events=0 bytes=0 revision=3\n";

const char* const unknown =
    "t=2026-09-01T05:36:49.581Z event=request_again id=c63e09c56c187079 server=i-01690c9e5d "
    "cause=not_executed attempts=1\n"
    "t=2026-09-01T05:36:49.796Z event=request id=c63e09c56c187079 route=r-cu8gjh8 service=ravo64b "
    "workspace=none tier=0 rank=0 status=502 why=none server=i-d1a4c8defb granted_by=leader "
    "attempts=2 unreachable=0 wait_ms=620 first_event_ms=-1 total_ms=626 allowed_ms=919 "
    "prompt_tokens=0 max_output=0 expected_output=0 events=0 bytes=0 revision=3\n";

const char* const aborted =
    "t=2026-09-01T05:36:55.224Z event=request id=ebcab6a285afb38c route=r-vd3xxi4 service=logo66a "
    "workspace=xavo486 tier=1 rank=1 status=200 why=timed_out server=i-f3744ea767 "
    "granted_by=leader attempts=1 unreachable=0 wait_ms=988 first_event_ms=1212 total_ms=2415 "
    "allowed_ms=2415 prompt_tokens=2169 max_output=520 expected_output=157 events=13 bytes=836 "
    "revision=3\n";

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST(Explain, RefusedRequestShowsStateKnownToItsInstance) {
    auto entries = read("edge-1", refused);
    const auto other = read("edge-2", unknown);
    entries.insert(entries.end(), other.begin(), other.end());
    const auto text = explain("05af81b8c7e675cf", entries);
    EXPECT_TRUE(contains(text, "edge-1: 503, the queue was full")) << text;
    EXPECT_TRUE(contains(text, "scheduler_found")) << text;
    EXPECT_FALSE(contains(text, "scheduler_lost"))
        << "a scheduler was found before the request ended\n"
        << text;
    EXPECT_FALSE(contains(text, "c63e09c56c187079")) << text;
}

TEST(Explain, UnknownOutcomeNamesServerAndPreviousAttempt) {
    const auto text = explain("c63e09c56c187079", read("edge-2", unknown));
    EXPECT_TRUE(contains(text, "502, server i-d1a4c8defb")) << text;
    EXPECT_TRUE(contains(text, "it may have run")) << text;
    EXPECT_TRUE(contains(text, "request_again attempts=1 cause=not_executed")) << text;
}

TEST(Explain, AbortedStreamIsDistinguishedFromCompleteOne) {
    const auto text = explain("ebcab6a285afb38c", read("edge-3", aborted));
    EXPECT_TRUE(contains(text, "was aborted at its deadline")) << text;
}

TEST(Explain, LateAnswerIsAttributedToQueueOrServer) {
    const std::string head = "event=request id=a status=200 why=none server=i-1 objective_ms=1000 ";
    EXPECT_TRUE(contains(explain("a", read("e", head + "wait_ms=900 first_event_ms=1200")),
                         "waited for a server"));
    EXPECT_TRUE(contains(explain("a", read("e", head + "wait_ms=3 first_event_ms=1200")),
                         "server i-1 took most of the time"));
    EXPECT_TRUE(contains(explain("a", read("e", head + "wait_ms=3 first_event_ms=200")),
                         "answered in time"));
}

TEST(Explain, UnknownIdYieldsEmptyText) {
    EXPECT_EQ(explain("nobody", read("edge-1", refused)), "");
    EXPECT_FALSE(read_log_entry("a line of something else", "x"));
    const auto quoted = read_log_entry(R"(12.5 edge-1 t=1 event=e why="a \"b\" c" n=2)", "x");
    ASSERT_TRUE(quoted);
    EXPECT_EQ(quoted->source, "edge-1");
    EXPECT_EQ(quoted->value("why"), "a \"b\" c");
    EXPECT_EQ(quoted->number("n"), 2);
    EXPECT_EQ(quoted->number("why"), -1);
}
