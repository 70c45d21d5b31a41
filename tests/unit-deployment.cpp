#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// One request in a deployment of the platform: passed on, tried again, refused.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

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

TEST(Deployment, ASecondCopyOfAnAnswerReachesNobody) {
    const scripted_server twice("i-1", [](const seen_request& request,
                                          asio::ip::tcp::socket& socket) {
        const auto copy = whole_answer(request, "answer to " + request.headers.at("Attempt-Id"));
        write_raw(socket, copy);
        write_raw(socket, copy);
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        write_raw(socket, copy);
    });
    platform_deployment d;
    d.add_server(twice, "s");
    d.serve(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context); // one connection for all, as callers keep them
    caller.connect(d.front());
    boost::beast::flat_buffer buffer;
    for (int i = 0; i < 10; ++i) {
        const auto id = "call-" + std::to_string(i);
        write_raw(caller, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nAttempt-Id: " + id +
                              "\r\nDeadline-Ms: 4000\r\n\r\n");
        beast_http::response<beast_http::string_body> answer;
        beast_http::read(caller, buffer, answer);
        EXPECT_EQ(answer.body(), "answer to " + id);
        EXPECT_EQ(buffer.size(), 0U);
    }
}

// A refusal that answers another request says nothing about whether this one has run.
TEST(Deployment, ARefusalOfAnotherRequestIsNoPromise) {
    const scripted_server crossed("i-1", [](const seen_request&, asio::ip::tcp::socket& socket) {
        write_raw(socket, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: another\r\n"
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    platform_deployment d;
    d.add_server(crossed, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
    EXPECT_EQ(crossed.seen().size(), 1U);
}
