#include <algorithm>
#include <future>

#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Event streams: resumed, truncated, slow, stalled and endless ones.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

} // namespace

TEST(Deployment, AStreamContinuesAtAnotherServerWithoutGapOrRepeat) {
    const auto script = [](const received_request& request, asio::ip::tcp::socket& socket) {
        const auto found = request.headers.find("Last-Event-Id");
        const auto after = found == request.headers.end() ? 0 : std::stoi(found->second);
        write_raw(socket, stream_head(request, "from " + std::to_string(after)));
        if (after == 0) {
            write_raw(socket, chunk(event_text(1) + event_text(2) + "id: 3\nda"));
            return; // in the middle of an event
        }
        // Starts one event too early, as a server may count differently.
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
    d.start_with(make_manifest(1));
    const auto got = d.call_with_headers("POST", "/resumable/x", "b");
    EXPECT_TRUE(got.complete);
    EXPECT_EQ(got.body, event_text(1) + event_text(2) + event_text(3) + event_text(4));
    EXPECT_EQ(got.headers.at("Response-Signature"), "from 0") << "the first server's headers stay";
}

TEST(Deployment, AStreamThatMayNotBeResumedIsAborted) {
    std::atomic<int> arrivals{0};
    const auto script = [&](const received_request& request, asio::ip::tcp::socket& socket) {
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
    d.start_with(make_manifest(1));
    const auto got = d.call_with_headers("POST", "/once/x", "b");
    EXPECT_FALSE(got.complete);
    EXPECT_EQ(got.body.find("cut"), std::string::npos) << "an incomplete event is dropped";
    EXPECT_EQ(arrivals, 1);
}

// A request also ends at its deadline. A second caller that stays connected is the reference: its
// request has the same deadline and began earlier.
TEST(Deployment, ACallerThatDisconnectsCancelsTheRequestAtTheServer) {
    for (const std::string target : {"/once/x", "/unsafe/x"}) {
        std::mutex mutex;
        std::vector<std::string> ended;
        const scripted_server slow("i-1", [&](const received_request& request,
                                              asio::ip::tcp::socket& socket) {
            if (target == "/once/x") {
                write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            }
            char byte{};
            boost::system::error_code error;
            socket.read_some(asio::buffer(&byte, 1), error); // waits until the connection closes
            const std::lock_guard lock(mutex);
            ended.push_back(request.headers.at("Attempt-Id"));
        });
        platform_deployment d;
        d.add_server(slow, "s");
        d.start_with(make_manifest(1));
        asio::io_context context;
        const auto call = [&](const std::string& id) {
            asio::ip::tcp::socket caller(context);
            caller.connect(d.api_endpoint());
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

TEST(Deployment, ASlowButHealthyStreamIsNotCut) {
    const scripted_server slow(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig"));
            for (int id = 1; id <= 3; ++id) {
                // Less than the two seconds after which callers give up, more than the objective.
                std::this_thread::sleep_for(std::chrono::milliseconds{1'200});
                write_raw(socket, chunk(event_text(id)));
            }
            write_raw(socket, "0\r\n\r\n");
        });
    platform_deployment d;
    d.add_server(slow, "s");
    d.start_with(make_manifest(1));
    const auto answer = d.call_with_headers("POST", "/once/x", "b");
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, event_text(1) + event_text(2) + event_text(3));
}

// Bytes that don't form an event are no progress.
TEST(Deployment, AStalledStreamThatStillSendsBytesIsResumedElsewhere) {
    std::atomic<int> arrivals{0};
    std::atomic<int> ended{0};
    const auto script = [&](const received_request& request, asio::ip::tcp::socket& socket) {
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
    d.start_with(make_manifest(1));
    const auto answer = d.call_with_headers("POST", "/resumable/x", "b");
    EXPECT_TRUE(answer.complete);
    EXPECT_NE(answer.body.find("piece 1"), std::string::npos);
    EXPECT_NE(answer.body.find("piece 2"), std::string::npos);
    EXPECT_TRUE(wait_until([&] { return ended == 1; }))
        << "the connection to the first server is closed";
}

// LOST: the answer was given up for a place at another server that was then refused.
TEST(Deployment, AQuietServerIsKeptWhileNoOtherPlaceIsGranted) {
    std::atomic<bool> over{false};
    const auto script = [&](const received_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, stream_head(request, "sig"));
        if (request.start.ends_with("/busy")) {
            for (int id = 1; !over; ++id) {
                write_raw(socket, chunk(event_text(id)));
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
            }
        } else {
            // Less than the two seconds after which callers give up, more than half of them.
            constexpr auto silence = std::chrono::milliseconds{1'500};
            if (request.start.ends_with("/begun")) {
                write_raw(socket, chunk(event_text(1)));
                std::this_thread::sleep_for(silence);
            } else {
                std::this_thread::sleep_for(silence);
                write_raw(socket, chunk(event_text(1)));
            }
            write_raw(socket, chunk(event_text(2)));
        }
        write_raw(socket, "0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s", "ready", {}, 1);
    d.add_server(two, "s", "ready", {}, 1);
    d.start_with(make_manifest(1));
    for (const std::string target : {"/resumable/begun", "/resumable/not-begun"}) {
        over = false;
        auto busy = std::async(std::launch::async,
                               [&] { return d.call("POST", "/resumable/busy", "b", {}); });
        const auto arrivals = [&] { return one.seen().size() + two.seen().size(); };
        const auto before = arrivals();
        ASSERT_TRUE(wait_until([&] { return arrivals() > before; }));
        const auto answer = d.call_with_headers("POST", target, "b");
        over = true;
        EXPECT_TRUE(answer.complete) << target;
        EXPECT_EQ(answer.status, 200U) << target;
        EXPECT_EQ(answer.body, event_text(1) + event_text(2)) << target;
        EXPECT_EQ(busy.get().status, 200U);
    }
}

// The place that was asked for meanwhile must not stay taken when the quiet server goes on.
TEST(Deployment, APlaceAskedForIsFreeAgainAfterTheQuietServerWentOn) {
    std::atomic<bool> busy_over{false};
    std::atomic<bool> went_on{false};
    std::atomic<bool> quiet_over{false};
    const auto script = [&](const received_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, stream_head(request, "sig"));
        const auto is_quiet = request.start.ends_with("/quiet");
        const auto& over = is_quiet ? quiet_over : busy_over;
        if (is_quiet) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
        }
        for (int id = 1; !over; ++id) {
            write_raw(socket, chunk(event_text(id)));
            went_on = went_on || is_quiet;
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        write_raw(socket, chunk(event_text(1'000)) + "0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s", "ready", {}, 1);
    d.add_server(two, "s", "ready", {}, 1);
    d.start_with(make_manifest(1));
    const auto arrivals = [&] { return one.seen().size() + two.seen().size(); };
    const auto call = [&](const std::string& target) {
        return std::async(std::launch::async, [&d, target] {
            return d.call("POST", "/resumable/" + target, "b", {}).status;
        });
    };
    auto busy = call("busy");
    ASSERT_TRUE(wait_until([&] { return arrivals() == 1; }));
    auto quiet = call("quiet");
    ASSERT_TRUE(wait_until([&] { return went_on.load(); }));
    busy_over = true;
    EXPECT_EQ(busy.get(), 200U);
    EXPECT_EQ(d.call("POST", "/resumable/next", "b", {}).status, 200U);
    EXPECT_FALSE(quiet_over);
    quiet_over = true;
    EXPECT_EQ(quiet.get(), 200U);
    EXPECT_EQ(arrivals(), 3U) << "nothing was sent twice";
    for (const auto* server : {&one, &two}) {
        const auto seen = server->seen();
        const auto has = [&](const std::string& target) {
            return std::any_of(seen.begin(), seen.end(), [&](const received_request& request) {
                return request.start.ends_with(target);
            });
        };
        EXPECT_FALSE(has("/quiet") && has("/next")) << "that server is taken, the other one free";
    }
}

TEST(Deployment, AStalledStreamThatMayNotBeResumedIsAborted) {
    // In total longer than callers wait between two events.
    constexpr int heartbeats = 200;
    std::atomic<bool> closed_early{false};
    const scripted_server stalled(
        "i-1", [&](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            boost::system::error_code error;
            for (int heartbeat = 0; heartbeat < heartbeats && !error; ++heartbeat) {
                asio::write(socket, asio::buffer(chunk(": still here\n\n")), error);
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
            }
            closed_early = static_cast<bool>(error);
        });
    platform_deployment d;
    d.add_server(stalled, "s");
    // A long deadline, so that only the missing progress can end the stream.
    auto manifest = nlohmann::json::parse(make_manifest(1));
    for (auto& route : manifest["routes"]) {
        route["timeout_ms"] = 60'000;
    }
    d.start_with(manifest.dump());
    const auto answer = d.call_with_headers("POST", "/once/x", "b", {{"Deadline-Ms", "60000"}});
    EXPECT_FALSE(answer.complete);
    EXPECT_TRUE(wait_until([&] { return closed_early.load(); }));
}

TEST(Deployment, AnEndlessEventEndsTheRequestAsMayHaveRun) {
    // Several times what sockets buffer and one event may hold.
    constexpr std::size_t max_written = 32UL * 1024 * 1024;
    std::atomic<std::size_t> written{0};
    std::atomic<bool> closed{false};
    const scripted_server endless(
        "i-1", [&](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig"));
            boost::system::error_code error;
            while (!error && written < 2 * max_written) {
                written += asio::write(
                    socket, asio::buffer(chunk("data: " + std::string(16'000, 'a') + "\n")), error);
            }
            closed = true;
        });
    platform_deployment d;
    d.add_server(endless, "s");
    d.start_with(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/once/x", "b", {}).status, 502U);
    EXPECT_TRUE(wait_until([&] { return closed.load(); }));
    EXPECT_LT(written, max_written);
}

// The end of a body that HEAD doesn't have would be read as the beginning of the next answer.
TEST(Deployment, AHeadRequestForAStreamLeavesNoBytesOnTheConnection) {
    const scripted_server server("i-1", [](const received_request& request,
                                           asio::ip::tcp::socket& socket) {
        const auto is_head = request.start.starts_with("HEAD");
        write_raw(socket, is_head ? stream_head(request, "sig") : complete_answer(request, "b"));
    });
    platform_deployment d;
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(d.api_endpoint());
    boost::beast::flat_buffer buffer;
    for (const std::string method : {"HEAD", "GET"}) {
        std::string request = method;
        request.append(" /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ").append(method);
        write_raw(caller, request.append("\r\nKey: k\r\nDeadline-Ms: 4000\r\n\r\n"));
        beast_http::response_parser<beast_http::string_body> parser;
        parser.skip(method == "HEAD");
        boost::system::error_code error;
        beast_http::read(caller, buffer, parser, error);
        EXPECT_FALSE(error) << method << ": " << error.message();
        EXPECT_EQ(parser.get().result_int(), 200U) << method;
    }
}
