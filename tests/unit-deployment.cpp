#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// A single request in a deployment on the platform: forwarded, retried or refused.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

} // namespace

TEST(Deployment, ForwardsRequestAndAnswerUnchanged) {
    const auto server = make_healthy_server("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    const auto got = d.call_with_headers("POST", "/unsafe/x?y=%20z", std::string(100'000, 'b'),
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
    const scripted_server first(
        "i-1", [](const received_request&, asio::ip::tcp::socket& socket) { reset(socket); });
    const scripted_server second(
        "i-2", [](const received_request&, asio::ip::tcp::socket& socket) { reset(socket); });
    platform_deployment d;
    d.add_server(first, "s");
    d.add_server(second, "s");
    d.start_with(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
    EXPECT_EQ(first.seen().size() + second.seen().size(), 1U);
}

TEST(Deployment, RetriesASafeRequestAtAnotherServer) {
    std::atomic<int> arrivals{0};
    const auto script = [&](const received_request& request, asio::ip::tcp::socket& socket) {
        if (++arrivals == 1) {
            const auto answer = complete_answer(request, "half of it is lost");
            write_raw(socket, answer.substr(0, answer.size() - 9));
            return;
        }
        write_raw(socket, complete_answer(request, "whole"));
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.start_with(make_manifest(1));
    const auto got = d.call("GET", "/safe/x", "", {});
    EXPECT_EQ(got.status, 200U);
    EXPECT_EQ(got.body, "whole");
    EXPECT_EQ(one.seen().size(), 1U);
    EXPECT_EQ(two.seen().size(), 1U);
}

TEST(Deployment, RetriesARequestThatAServerDeclined) {
    const auto script = [](const received_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, "HTTP/1.1 503 Busy\r\nAttempt-Id: " + request.headers.at("Attempt-Id") +
                              "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.start_with(make_manifest(1));
    const auto got = d.call_with_headers("POST", "/unsafe/x", "b");
    EXPECT_EQ(got.status, 503U);
    EXPECT_TRUE(got.headers.contains("Retry-After"));
    EXPECT_EQ(one.seen().size() + two.seen().size(), 2U) << "two attempts are allowed";
}

TEST(Deployment, AnAnswerToAnotherRequestNeverReachesTheCaller) {
    const scripted_server misaddressed(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            auto other = request;
            other.headers["Attempt-Id"] = "somebody-else";
            write_raw(socket, complete_answer(other, "not yours"));
        });
    platform_deployment d;
    d.add_server(misaddressed, "s");
    d.start_with(make_manifest(1));
    const auto got = d.call("POST", "/unsafe/x", "b", {});
    EXPECT_EQ(got.status, 502U);
    EXPECT_EQ(got.body.find("not yours"), std::string::npos);
}

TEST(Deployment, RefusesCallersWithoutARouteOrAKey) {
    const auto server = make_healthy_server("i-1");
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

// After the last workspace was taken out, requests with its key and with unknown keys were run.
TEST(Deployment, NoKeyIsAcceptedAfterTheLastWorkspaceIsRemoved) {
    const auto server = make_healthy_server("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    auto emptied = nlohmann::json::parse(make_manifest(2));
    emptied["tenants"] = nlohmann::json::array();
    ASSERT_EQ(d.publish(emptied.dump()).status, 200U);
    EXPECT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 401; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {{"Key", "never held"}}).status, 401U);
}

TEST(Deployment, DoesNotForwardATruncatedAnswerAsComplete) {
    const scripted_server truncating(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers.at("Attempt-Id") +
                                  "\r\nResponse-Signature: s\r\n\r\nno length, and then a reset");
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
            reset(socket);
        });
    platform_deployment d;
    d.add_server(truncating, "s");
    d.start_with(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
}

TEST(Deployment, DropsASecondCopyOfAnAnswer) {
    const scripted_server duplicating("i-1", [](const received_request& request,
                                                asio::ip::tcp::socket& socket) {
        const auto copy = complete_answer(request, "answer to " + request.headers.at("Attempt-Id"));
        write_raw(socket, copy);
        write_raw(socket, copy);
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        write_raw(socket, copy);
    });
    platform_deployment d;
    d.add_server(duplicating, "s");
    d.start_with(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context); // one connection for all requests, as callers reuse them
    caller.connect(d.api_endpoint());
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

// A refusal for another request does not imply that this one has not run.
TEST(Deployment, ARefusalOfAnotherRequestDoesNotCount) {
    const scripted_server misaddressed(
        "i-1", [](const received_request&, asio::ip::tcp::socket& socket) {
            write_raw(socket, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: another\r\n"
                              "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
    platform_deployment d;
    d.add_server(misaddressed, "s");
    d.start_with(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
    EXPECT_EQ(misaddressed.seen().size(), 1U);
}
