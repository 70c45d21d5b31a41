#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Event streams: resumed, cut, slow, stalled, endless.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

} // namespace

TEST(Deployment, AStreamGoesOnAtAnotherServerWithoutGapOrRepeat) {
    const auto script = [](const seen_request& request, asio::ip::tcp::socket& socket) {
        const auto found = request.headers.find("Last-Event-Id");
        const auto after = found == request.headers.end() ? 0 : std::stoi(found->second);
        write_raw(socket, stream_head(request, "from " + std::to_string(after)));
        if (after == 0) {
            write_raw(socket, chunk(event_text(1) + event_text(2) + "id: 3\nda"));
            return; // in the middle of an event
        }
        // One event too early, as a server may count differently.
        for (int id = after; id <= 4; ++id) {
            write_raw(socket, chunk(event_text(id)));
        }
        write_raw(socket, "0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/resumable/x", "b");
    EXPECT_TRUE(got.whole);
    EXPECT_EQ(got.body, event_text(1) + event_text(2) + event_text(3) + event_text(4));
    EXPECT_EQ(got.headers.at("Response-Signature"), "from 0") << "the first server's headers stay";
}

TEST(Deployment, AStreamThatMayRunOnceIsCutVisibly) {
    std::atomic<int> arrivals{0};
    const auto script = [&](const seen_request& request, asio::ip::tcp::socket& socket) {
        ++arrivals;
        write_raw(socket, stream_head(request, "sig"));
        write_raw(socket, chunk(event_text(1)) + chunk("id: 2\ndata: cut"));
        reset(socket);
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/once/x", "b");
    EXPECT_FALSE(got.whole);
    EXPECT_EQ(got.body.find("cut"), std::string::npos) << "a cut event is dropped";
    EXPECT_EQ(arrivals, 1);
}

// Work that goes on to its deadline would end as well, so a caller that stays is the measure: what
// it waits for has the same time and began before.
TEST(Deployment, ACallerThatLeavesEndsTheWorkAtTheServer) {
    for (const std::string target : {"/once/x", "/unsafe/x"}) {
        std::mutex mutex;
        std::vector<std::string> ended;
        const scripted_server slow(
            "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
                if (target == "/once/x") {
                    write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
                }
                char byte{};
                boost::system::error_code error;
                socket.read_some(asio::buffer(&byte, 1), error); // waits for the connection's end
                const std::lock_guard lock(mutex);
                ended.push_back(request.headers.at("Attempt-Id"));
            });
        platform_deployment d;
        d.add_server(slow, "s");
        d.serve(make_manifest(1));
        asio::io_context context;
        const auto call = [&](const std::string& id) {
            asio::ip::tcp::socket caller(context);
            caller.connect(d.front());
            write_raw(caller, "POST " + target +
                                  " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                                  "\r\nKey: k\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
            return caller;
        };
        const auto stays = call("stays");
        ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 1; }));
        auto leaves = call("leaves");
        ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 2; }));
        leaves.close();
        ASSERT_TRUE(wait_until([&] {
            const std::lock_guard lock(mutex);
            return ended.size() == 2;
        }));
        EXPECT_EQ(ended.front(), "leaves") << target;
    }
}

TEST(Deployment, ASlowButSoundStreamIsNotCut) {
    const scripted_server slow(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig"));
            for (int id = 1; id <= 3; ++id) {
                // Less than the two seconds after which callers leave, more than the objective.
                std::this_thread::sleep_for(std::chrono::milliseconds{1'200});
                write_raw(socket, chunk(event_text(id)));
            }
            write_raw(socket, "0\r\n\r\n");
        });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    const auto answer = d.call_fully("POST", "/once/x", "b");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, event_text(1) + event_text(2) + event_text(3));
}

// Bytes that are no event are no progress.
TEST(Deployment, AStalledStreamThatGoesOnSendingBytesIsContinuedElsewhere) {
    std::atomic<int> arrivals{0};
    std::atomic<int> ended{0};
    const auto script = [&](const seen_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, stream_head(request, "sig"));
        if (++arrivals > 1) {
            write_raw(socket, chunk(event_text(2)) + "0\r\n\r\n");
            return;
        }
        write_raw(socket, chunk(event_text(1)));
        boost::system::error_code error;
        while (!error) {
            asio::write(socket, asio::buffer(chunk(": still here\n\n") + chunk("id")), error);
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        ++ended;
    };
    const scripted_server first("i-1", script);
    const scripted_server second("i-2", script);
    platform_deployment d;
    d.add_server(first, "s");
    d.add_server(second, "s");
    d.serve(make_manifest(1));
    const auto answer = d.call_fully("POST", "/resumable/x", "b");
    EXPECT_TRUE(answer.whole);
    EXPECT_NE(answer.body.find("piece 1"), std::string::npos);
    EXPECT_NE(answer.body.find("piece 2"), std::string::npos);
    EXPECT_TRUE(wait_until([&] { return ended == 1; })) << "the first server is left";
}

TEST(Deployment, AStalledStreamThatMayRunOnceEnds) {
    // More than callers wait between two events.
    constexpr int beats = 200;
    std::atomic<bool> left_early{false};
    const scripted_server stalled(
        "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            boost::system::error_code error;
            for (int beat = 0; beat < beats && !error; ++beat) {
                asio::write(socket, asio::buffer(chunk(": still here\n\n")), error);
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
            }
            left_early = static_cast<bool>(error);
        });
    platform_deployment d;
    d.add_server(stalled, "s");
    // A long deadline, so that only the missing progress can end the stream.
    auto manifest = nlohmann::json::parse(make_manifest(1));
    for (auto& route : manifest["routes"]) {
        route["timeout_ms"] = 60'000;
    }
    d.serve(manifest.dump());
    const auto answer = d.call_fully("POST", "/once/x", "b", {{"Deadline-Ms", "60000"}});
    EXPECT_FALSE(answer.whole);
    EXPECT_TRUE(wait_until([&] { return left_early.load(); }));
}

TEST(Deployment, AnEndlessEventEndsAsMayHaveRun) {
    // What sockets buffer and one event may hold, several times.
    constexpr std::size_t few_bytes = 32UL * 1024 * 1024;
    std::atomic<std::size_t> written{0};
    std::atomic<bool> closed{false};
    const scripted_server endless(
        "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig"));
            boost::system::error_code error;
            while (!error && written < 2 * few_bytes) {
                written += asio::write(
                    socket, asio::buffer(chunk("data: " + std::string(16'000, 'a') + "\n")), error);
            }
            closed = true;
        });
    platform_deployment d;
    d.add_server(endless, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/once/x", "b", {}).status, 502U);
    EXPECT_TRUE(wait_until([&] { return closed.load(); }));
    EXPECT_LT(written, few_bytes);
}
