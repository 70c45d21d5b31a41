#include <gtest/gtest.h>

#include "deployment_fixture.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

void reset(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

scripted_server make_sound(const std::string& name) {
    return scripted_server(name, [](const seen_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, whole_answer(request, "body of " + request.start));
    });
}

} // namespace

TEST(Deployment, ARequestAndItsAnswerPassUnchanged) {
    const auto server = make_sound("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/unsafe/x?y=%20z", std::string(100'000, 'b'),
                                  {{"Tenant", "forged"}, {"X-Own", "1"}});
    EXPECT_EQ(got.status, 200U);
    EXPECT_EQ(got.body, "body of POST /unsafe/x?y=%20z");
    EXPECT_EQ(got.headers.at("Response-Signature"), "sig");
    EXPECT_EQ(got.headers.at("X-Server"), "kept");
    const auto seen = server.seen();
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].body, std::string(100'000, 'b'));
    EXPECT_EQ(seen[0].headers.at("Tenant"), "w");
    EXPECT_EQ(seen[0].headers.at("Expect-Instance"), "i-1");
    EXPECT_EQ(seen[0].headers.at("X-Own"), "1");
    EXPECT_FALSE(seen[0].headers.contains("Key"));
    EXPECT_LE(std::stoi(seen[0].headers.at("Deadline-Ms")), 4000);
}

TEST(Deployment, AnUnsafeRequestIsNeverSentTwice) {
    const scripted_server bad(
        "i-1", [](const seen_request&, asio::ip::tcp::socket& socket) { reset(socket); });
    const scripted_server worse(
        "i-2", [](const seen_request&, asio::ip::tcp::socket& socket) { reset(socket); });
    platform_deployment d;
    d.add_server(bad, "s");
    d.add_server(worse, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
    EXPECT_EQ(bad.seen().size() + worse.seen().size(), 1U);
}

TEST(Deployment, ASafeRequestGoesToAnotherServer) {
    std::atomic<int> arrivals{0};
    const auto script = [&](const seen_request& request, asio::ip::tcp::socket& socket) {
        if (++arrivals == 1) {
            const auto answer = whole_answer(request, "half of it is lost");
            write_raw(socket, answer.substr(0, answer.size() - 9));
            return;
        }
        write_raw(socket, whole_answer(request, "whole"));
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call("GET", "/safe/x", "", {});
    EXPECT_EQ(got.status, 200U);
    EXPECT_EQ(got.body, "whole");
    EXPECT_EQ(one.seen().size(), 1U);
    EXPECT_EQ(two.seen().size(), 1U);
}

TEST(Deployment, AServerThatDeclinesLeavesTheRequestNotRun) {
    const auto script = [](const seen_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, "HTTP/1.1 503 Busy\r\nAttempt-Id: " + request.headers.at("Attempt-Id") +
                              "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/unsafe/x", "b");
    EXPECT_EQ(got.status, 503U);
    EXPECT_TRUE(got.headers.contains("Retry-After"));
    EXPECT_EQ(one.seen().size() + two.seen().size(), 2U) << "two attempts are allowed";
}

TEST(Deployment, AnAnswerToAnotherRequestNeverReachesTheCaller) {
    const scripted_server crossed("i-1",
                                  [](const seen_request& request, asio::ip::tcp::socket& socket) {
                                      auto other = request;
                                      other.headers["Attempt-Id"] = "somebody-else";
                                      write_raw(socket, whole_answer(other, "not yours"));
                                  });
    platform_deployment d;
    d.add_server(crossed, "s");
    d.serve(make_manifest(1));
    const auto got = d.call("POST", "/unsafe/x", "b", {});
    EXPECT_EQ(got.status, 502U);
    EXPECT_EQ(got.body.find("not yours"), std::string::npos);
}

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

TEST(Deployment, ACallerThatLeavesEndsTheWorkAtTheServer) {
    std::atomic<bool> ended{false};
    const scripted_server slow(
        "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            char byte{};
            boost::system::error_code error;
            socket.read_some(asio::buffer(&byte, 1), error); // waits for the end of the connection
            ended = true;
        });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(d.front());
    write_raw(caller, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a9\r\nKey: k\r\n"
                      "Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 1; }));
    caller.close();
    EXPECT_TRUE(wait_until([&] { return ended.load(); }));
}

TEST(Deployment, CallersWithoutARouteOrAKeyAreTurnedAway) {
    const auto server = make_sound("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start();
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status != 0; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 503U) << "no manifest is known yet";
    EXPECT_EQ(d.ready().status, 503U);
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(1)).status == 200; }));
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {{"Key", "wrong"}}).status, 401U);
    EXPECT_EQ(d.call("GET", "/nothing/x", "", {}).status, 404U);
    EXPECT_EQ(d.call("GET", "/safe/x", "", {{"Host", "other.example"}}).status, 404U);
    EXPECT_TRUE(server.seen().empty());
}

