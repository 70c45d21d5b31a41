#include <gtest/gtest.h>

#include "fault_table.hpp"

// A faulty server may write another page in place of its answer, with the id of the request but
// without the server's signature. Such a success must reach no caller.

using namespace tarragonspar;
using namespace tarragonspar::testing;

namespace {

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string event_stream = "Content-Type: text/event-stream\r\n";

/// Returns successes of every framing, with the given headers.
std::vector<server_answer> successes(const std::string& headers) {
    const std::string ok = "HTTP/1.1 200 OK\r\n" + headers;
    return {
        {"length", answer("200 OK", headers, "page")},
        {"chunks", ok + chunked + "\r\n" + chunk("page") + last_chunk},
        {"no length", ok + "\r\npage"},
        {"created", answer("201 Created", headers, "page")},
        {"no content", "HTTP/1.1 204 No Content\r\n" + headers + "\r\n"},
        {"part", answer("206 Partial Content", headers + "Content-Range: bytes 0-3/9\r\n", "page")},
        {"stream", ok + event_stream + chunked + "\r\n" + chunk(pieces(1, 2)) + last_chunk},
        {"stream without length", ok + event_stream + "\r\n" + pieces(1, 2)},
    };
}

} // namespace

// MIXED: callers got an unsigned page as the answer of the server.
TEST(UnsignedAnswer, ASuccessWithoutASignatureIsNotForwarded) {
    std::vector<row> not_repeated;
    std::vector<row> repeated;
    for (const auto& headers : {named, named + "Response-Signature: \r\n",
                                named + "Response-Signature:  \t \r\n", own + signature}) {
        for (const auto& answer : successes(headers)) {
            not_repeated.push_back({answer, "502, 1"});
            repeated.push_back({answer, "200 second, 2"});
        }
    }
    expect_results({"unsafe", "once"}, not_repeated);
    expect_results({"safe", "resumable"}, repeated);
}

// The false alarms of that check: signed successes, and failures, which need no signature.
TEST(UnsignedAnswer, ASignedSuccessAndAFailureAreForwarded) {
    std::vector<row> rows;
    for (const auto& answer : successes(own)) {
        const auto status = answer.bytes.substr(answer.bytes.find(' ') + 1, 3);
        const auto body = answer.what.starts_with("stream") ? pieces(1, 2) : "page";
        rows.push_back({answer, status + (status == "200" ? " " + body : "") + ", 1"});
    }
    for (const std::string status : {"302 Found", "404 Not Found", "409 Conflict"}) {
        rows.push_back({{status, answer(status, named)}, status.substr(0, 3) + ", 1"});
    }
    expect_results({"unsafe", "once", "safe", "resumable"}, rows);
    expect_results({"unsafe", "once"}, {{{"failure", answer("500 Failed", named)}, "500, 1"}});
}

// The events of an unsigned stream must not be joined to those of a signed one.
TEST(UnsignedAnswer, AStreamIsNotContinuedByAnUnsignedOne) {
    const auto rest = stream(pieces(3, last_piece), named) + last_chunk;
    const fault_table table({{"resumable", {"two events", stream(pieces(1, 2))}, {"rest", rest}}});
    const auto got = table.play(0);
    EXPECT_EQ(got.body, pieces(1, 2));
    EXPECT_FALSE(got.complete);
    EXPECT_EQ(table.arrivals(0), 3);
}

// Callers request bodies without a content coding, so an encoded one is not the server's body.
TEST(UnsignedAnswer, AnAnswerWithAContentCodingIsNotForwarded) {
    std::vector<row> not_repeated;
    std::vector<row> repeated;
    for (const std::string coding : {"gzip", "identity", ""}) {
        const auto headers = own + "Content-Encoding: " + coding + "\r\n";
        auto answers = successes(headers);
        answers.push_back({"error", answer("500 Failed", headers)});
        answers.push_back({"client error", answer("404 Not Found", headers)});
        for (const auto& answer : answers) {
            not_repeated.push_back({answer, "502, 1"});
            repeated.push_back({answer, "200 second, 2"});
        }
    }
    expect_results({"unsafe", "once"}, not_repeated);
    expect_results({"safe", "resumable"}, repeated);
    const auto refusal = answer("503 Busy", own + declined + "Content-Encoding: gzip\r\n");
    expect_results({"unsafe", "safe"}, {{{"declined", refusal}, "200 second, 2"}});
}