TEST(Deployment, TheHighestManifestIsInForceAndReadBack) {
    platform_deployment d(3, 2);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(5));
    EXPECT_EQ(d.publish("{\"version\":9,\"routes\":[").status, 400U);
    EXPECT_EQ(d.publish(make_manifest(0)).status, 400U);
    EXPECT_EQ(d.publish(make_manifest(4), 1).status, 200U) << "an older one changes nothing";
    EXPECT_EQ(d.publish(make_manifest(5), 2).status, 200U) << "a resend is acknowledged";
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(7), 1).status == 200; }));
    for (std::size_t control = 0; control < 3; ++control) {
        ASSERT_TRUE(wait_until([&] { return d.read_back(control).status == 200; }));
        EXPECT_EQ(d.read_back(control).body, make_manifest(7)) << control;
    }
    // A majority is left: what was acknowledged stays. Without one, nothing is proved.
    d.stop_control(0);
    ASSERT_TRUE(wait_until([&] { return d.read_back(1).status == 200; }));
    EXPECT_EQ(d.read_back(1).body, make_manifest(7));
    d.stop_control(2);
    ASSERT_TRUE(wait_until([&] { return d.read_back(1).status == 503; }));
    EXPECT_NE(d.publish(make_manifest(8), 1).status, 200U);
}

TEST(Deployment, AWipedControlInstanceJoinsAgainWithoutItsOldVote) {
    platform_deployment d(3, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), 1).status == 200; }));
    d.wipe_control(0);
    d.start_control(0, false);
    ASSERT_TRUE(wait_until([&] { return d.read_back(0).status == 200; }));
    EXPECT_EQ(d.read_back(0).body, make_manifest(2));
    // The new member counts: another may be lost now.
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(3), 0).status == 200; }));
    std::this_thread::sleep_for(std::chrono::seconds{3});
    d.stop_control(1);
    EXPECT_TRUE(wait_until([&] { return d.publish(make_manifest(4), 0).status == 200; }));
}

TEST(Deployment, RequestsAreServedWhileNoControlInstanceRuns) {
    platform_deployment d(1, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    d.stop_control(0);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    }
}

// A restarted instance knows only the founders, and none of them is there to ask.
TEST(Deployment, AnEntryInstanceRestartedWithoutAControlGroupLearnsFromOthers) {
    platform_deployment d(1, 3);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    for (const std::size_t entry : {1U, 2U}) {
        ASSERT_TRUE(wait_until([&] { return d.ready(entry).status == 200; }));
    }
    // Time for a few answers of the control group, each of which names some of the others.
    std::this_thread::sleep_for(std::chrono::seconds{1});
    d.stop_control(0);
    d.stop_entry(0);
    d.start_entry(0);
    ASSERT_TRUE(wait_until([&] { return d.ready(0).status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
}

// Right after a start the instance knows nothing yet. Refused, callers came back a second later,
// and after a loss of power that was most of them.
TEST(Deployment, WhatComesRightAfterAStartIsServedAndNotRefused) {
    platform_deployment d(1, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    d.stop_entry(0);
    d.start_entry(0);
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    EXPECT_EQ(d.call("GET", "/nowhere/x", "", {}).status, 404U);
}

TEST(Deployment, AGracefulShutdownCutsNothing) {
    const scripted_server slow("i-1",
                               [](const seen_request& request, asio::ip::tcp::socket& socket) {
                                   std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
                                   write_raw(socket, whole_answer(request, "late but whole"));
                               });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    std::atomic<int> whole{0};
    std::atomic<int> sent{0};
    std::vector<std::thread> callers;
    const auto call = [&] {
        ++sent;
        whole += d.call("POST", "/unsafe/x", "b", {}).status == 200 ? 1 : 0;
    };
    callers.emplace_back(call);
    ASSERT_TRUE(wait_until([&] { return !slow.seen().empty(); }));
    std::thread leaving([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    callers.emplace_back(call); // the platform still sends some for a moment
    leaving.join();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(whole, sent);
}

TEST(Deployment, AnAnswerCutBeforeItsEndIsNotPassedOnAsWhole) {
    const scripted_server cut(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers.at("Attempt-Id") +
                                  "\r\nResponse-Signature: s\r\n\r\nno length, and then a reset");
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
            reset(socket);
        });
    platform_deployment d;
    d.add_server(cut, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
}
